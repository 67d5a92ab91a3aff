package cmd

import (
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/flow"
)

// entryPacketHandler passes packets from entries to the agent.
type entryPacketHandler struct{ agent *passthroughAgent }

// Packet handles one packet.
func (h entryPacketHandler) Packet(now time.Time, from netip.AddrPort, packet []byte) {
	a := h.agent
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.step(now, func(out *flow.Output) { a.flowAgent.HandleEntryPacket(now, from, packet, out) })
}

// Tick expires flows, logs how many log records the rate limiter suppressed, and checks the target if needed.
func (h entryPacketHandler) Tick(now time.Time, _ bool) {
	a := h.agent
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.step(now, func(out *flow.Output) { a.flowAgent.Sweep(now, out) })
	a.recorder.LogSuppressed(now)
	a.checkTarget(now)
	a.reportHealth(now)
}

// Resumed logs that the process resumed after a pause and how many queued packets from entries were dropped.
func (h entryPacketHandler) Resumed(_ time.Time, paused time.Duration, dropped int) {
	h.agent.recorder.LogResumed(paused, dropped)
}

// targetPacketHandler passes packets from the target to the agent.
type targetPacketHandler struct{ agent *passthroughAgent }

// Packet handles one packet.
func (h targetPacketHandler) Packet(now time.Time, _ netip.AddrPort, packet []byte) {
	a := h.agent
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.step(now, func(out *flow.Output) { a.flowAgent.HandleTargetPacket(now, packet, out) })
}

// Resumed logs that the process resumed after a pause and how many queued packets from the target were dropped.
func (h targetPacketHandler) Resumed(_ time.Time, paused time.Duration, dropped int) {
	h.agent.recorder.LogResumed(paused, dropped)
}

// Tick does nothing, because entryPacketHandler.Tick already expires the flows of both directions.
func (targetPacketHandler) Tick(time.Time, bool) {}
