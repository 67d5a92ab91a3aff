package caller

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// addFlow adds a flow in a state and at an epoch to an agent's table.
func (t *Terminator) addFlow(key gue.Flow, s state, epoch uint64) *flow {
	f, _ := t.flows.findOrAdd(key, key.Hash(t.Keys.Hash))
	f.state, f.epoch = s, epoch
	f.mutex.Unlock()
	return f
}

var testFlow = gue.Flow{Caller: gue.Endpoint{Address: [4]byte{10, 1, 0, 1}, Port: 5000}, Service: gue.Endpoint{Address: [4]byte{10, 9, 0, 1}, Port: 80}}

// The reply to an offer was lost, and the flow was granted to a third agent at the next epoch. The second agent, which
// still had the flow prepared, was told that it was granted, so that two agents held it.
func TestOfferCountsAsAbortedOnceFlowWasGrantedElsewhere(t *testing.T) {
	for epoch, expected := range map[uint64]OfferOutcome{2: OfferAborted, 3: OfferGranted, 4: OfferAborted} {
		holder := &Terminator{Keys: testKeys}
		holder.addFlow(testFlow, stateRemote, 3)
		require.Equal(t, expected, holder.offerOutcome(FlowEpoch{Flow: testFlow, Epoch: epoch}))
	}
}

// An announcement from the agent's own address left a flow without a request boundary, on which the next drain panicked.
func TestOwnAnnouncementIsIgnored(t *testing.T) {
	agent := &Terminator{Keys: testKeys}
	_, err := agent.Announce(context.Background(), AnnounceRequest{From: agent.Self.Packets, Flows: []FlowEpoch{{Flow: testFlow, Epoch: 1}}})
	require.NoError(t, err)
	require.Empty(t, agent.requestMoves())
	require.Empty(t, agent.flows.all())
}

// testSegment returns a packet of testFlow, from the caller or to it.
func testSegment(t *testing.T, key gue.Flow, sequence uint32, flags header.TCPFlags) gue.Packet {
	b := segment{from: key.Caller, to: key.Service, sequence: sequence, flags: flags}.encode()
	p, reason := gue.Parse(b)
	require.Equal(t, gue.ReasonNone, reason)
	return p
}

// A caller that resets a connection during the handshake left a flow that no one closed, and a drain waited for it up to
// its limit.
func TestResetDuringHandshakeEndsFlow(t *testing.T) {
	f := &flow{}
	f.trackSYN(testSegment(t, testFlow, 100, header.TCPFlagSyn))
	require.False(t, f.endsBeforeAccept(testSegment(t, testFlow, 100, header.TCPFlagRst)), "not in sequence")
	require.True(t, f.endsBeforeAccept(testSegment(t, testFlow, 101, header.TCPFlagRst)))
	f.conn = &conn{}
	require.False(t, f.endsBeforeAccept(testSegment(t, testFlow, 101, header.TCPFlagRst)))
}

// The stack resets the earlier connection of a 4-tuple that is used again. That reset marked the new connection as
// closing, so that it was never moved.
func TestResetOfEarlierConnectionDoesNotCloseTheNewOne(t *testing.T) {
	agent := &Terminator{Keys: testKeys}
	f := agent.addFlow(testFlow, stateLocal, 1)
	f.trackSYN(testSegment(t, testFlow, 100, header.TCPFlagSyn))
	reverse := gue.Flow{Caller: testFlow.Service, Service: testFlow.Caller}
	require.False(t, agent.rewriteFromStack(testSegment(t, reverse, 7, header.TCPFlagRst).IP, f.lastSeen))
	require.False(t, f.closing)
	require.True(t, agent.rewriteFromStack(testSegment(t, reverse, 7, header.TCPFlagSyn|header.TCPFlagAck).IP, f.lastSeen))
}
