package peer

// EraTracker returns the latest era of the store that this instance has seen, and receives those that peers have seen. Its
// methods must not block. Era is called on any goroutine, ObserveEra on the control goroutine.
type EraTracker interface {
	Era() uint64
	ObserveEra(era uint64)
}

// storeEra returns the era of the store that this instance has seen, or 0.
func (g *Gossip) storeEra() uint64 {
	if g.Eras == nil {
		return 0
	}
	return g.Eras.Era()
}

// observeEra passes on the era of the store that a peer has seen.
func (g *Gossip) observeEra(era uint64) {
	if g.Eras != nil {
		g.Eras.ObserveEra(era)
	}
}
