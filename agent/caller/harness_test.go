package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/services"
	"github.com/coltsfootline/coltsfootline/kernel/table"
	"github.com/coltsfootline/coltsfootline/kernel/tcpstack"
)

var (
	testKeys       = Keys{Hash: gue.Key{High: 1, Low: 2}, Packet: gue.Key{High: 3, Low: 4}}
	testService    = services.Service{Name: "catalogue", ID: 1, Generation: 1, Address: netip.MustParseAddrPort("10.9.0.1:80")}
	testKeepAlive  = tcpstack.KeepAlive{Idle: time.Minute, Interval: time.Minute, Count: 3}
	shortKeepAlive = tcpstack.KeepAlive{Idle: time.Second, Interval: time.Second, Count: 1}
)

// delivery is the fate of a control call: delivered, its request or reply lost, or refused because the peer is gone.
type delivery int

const (
	deliverBoth delivery = iota
	loseRequest
	loseReply
	peerGone
)

// noReplyError is the cause of a call that got no reply.
type noReplyError struct{}

func (noReplyError) Error() string { return "no reply" }

// fakePeers is a PeerClient that delivers control messages between the agents of a test and simulates lost ones.
type fakePeers struct {
	mutex      sync.Mutex
	agents     map[netip.AddrPort]*Terminator
	deliveries map[string][]delivery
}

func (p *fakePeers) nextDelivery(method string) delivery {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	next := p.deliveries[method]
	if len(next) == 0 {
		return deliverBoth
	}
	p.deliveries[method] = next[1:]
	return next[0]
}

func (p *fakePeers) queueDeliveries(method string, deliveries ...delivery) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.deliveries[method] = append(p.deliveries[method], deliveries...)
}

// Call implements PeerClient.
func (p *fakePeers) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	d := p.nextDelivery(method)
	p.mutex.Lock()
	t, ok := p.agents[to]
	p.mutex.Unlock()
	if d == peerGone || !ok {
		return &peer.CallError{Peer: to, Method: method, Refused: true, Cause: noReplyError{}}
	}
	if d == loseRequest {
		return &peer.CallError{Peer: to, Method: method, Cause: noReplyError{}}
	}
	err := t.dispatch(ctx, params, result)
	if d == loseReply {
		return &peer.CallError{Peer: to, Method: method, Cause: noReplyError{}}
	}
	return err
}

func (t *Terminator) dispatch(ctx context.Context, params, result any) (err error) {
	switch p := params.(type) {
	case LocateRequest:
		*result.(*LocateReply), err = t.Locate(ctx, p)
	case AnnounceRequest:
		*result.(*AnnounceReply), err = t.Announce(ctx, p)
	case OfferRequest:
		*result.(*OfferReply), err = t.Offer(ctx, p)
	case GrantRequest:
		*result.(*GrantReply), err = t.Grant(ctx, p)
	case QueryRequest:
		*result.(*QueryReply), err = t.Query(ctx, p)
	}
	return err
}

// echoHandler responds with the agent's name and the path and body of the request.
type echoHandler struct {
	name string
}

func (e echoHandler) Serve(_ context.Context, r *http.Request) *http.Response {
	body, _ := io.ReadAll(r.Body)
	text := fmt.Sprintf("%s %s %s", e.name, r.URL.Path, body)
	return &http.Response{
		StatusCode:    http.StatusOK,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{},
		ContentLength: int64(len(text)),
		Body:          io.NopCloser(strings.NewReader(text)),
	}
}

// testbed has agents of one service, a caller's TCP stack, and a fabric that sends each packet to a random agent.
type testbed struct {
	t       testing.TB
	peers   *fakePeers
	agents  []*Terminator
	members []facts.Member
	stack   *tcpstack.Stack
	fabric  *net.UDPConn
	ctx     context.Context
	// dropUplink makes the fabric drop the caller's packets.
	dropUplink atomic.Bool
}

func newTestbed(t testing.TB, agents int) *testbed {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	tb := &testbed{t: t, ctx: ctx, peers: &fakePeers{agents: map[netip.AddrPort]*Terminator{}, deliveries: map[string][]delivery{}}}
	tb.fabric = listen(t)
	for i := range agents {
		tb.addAgent(i)
	}
	tb.setRoute(tb.members)
	var err error
	tb.stack, err = tcpstack.New([4]byte{10, 1, 0, 1}, testKeepAlive)
	require.NoError(t, err)
	go tb.runUplink()
	go tb.runDownlink()
	return tb
}

