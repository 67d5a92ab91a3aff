package caller

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// flowOwnedBy returns a flow that the agent owns.
func (tb *testbed) flowOwnedBy(agent int) gue.Flow {
	for port := uint16(4000); ; port++ {
		caller := netip.AddrPortFrom(netip.MustParseAddr("10.1.0.9"), port)
		key := gue.Flow{Caller: gue.EndpointOf(caller), Service: gue.EndpointOf(testService.Address)}
		if o, _ := tb.agents[agent].route.Load().OwnerOf(key.Hash(testKeys.Hash)); o.Instance == tb.members[agent].Instance {
			return key
		}
	}
}

func (tb *testbed) receiveSYN(agent int, key gue.Flow) {
	syn := segment{from: key.Caller, to: key.Service, sequence: 1000, flags: header.TCPFlagSyn, window: 1000}.encode()
	b := append(make([]byte, gue.HeaderLength), syn...)
	gue.Header{Service: 1, Generation: 1}.Put(b, testKeys.Packet)
	tb.agents[agent].receive(b, time.Now())
}

func (tb *testbed) setFlow(agent int, key gue.Flow, s state, peer netip.AddrPort) {
	f, _ := tb.agents[agent].flows.findOrAdd(key, key.Hash(testKeys.Hash))
	defer f.mutex.Unlock()
	f.state, f.peer, f.epoch, f.lastSeen = s, peer, 3, time.Now()
	f.requestBoundary = &requestBoundary{}
}

// TestNewConnectionOfMovedTuple checks that one SYN opens a connection at its owner although agents know another holder of
// an earlier connection of the same 4-tuple, which has ended: that holder exists, has left the service, is gone or is down.
// Agents forwarded such a SYN to each other until the hop limit, or to an agent that has left, for as long as the caller tried.
func TestNewConnectionOfMovedTuple(t *testing.T) {
	left := netip.MustParseAddrPort("127.0.0.1:9")
	for name, c := range map[string]struct {
		at    int
		known map[int]int // the agents that know a holder, and that holder; -1 is one that has left
		down  bool        // agent 1 is marked down
		reply delivery    // what becomes of the question to the known holder
	}{
		"owner knows another":           {at: 0, known: map[int]int{0: 1}},
		"owner knows one that left":     {at: 0, known: map[int]int{0: -1}},
		"owner knows one that is gone":  {at: 0, known: map[int]int{0: 1}, reply: peerGone},
		"owner knows one that is down":  {at: 0, known: map[int]int{0: 1}, reply: loseRequest, down: true},
		"other knows one that left":     {at: 1, known: map[int]int{1: -1}},
		"SYN reaches the former holder": {at: 1, known: map[int]int{0: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, 2)
			key := tb.flowOwnedBy(0)
			for agent, holder := range c.known {
				peer := left
				if holder >= 0 {
					peer = tb.members[holder].Packets
				}
				tb.setFlow(agent, key, stateRemote, peer)
			}
			if c.down {
				tb.members[1].State = facts.StateDown
				tb.setRoute(tb.members)
			}
			tb.peers.queueDeliveries(MethodLocate, c.reply)
			tb.receiveSYN(c.at, key)
			require.Eventually(t, func() bool { return tb.holder() == 0 }, 2*time.Second, pollInterval)
			f := tb.agents[0].flows.find(key, key.Hash(testKeys.Hash))
			f.mutex.Lock()
			defer f.mutex.Unlock()
			if c.known[0] != 0 {
				require.Equal(t, uint64(4), f.epoch, "agents that know the earlier connection refuse earlier epochs")
			}
		})
	}
}

// TestLateSYNOfMovedFlow checks that a late copy of a SYN doesn't open a second connection while another agent holds the
// flow, or while that agent doesn't reply.
func TestLateSYNOfMovedFlow(t *testing.T) {
	for _, d := range []delivery{deliverBoth, loseReply} {
		tb := newTestbed(t, 2)
		key := tb.flowOwnedBy(0)
		tb.setFlow(0, key, stateRemote, tb.members[1].Packets)
		tb.setFlow(1, key, stateLocal, netip.AddrPort{})
		tb.peers.queueDeliveries(MethodLocate, d)
		tb.receiveSYN(0, key)
		require.Never(t, func() bool { return tb.holder() != 1 }, 200*time.Millisecond, pollInterval)
		f := tb.agents[0].flows.find(key, key.Hash(testKeys.Hash))
		f.mutex.Lock()
		require.Equal(t, stateRemote, f.state)
		require.Equal(t, uint64(3), f.epoch)
		f.mutex.Unlock()
	}
}
