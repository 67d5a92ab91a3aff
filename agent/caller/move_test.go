package caller

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"pgregory.net/rapid"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	settleTimeout = 10 * time.Second
	pollInterval  = 5 * time.Millisecond
)

func TestMoveKeepsConnection(t *testing.T) {
	tb := newTestbed(t, 3)
	c := tb.dial()
	c.request()
	for i := range 9 {
		from := tb.holder()
		to := (from + 1 + i%2) % 3
		require.Eventually(t, func() bool { return tb.move(from, to) == 1 }, settleTimeout, pollInterval)
		require.Equal(t, tb.members[to].Instance, c.request())
	}
}

// TestMoveWithUnreadOctets moves a flow after only the first octets of a request were read. The holder waits
// moveWaitTimeout for a move; if the test was suspended for longer than that, it tries again with the next request.
func TestMoveWithUnreadOctets(t *testing.T) {
	tb := newTestbed(t, 2)
	c := tb.dial()
	c.request()
	from := tb.holder()
	f := tb.agents[from].flows.all()[0]
	moved := 0
	for tries := 0; moved == 0 && tries < 20; tries++ {
		tb.agents[from].requestMoves()
		_, err := io.WriteString(c.socket, "GET /whole HTTP/1.1\r\nHo")
		require.NoError(t, err)
		for begin := time.Now(); moved == 0 && time.Since(begin) < moveWaitTimeout; time.Sleep(time.Millisecond) {
			if f.hasUnread() {
				moved = tb.move(from, 1-from)
			}
		}
		_, err = io.WriteString(c.socket, "st: service\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(c.reader, nil)
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, tb.members[(from+moved)%2].Instance+" /whole ", string(text))
	}
	require.Equal(t, 1, moved)
}

func (f *flow) hasUnread() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.unread != nil
}

// TestMoveUnderLostMessages loses requests or replies of the control methods in random combinations: two agents must
// never hold the flow at once, and the connection must always recover.
func TestMoveUnderLostMessages(t *testing.T) {
	methods := []string{MethodOffer, MethodGrant, MethodQuery, MethodLocate, MethodAnnounce}
	tb := newTestbed(t, 2)
	c := tb.dial()
	c.request()
	rapid.Check(t, func(r *rapid.T) {
		for _, m := range methods {
			for range rapid.IntRange(0, 2).Draw(r, m) {
				tb.peers.queueDeliveries(m, rapid.SampledFrom([]delivery{deliverBoth, loseRequest, loseReply}).Draw(r, m+"Delivery"))
			}
		}
		from := tb.holder()
		if from >= 0 {
			tb.move(from, 1-from)
		}
		tb.holder()
		c.request()
		require.Eventually(t, func() bool { return tb.holder() >= 0 }, settleTimeout, pollInterval)
	})
}

// TestMoveToGoneAgent checks that a flow stays at its holder when the agent that it is offered to is gone.
func TestMoveToGoneAgent(t *testing.T) {
	tb := newTestbed(t, 2)
	c := tb.dial()
	c.request()
	from := tb.holder()
	tb.peers.queueDeliveries(MethodOffer, peerGone)
	require.Equal(t, 0, tb.move(from, 1-from))
	require.Equal(t, tb.members[from].Instance, c.request())
}

// TestLateGrantIsRefused checks that an aborted offer can't be granted later.
func TestLateGrantIsRefused(t *testing.T) {
	tb := newTestbed(t, 2)
	c := tb.dial()
	c.request()
	from := tb.holder()
	tb.peers.queueDeliveries(MethodOffer, loseReply)
	require.Equal(t, 0, tb.move(from, 1-from))
	var key gue.Flow
	for _, f := range tb.agents[from].flows.all() {
		key = f.key
	}
	_, err := tb.agents[1-from].Query(tb.ctx, QueryRequest{Flows: []FlowEpoch{{Flow: key, Epoch: 2}}})
	require.NoError(t, err)
	require.Equal(t, OfferAborted, tb.agents[from].offerOutcome(FlowEpoch{Flow: key, Epoch: 2}))
	require.Equal(t, tb.members[from].Instance, c.request())
	// The next offer has a new epoch, so the flow can still move.
	require.Eventually(t, func() bool { return tb.move(from, 1-from) == 1 }, settleTimeout, pollInterval)
	require.Equal(t, tb.members[1-from].Instance, c.request())
}