func listen(t testing.TB) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func (tb *testbed) addAgent(i int) {
	socket := listen(tb.t)
	m := facts.Member{
		Instance: fmt.Sprintf("agent-%d", i),
		Role:     facts.RoleAgent,
		Service:  testService.Name,
		State:    facts.StateServing,
		Packets:  socket.LocalAddr().(*net.UDPAddr).AddrPort(),
		Control:  netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
	}
	agent := &Terminator{
		Self:      m,
		Fabric:    tb.fabric.LocalAddr().(*net.UDPAddr).AddrPort(),
		Keys:      testKeys,
		KeepAlive: testKeepAlive,
		Handler:   echoHandler{m.Instance},
		Peers:     tb.peers,
		Socket:    socket,
		Counters:  NewCounters(metrics.NewSet()),
		Logger:    slog.New(slog.DiscardHandler),
	}
	agent.Start(tb.ctx)
	tb.peers.agents[m.Control] = agent
	tb.agents = append(tb.agents, agent)
	tb.members = append(tb.members, m)
}

func (tb *testbed) setRoute(members []facts.Member) {
	routes := services.BuildRoutes(services.List{Services: []services.Service{testService}}, members, table.NewRendezvous, nil)
	for _, a := range tb.agents {
		require.NoError(tb.t, a.SetRoute(tb.ctx, time.Now(), routes.Find(gue.EndpointOf(testService.Address))))
	}
}

// runUplink sends each of the caller's packets to a random agent, as entries with different tables would.
func (tb *testbed) runUplink() {
	for {
		b := tb.stack.ReadOutbound(tb.ctx)
		if b == nil {
			return
		}
		if tb.dropUplink.Load() {
			continue
		}
		d := append(make([]byte, gue.HeaderLength), b...)
		gue.Header{Service: 1, Generation: 1}.Put(d, testKeys.Packet)
		_, _ = tb.fabric.WriteToUDPAddrPort(d, tb.members[rand.IntN(len(tb.members))].Packets)
	}
}

func (tb *testbed) runDownlink() {
	b := make([]byte, datagramBytes)
	for {
		n, _, err := tb.fabric.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		tb.stack.InjectInbound(b[:n])
	}
}

// client is an HTTP client on one connection of the caller.
type client struct {
	t        testing.TB
	socket   net.Conn
	reader   *bufio.Reader
	requests int
}

func (tb *testbed) dial() *client {
	c, err := tb.stack.Dial(tb.ctx, gue.EndpointOf(testService.Address))
	require.NoError(tb.t, err)
	tb.t.Cleanup(func() { _ = c.Close() })
	return &client{t: tb.t, socket: c, reader: bufio.NewReader(c)}
}

// request sends a request and returns the name of the agent that responded.
func (c *client) request() string {
	c.requests++
	body := strings.Repeat("x", 3000+c.requests)
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://service/%d", c.requests), strings.NewReader(body))
	require.NoError(c.t, err)
	require.NoError(c.t, c.socket.SetDeadline(time.Now().Add(20*time.Second)))
	require.NoError(c.t, r.Write(c.socket))
	response, err := http.ReadResponse(c.reader, r)
	require.NoError(c.t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	name, rest, _ := strings.Cut(string(text), " ")
	require.Equal(c.t, fmt.Sprintf("/%d %s", c.requests, body), rest)
	return name
}

// holder returns the index of the agent that holds the only flow, or -1 if none does. It fails the test if more than one
// agent holds it.
func (tb *testbed) holder() int {
	found := -1
	for i, a := range tb.agents {
		for _, f := range a.flows.all() {
			f.mutex.Lock()
			holds := f.state == stateLocal
			f.mutex.Unlock()
			if holds {
				require.Equal(tb.t, -1, found, "two agents hold the same flow")
				found = i
			}
		}
	}
	return found
}

// move offers the flows of one agent that are at a request boundary to another agent, once, and returns the number of
// flows moved.
func (tb *testbed) move(from, to int) int {
	return tb.agents[from].Move(tb.ctx, tb.members[to], tb.agents[from].flows.all())
}
