package cmd

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/platform"
)

// Guards against a score that does not leave the agent: its target answers no SYN. Without the setting, nothing is said.
func TestHealthIsPublishedWithTheSettingAlone(t *testing.T) {
	for _, scored := range []bool{true, false} {
		a := newTestAgent(t)
		a.flowAgent.Scored = scored
		a.packets, a.outbound = &net.UDPConn{}, &net.UDPConn{}
		service := gue.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: 443}
		p := &plan.Plan{Version: 1, Routes: []plan.Route{{Address: service, Shares: []plan.Share{{Service: "s", Weight: 1}}}}}
		p.Index()
		a.flowAgent.SetPlan(p)
		now := time.Now()
		ready := readyTarget(1, 1)
		ready.Target.Slots = 100
		require.True(t, a.Accept(now, ready))
		for i := range 30 {
			hdr := flow.Header{Source: gue.Endpoint{Address: [4]byte{100, 64, 0, 1}, Port: uint16(1024 + i)}, Destination: service, SYN: true}
			entryPacketHandler{a}.Packet(now, netip.MustParseAddrPort("10.0.0.1:1"), platform.PacketCodec{}.Encode(hdr, nil))
		}
		entryPacketHandler{a}.Tick(now.Add(100*time.Millisecond), false)
		published := func() (h *facts.Health) {
			a.node.Gossip.Do(t.Context(), func(time.Time) { h = a.node.Gossip.Self.Health })
			return h
		}
		if !scored {
			require.Never(t, func() bool { return published() != nil }, 50*time.Millisecond, 10*time.Millisecond)
			continue
		}
		require.Eventually(t, func() bool { return published() != nil }, 5*time.Second, time.Millisecond)
		require.Equal(t, 100, published().Failing)
	}
}