// TestUnknownFlowIsReset checks that a caller gets an RST at once when no agent holds its connection.
func TestUnknownFlowIsReset(t *testing.T) {
	tb := newTestbed(t, 2)
	c := tb.dial()
	c.request()
	for _, a := range tb.agents {
		for _, f := range a.flows.all() {
			f.mutex.Lock()
			a.dropFlow(f)
			f.mutex.Unlock()
		}
	}
	require.NoError(t, c.socket.SetDeadline(time.Now().Add(settleTimeout)))
	_, err := c.socket.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	_, err = c.reader.ReadByte()
	require.ErrorContains(t, err, "reset")
}

// TestSilentAgentMayHoldFlow checks that no agent resets a flow while an agent that may hold it doesn't reply, and that
// the caller gets an RST once all agents have replied that they don't hold it.
func TestSilentAgentMayHoldFlow(t *testing.T) {
	tb := newTestbed(t, 2)
	agent := tb.agents[0]
	midStreamACK := segment{
		from:  gue.EndpointOf(netip.MustParseAddrPort("10.1.0.9:4000")),
		to:    gue.EndpointOf(testService.Address),
		flags: header.TCPFlagAck,
	}.encode()
	receive := func(now time.Time) {
		b := append(make([]byte, gue.HeaderLength), midStreamACK...)
		gue.Header{Service: 1, Generation: 1}.Put(b, testKeys.Packet)
		agent.receive(b, now)
	}
	located := func(count uint64) func() bool {
		return func() bool { return agent.Counters.Located.Get() == count }
	}
	now := time.Now()
	tb.peers.queueDeliveries(MethodLocate, loseRequest, loseReply)
	receive(now)
	require.Eventually(t, located(1), settleTimeout, pollInterval)
	receive(now.Add(2 * locateRetryInterval))
	require.Eventually(t, located(2), settleTimeout, pollInterval)
	require.Zero(t, agent.Counters.Resets.Get())
	receive(now.Add(4 * locateRetryInterval))
	require.Eventually(t, located(3), settleTimeout, pollInterval)
	require.Eventually(t, func() bool { return agent.Counters.Resets.Get() == 1 }, settleTimeout, pollInterval)
}

// TestDrainMovesConnections checks that a drain moves connections to other agents without ending any.
func TestDrainMovesConnections(t *testing.T) {
	tb := newTestbed(t, 2)
	clients := make([]*client, 20)
	for i := range clients {
		clients[i] = tb.dial()
		clients[i].request()
	}
	tb.setRoute(tb.members[1:])
	refused := make(chan struct{})
	tb.agents[0].Drain(tb.ctx, DrainLimits{Grace: time.Minute, Limit: 2 * time.Minute}, func() { close(refused) })
	require.Zero(t, tb.agents[0].OpenConnections())
	require.Zero(t, tb.agents[0].Counters.EndedByDrain.Get())
	for _, c := range clients {
		require.Equal(t, tb.members[1].Instance, c.request())
	}
}

// TestUnreachableCallerIsReset checks that a caller whose packets are lost, but who still receives the agent's packets,
// gets an RST when the stack gives up the connection, both while it is idle and while a response is in flight.
func TestUnreachableCallerIsReset(t *testing.T) {
	for name, withRequest := range map[string]bool{"idle": false, "response in flight": true} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t, 1)
			tb.agents[0].stack.Load().SetKeepAlive(shortKeepAlive)
			c := tb.dial()
			c.request()
			if withRequest {
				_, err := c.socket.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
				require.NoError(t, err)
				_, err = c.reader.Peek(1)
				require.NoError(t, err)
			}
			tb.dropUplink.Store(true)
			require.NoError(t, c.socket.SetDeadline(time.Now().Add(settleTimeout)))
			_, err := io.Copy(io.Discard, c.reader)
			require.ErrorContains(t, err, "reset")
		})
	}
}

