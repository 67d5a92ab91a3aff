package caller

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"pgregory.net/rapid"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	settleTimeout = 10 * time.Second
	settlePause   = 5 * time.Millisecond
)

func TestMoveKeepsConnection(t *testing.T) {
	s := newSite(t, 3)
	c := s.dial()
	c.ask()
	for i := range 9 {
		from := s.holder()
		to := (from + 1 + i%2) % 3
		require.Eventually(t, func() bool { return s.move(from, to) == 1 }, settleTimeout, settlePause)
		require.Equal(t, s.members[to].Instance, c.ask())
	}
}

// TestMoveWithUnreadOctets moves a flow while the first octets of a request, and no more, were read. The holder waits
// parkTimeout for a move; a test that was stopped for longer tries with the next request.
func TestMoveWithUnreadOctets(t *testing.T) {
	s := newSite(t, 2)
	c := s.dial()
	c.ask()
	from := s.holder()
	f := s.agents[from].flows.all()[0]
	moved := 0
	for tries := 0; moved == 0 && tries < 20; tries++ {
		s.agents[from].wantAll()
		_, err := io.WriteString(c.socket, "GET /whole HTTP/1.1\r\nHo")
		require.NoError(t, err)
		for begin := time.Now(); moved == 0 && time.Since(begin) < parkTimeout; time.Sleep(time.Millisecond) {
			if f.hasUnread() {
				moved = s.move(from, 1-from)
			}
		}
		_, err = io.WriteString(c.socket, "st: service\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(c.reader, nil)
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, s.members[(from+moved)%2].Instance+" /whole ", string(text))
	}
	require.Equal(t, 1, moved)
}

func (f *flow) hasUnread() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.unread != nil
}

// TestMoveUnderLostMessages loses offers, grants and queries or their answers in every combination that is drawn:
// at no time do two agents answer, and the connection always comes to life again.
func TestMoveUnderLostMessages(t *testing.T) {
	methods := []string{MethodOffer, MethodGrant, MethodQuery, MethodLocate, MethodAnnounce}
	s := newSite(t, 2)
	c := s.dial()
	c.ask()
	rapid.Check(t, func(r *rapid.T) {
		for _, m := range methods {
			for range rapid.IntRange(0, 2).Draw(r, m) {
				s.wire.plan(m, rapid.SampledFrom([]fate{fateDelivered, fateRequestLost, fateReplyLost}).Draw(r, m+"Fate"))
			}
		}
		from := s.holder()
		if from >= 0 {
			s.move(from, 1-from)
		}
		s.holder()
		c.ask()
		require.Eventually(t, func() bool { return s.holder() >= 0 }, settleTimeout, settlePause)
	})
}

// TestMoveToGoneAgent checks that a flow stays when the agent it is offered to has died.
func TestMoveToGoneAgent(t *testing.T) {
	s := newSite(t, 2)
	c := s.dial()
	c.ask()
	from := s.holder()
	s.wire.plan(MethodOffer, fateGone)
	require.Equal(t, 0, s.move(from, 1-from))
	require.Equal(t, s.members[from].Instance, c.ask())
}

// TestLateGrantIsRefused checks that an offer taken back can't be granted later.
func TestLateGrantIsRefused(t *testing.T) {
	s := newSite(t, 2)
	c := s.dial()
	c.ask()
	from := s.holder()
	s.wire.plan(MethodOffer, fateReplyLost)
	require.Equal(t, 0, s.move(from, 1-from))
	var key gue.Flow
	for _, f := range s.agents[from].flows.all() {
		key = f.key
	}
	_, err := s.agents[1-from].Query(s.ctx, QueryRequest{Flows: []FlowEpoch{{Flow: key, Epoch: 2}}})
	require.NoError(t, err)
	require.Equal(t, VerdictAborted, s.agents[from].verdict(FlowEpoch{Flow: key, Epoch: 2}))
	require.Equal(t, s.members[from].Instance, c.ask())
	// The next offer has an epoch of its own, so that the flow can still move.
	require.Eventually(t, func() bool { return s.move(from, 1-from) == 1 }, settleTimeout, settlePause)
	require.Equal(t, s.members[1-from].Instance, c.ask())
}

// TestUnknownFlowIsReset checks that a caller learns at once that nobody holds its connection.
func TestUnknownFlowIsReset(t *testing.T) {
	s := newSite(t, 2)
	c := s.dial()
	c.ask()
	for _, a := range s.agents {
		for _, f := range a.flows.all() {
			f.mutex.Lock()
			a.drop(f)
			f.mutex.Unlock()
		}
	}
	require.NoError(t, c.socket.SetDeadline(time.Now().Add(settleTimeout)))
	_, err := c.socket.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	_, err = c.reader.ReadByte()
	require.ErrorContains(t, err, "reset")
}

