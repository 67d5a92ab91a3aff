package cmd

import (
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/flow"
)

// entrySide takes packets from entries.
type entrySide struct{ agent *carrierAgent }

// Packet decides about one packet.
func (s entrySide) Packet(now time.Time, from netip.AddrPort, packet []byte) {
	a := s.agent
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.step(now, func(out *flow.Output) { a.core.FromEntry(now, from, packet, out) })
}

// Tick sweeps the flows.
func (s entrySide) Tick(now time.Time, _ bool) {
	a := s.agent
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.step(now, func(out *flow.Output) { a.core.Sweep(now, out) })
	a.recorder.Tick(now)
}

// Resumed logs that packets of entries were dropped.
func (s entrySide) Resumed(_ time.Time, still time.Duration, dropped int) {
	s.agent.recorder.Resumed(still, dropped)
}

// targetSide takes packets from the target.
type targetSide struct{ agent *carrierAgent }

// Packet decides about one packet.
func (s targetSide) Packet(now time.Time, _ netip.AddrPort, packet []byte) {
	a := s.agent
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.step(now, func(out *flow.Output) { a.core.FromTarget(now, packet, out) })
}

// Resumed logs that packets of the target were dropped.
func (s targetSide) Resumed(_ time.Time, still time.Duration, dropped int) {
	s.agent.recorder.Resumed(still, dropped)
}

// Tick does nothing: the other side sweeps.
func (targetSide) Tick(time.Time, bool) {}
