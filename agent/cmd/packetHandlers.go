package cmd

import (
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/flow"
)

// entryPacketHandler handles packets from entries.
type entryPacketHandler struct{ agent *forwardingAgent }

// Packet handles one packet.
func (h entryPacketHandler) Packet(now time.Time, from netip.AddrPort, packet []byte) {
	a := h.agent
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.step(now, func(out *flow.Output) { a.core.HandleEntryPacket(now, from, packet, out) })
}

// Tick runs the periodic sweep of the flows and logs how many records were left out.
func (h entryPacketHandler) Tick(now time.Time, _ bool) {
	a := h.agent
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.step(now, func(out *flow.Output) { a.core.Sweep(now, out) })
	a.recorder.Tick(now)
}

// Resumed logs that the process was paused and that waiting packets from entries were dropped.
func (h entryPacketHandler) Resumed(_ time.Time, paused time.Duration, dropped int) {
	h.agent.recorder.Resumed(paused, dropped)
}

// targetPacketHandler handles packets from the target.
type targetPacketHandler struct{ agent *forwardingAgent }

// Packet handles one packet.
func (h targetPacketHandler) Packet(now time.Time, _ netip.AddrPort, packet []byte) {
	a := h.agent
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.step(now, func(out *flow.Output) { a.core.HandleTargetPacket(now, packet, out) })
}

// Resumed logs that the process was paused and that waiting packets from the target were dropped.
func (h targetPacketHandler) Resumed(_ time.Time, paused time.Duration, dropped int) {
	h.agent.recorder.Resumed(paused, dropped)
}

// Tick does nothing, because entryPacketHandler.Tick already sweeps the flows.
func (targetPacketHandler) Tick(time.Time, bool) {}
