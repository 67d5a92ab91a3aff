package caller

// after reports a > b in TCP sequence space.
func after(a, b uint32) bool {
	return int32(a-b) > 0
}

// furthest returns the later of two sequence numbers.
func furthest(a, b uint32) uint32 {
	if after(a, b) {
		return a
	}
	return b
}