// TestSilentAgentMayHoldFlow checks that nobody resets a flow while an agent that may hold it doesn't answer, and that
// the caller is told once all have answered that they don't.
func TestSilentAgentMayHoldFlow(t *testing.T) {
	s := newSite(t, 2)
	asked := s.agents[0]
	middle := segment{
		from:  gue.EndpointOf(netip.MustParseAddrPort("10.1.0.9:4000")),
		to:    gue.EndpointOf(testService.Address),
		flags: header.TCPFlagAck,
	}.bytes()
	receive := func(now time.Time) {
		b := append(make([]byte, gue.HeaderLength), middle...)
		gue.Header{Service: 1, Generation: 1}.Put(b, testKeys.Packet)
		asked.receive(b, now)
	}
	located := func(count uint64) func() bool {
		return func() bool { return asked.Counters.Located.Get() == count }
	}
	now := time.Now()
	s.wire.plan(MethodLocate, fateRequestLost, fateReplyLost)
	receive(now)
	require.Eventually(t, located(1), settleTimeout, settlePause)
	receive(now.Add(2 * askAgain))
	require.Eventually(t, located(2), settleTimeout, settlePause)
	require.Zero(t, asked.Counters.Resets.Get())
	receive(now.Add(4 * askAgain))
	require.Eventually(t, located(3), settleTimeout, settlePause)
	require.Eventually(t, func() bool { return asked.Counters.Resets.Get() == 1 }, settleTimeout, settlePause)
}

// TestDrainMovesConnections checks that a drained agent's connections go on elsewhere.
func TestDrainMovesConnections(t *testing.T) {
	s := newSite(t, 2)
	clients := make([]*client, 20)
	for i := range clients {
		clients[i] = s.dial()
		clients[i].ask()
	}
	s.setRoute(s.members[1:])
	refused := make(chan struct{})
	s.agents[0].Drain(s.ctx, DrainLimits{Grace: time.Minute, Limit: 2 * time.Minute}, func() { close(refused) })
	require.Zero(t, s.agents[0].Open())
	require.Zero(t, s.agents[0].Counters.Ended.Get())
	for _, c := range clients {
		require.Equal(t, s.members[1].Instance, c.ask())
	}
}

// TestSwallowedCallerIsReset checks that a caller whose packets no longer arrive, but who still hears the agent, learns
// that its connection ended, both from an idle connection and from one with an answer on its way.
func TestSwallowedCallerIsReset(t *testing.T) {
	for name, asking := range map[string]bool{"idle": false, "answer on its way": true} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1)
			s.agents[0].stack.Load().SetKeepAlive(quickKeep)
			c := s.dial()
			c.ask()
			if asking {
				_, err := c.socket.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
				require.NoError(t, err)
				_, err = c.reader.Peek(1)
				require.NoError(t, err)
			}
			s.deaf.Store(true)
			require.NoError(t, c.socket.SetDeadline(time.Now().Add(settleTimeout)))
			_, err := io.Copy(io.Discard, c.reader)
			require.ErrorContains(t, err, "reset")
		})
	}
}

// TestStrangersPacketsAreDropped sends packets that an entry would never send here: none may reach the service.
func TestStrangersPacketsAreDropped(t *testing.T) {
	s := newSite(t, 1)
	opening := func(to string) []byte {
		return segment{
			from:   gue.EndpointOf(netip.MustParseAddrPort("10.1.0.9:4000")),
			to:     gue.EndpointOf(netip.MustParseAddrPort(to)),
			flags:  header.TCPFlagSyn,
			window: 1000,
		}.bytes()
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
		b := append(make([]byte, gue.HeaderLength), opening(c.to)...)
		c.header.Put(b, c.key)
		s.agents[0].receive(b, time.Now())
		require.Equal(t, uint64(1), s.agents[0].Counters.dropped[reason].Get(), reason.String())
	}
	require.Empty(t, s.agents[0].flows.all())
}

// TestReusedPortIsNotReset plants the remains of an earlier connection of the same addresses and ports at the other agent.
func TestReusedPortIsNotReset(t *testing.T) {
	s := newSite(t, 2)
	c := s.dial()
	c.ask()
	from := s.holder()
	other := s.agents[1-from]
	key := s.agents[from].flows.all()[0].key
	f, found := other.flows.findOrAdd(key, key.Hash(testKeys.Hash))
	if found {
		f.mutex.Lock()
	}
	f.state = stateLocal
	f.epoch = 1
	f.tracking = tracking{callerNext: 1000, localNext: 2000, opened: true, ending: true}
	f.boundary = &boundary{}
	f.closed = time.Now()
	f.mutex.Unlock()
	for range 5 {
		require.Equal(t, s.members[from].Instance, c.ask())
	}
}