// TestInvalidPacketsAreDropped checks that packets that no entry would send to this agent are dropped: those of another
// service or generation, to another address, with a wrong tag, or with too many hops.
func TestInvalidPacketsAreDropped(t *testing.T) {
	tb := newTestbed(t, 1)
	syn := func(to string) []byte {
		return segment{
			from:   gue.EndpointOf(netip.MustParseAddrPort("10.1.0.9:4000")),
			to:     gue.EndpointOf(netip.MustParseAddrPort(to)),
			flags:  header.TCPFlagSyn,
			window: 1000,
		}.encode()
	}
	cases := map[gue.Reason]struct {
		header gue.Header
		key    gue.Key
		to     string
	}{
		gue.ReasonService:        {gue.Header{Service: 2, Generation: 1}, testKeys.Packet, "10.9.0.1:80"},
		gue.ReasonGeneration:     {gue.Header{Service: 1, Generation: 2}, testKeys.Packet, "10.9.0.1:80"},
		gue.ReasonUnknownAddress: {gue.Header{Service: 1, Generation: 1}, testKeys.Packet, "10.9.0.2:80"},
		gue.ReasonTag:            {gue.Header{Service: 1, Generation: 1}, testKeys.Hash, "10.9.0.1:80"},
		gue.ReasonHops:           {gue.Header{Service: 1, Generation: 1, Hops: gue.MaxHops + 1}, testKeys.Packet, "10.9.0.1:80"},
	}
	for reason, c := range cases {
		b := append(make([]byte, gue.HeaderLength), syn(c.to)...)
		c.header.Put(b, c.key)
		tb.agents[0].receive(b, time.Now())
		require.Equal(t, uint64(1), tb.agents[0].Counters.dropped[reason].Get(), reason.String())
	}
	require.Empty(t, tb.agents[0].flows.all())
}

// TestReusedPortIsNotReset checks that a finished flow of the same 4-tuple at another agent doesn't break a connection.
// Such a flow remains there when the caller reuses a port.
func TestReusedPortIsNotReset(t *testing.T) {
	tb := newTestbed(t, 2)
	c := tb.dial()
	c.request()
	from := tb.holder()
	other := tb.agents[1-from]
	key := tb.agents[from].flows.all()[0].key
	f, found := other.flows.findOrAdd(key, key.Hash(testKeys.Hash))
	if found {
		f.mutex.Lock()
	}
	f.state = stateLocal
	f.epoch = 1
	f.tcpTracking = tcpTracking{callerNext: 1000, localNext: 2000, opened: true, closing: true}
	f.requestBoundary = &requestBoundary{}
	f.closedAt = time.Now()
	f.mutex.Unlock()
	for range 5 {
		require.Equal(t, tb.members[from].Instance, c.request())
	}
}

// brokenHandler returns a response without a length whose body breaks off.
type brokenHandler struct{}

func (brokenHandler) Serve(context.Context, *http.Request) *http.Response {
	body := io.MultiReader(strings.NewReader("half of the answer"), iotest.ErrReader(io.ErrUnexpectedEOF))
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: -1, Close: true, Body: io.NopCloser(body)}
}

// TestResponseThatBreaksOffDoesNotLookComplete checks that a caller can tell a response that its target broke off from a
// complete one, also if only the end of the connection marks the end of the response.
func TestResponseThatBreaksOffDoesNotLookComplete(t *testing.T) {
	tb := newTestbed(t, 1)
	tb.agents[0].Handler = brokenHandler{}
	c := tb.dial()
	require.NoError(t, c.socket.SetDeadline(time.Now().Add(settleTimeout)))
	_, err := io.WriteString(c.socket, "GET / HTTP/1.1\r\nHost: service\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	require.ErrorContains(t, err, "reset")
}
