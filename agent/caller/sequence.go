package caller

// sequenceAfter reports whether a is after b in TCP sequence space.
func sequenceAfter(a, b uint32) bool {
	return int32(a-b) > 0
}

// laterSequence returns the later of two numbers in TCP sequence space.
func laterSequence(a, b uint32) uint32 {
	if sequenceAfter(a, b) {
		return a
	}
	return b
}
