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
	testKeys    = Keys{Hash: gue.Key{High: 1, Low: 2}, Packet: gue.Key{High: 3, Low: 4}}
	testService = services.Service{Name: "catalogue", ID: 1, Generation: 1, Address: netip.MustParseAddrPort("10.9.0.1:80")}
	testKeep    = tcpstack.KeepAlive{Idle: time.Minute, Interval: time.Minute, Count: 3}
	quickKeep   = tcpstack.KeepAlive{Idle: time.Second, Interval: time.Second, Count: 1}
)

// fate is what happens to a control message.
type fate int

const (
	fateDelivered fate = iota
	fateRequestLost
	fateReplyLost
	fateGone
)

// lossError stands for a message that got no answer.
type lossError struct{}

func (lossError) Error() string { return "no answer" }

// wire carries control messages between the agents of a test and lets some fail.
type wire struct {
	mutex  sync.Mutex
	agents map[netip.AddrPort]*Terminator
	fates  map[string][]fate
}

func (w *wire) fate(method string) fate {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	next := w.fates[method]
	if len(next) == 0 {
		return fateDelivered
	}
	w.fates[method] = next[1:]
	return next[0]
}

func (w *wire) plan(method string, fates ...fate) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.fates[method] = append(w.fates[method], fates...)
}

// Call delivers a message in this process.
func (w *wire) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	f := w.fate(method)
	w.mutex.Lock()
	t, ok := w.agents[to]
	w.mutex.Unlock()
	if f == fateGone || !ok {
		return &peer.CallError{Peer: to, Method: method, Gone: true, Cause: lossError{}}
	}
	if f == fateRequestLost {
		return &peer.CallError{Peer: to, Method: method, Cause: lossError{}}
	}
	err := t.dispatch(ctx, params, result)
	if f == fateReplyLost {
		return &peer.CallError{Peer: to, Method: method, Cause: lossError{}}
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

// echo answers with the agent's name and what the request held.
type echo struct {
	name string
}

func (e echo) Serve(_ context.Context, r *http.Request) *http.Response {
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

// site is some agents of one service, a caller's stack, and a fabric that sprays packets over the agents.
type site struct {
	t       testing.TB
	wire    *wire
	agents  []*Terminator
	members []facts.Member
	stack   *tcpstack.Stack
	fabric  *net.UDPConn
	ctx     context.Context
	// deaf makes the fabric swallow what the caller sends.
	deaf atomic.Bool
}

func newSite(t testing.TB, agents int) *site {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &site{t: t, ctx: ctx, wire: &wire{agents: map[netip.AddrPort]*Terminator{}, fates: map[string][]fate{}}}
	s.fabric = listen(t)
	for i := range agents {
		s.addAgent(i)
	}
	s.setRoute(s.members)
	var err error
	s.stack, err = tcpstack.New([4]byte{10, 1, 0, 1}, testKeep)
	require.NoError(t, err)
	go s.runUp()
	go s.runDown()
	return s
}

func listen(t testing.TB) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func (s *site) addAgent(i int) {
	socket := listen(s.t)
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
		Fabric:    s.fabric.LocalAddr().(*net.UDPAddr).AddrPort(),
		Keys:      testKeys,
		KeepAlive: testKeep,
		Handler:   echo{m.Instance},
		Peers:     s.wire,
		Socket:    socket,
		Counters:  NewCounters(metrics.NewSet()),
		Logger:    slog.New(slog.DiscardHandler),
	}
	agent.Start(s.ctx)
	s.wire.agents[m.Control] = agent
	s.agents = append(s.agents, agent)
	s.members = append(s.members, m)
}

func (s *site) setRoute(members []facts.Member) {
	routes := services.Build(services.List{Services: []services.Service{testService}}, members, table.NewRendezvous, nil)
	for _, a := range s.agents {
		require.NoError(s.t, a.SetRoute(s.ctx, time.Now(), routes.Find(gue.EndpointOf(testService.Address))))
	}
}

// runUp sends each of the caller's packets to an agent by chance, as entries that disagree would.
func (s *site) runUp() {
	for {
		b := s.stack.ReadOutbound(s.ctx)
		if b == nil {
			return
		}
		if s.deaf.Load() {
			continue
		}
		d := append(make([]byte, gue.HeaderLength), b...)
		gue.Header{Service: 1, Generation: 1}.Put(d, testKeys.Packet)
		_, _ = s.fabric.WriteToUDPAddrPort(d, s.members[rand.IntN(len(s.members))].Packets)
	}
}

func (s *site) runDown() {
	b := make([]byte, datagramBytes)
	for {
		n, _, err := s.fabric.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		s.stack.InjectInbound(b[:n])
	}
}

// client is a connection of the caller.
type client struct {
	t      testing.TB
	socket net.Conn
	reader *bufio.Reader
	asked  int
}

func (s *site) dial() *client {
	c, err := s.stack.Dial(s.ctx, gue.EndpointOf(testService.Address))
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	return &client{t: s.t, socket: c, reader: bufio.NewReader(c)}
}

// ask sends a request and returns the name of the agent that answered.
func (c *client) ask() string {
	c.asked++
	body := strings.Repeat("x", 3000+c.asked)
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://service/%d", c.asked), strings.NewReader(body))
	require.NoError(c.t, err)
	require.NoError(c.t, c.socket.SetDeadline(time.Now().Add(20*time.Second)))
	require.NoError(c.t, r.Write(c.socket))
	response, err := http.ReadResponse(c.reader, r)
	require.NoError(c.t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	name, rest, _ := strings.Cut(string(text), " ")
	require.Equal(c.t, fmt.Sprintf("/%d %s", c.asked, body), rest)
	return name
}

// holder returns the index of the agent that answers for the only flow, and requires that it is one at most.
func (s *site) holder() int {
	found := -1
	for i, a := range s.agents {
		for _, f := range a.flows.all() {
			f.mutex.Lock()
			holds := f.state == stateLocal
			f.mutex.Unlock()
			if holds {
				require.Equal(s.t, -1, found, "two agents answer for one flow")
				found = i
			}
		}
	}
	return found
}

// move offers every flow of one agent to another once and returns how many moved.
func (s *site) move(from, to int) int {
	return s.agents[from].Move(s.ctx, s.members[to], s.agents[from].flows.all())
}
