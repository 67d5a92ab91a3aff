// Package caller ends callers' TCP connections, finds those that other agents hold and moves them between agents.
package caller

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/services"
	"github.com/coltsfootline/coltsfootline/kernel/tcpstack"
)

const (
	sweepPeriod     = time.Second
	closedLinger    = 10 * time.Second
	foreignIdleTime = 5 * time.Minute
	pendingTimeout  = 3 * time.Second
	ownerMemory     = 20 * time.Second
)

// Caller calls methods of other agents.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Keys are the secrets that entries and agents share.
type Keys struct {
	Hash   gue.Key
	Packet gue.Key
}

// Terminator holds the connections of one agent. Set the exported fields, then Start.
type Terminator struct {
	Self      facts.Member
	Fabric    netip.AddrPort
	Keys      Keys
	KeepAlive tcpstack.KeepAlive
	Handler   Handler
	Peers     Caller
	Socket    *net.UDPConn
	Counters  *Counters
	Logger    *slog.Logger

	flows   flows
	route   atomic.Pointer[services.Route]
	former  atomic.Pointer[[]formerRoute]
	stack   atomic.Pointer[tcpstack.Stack]
	drained atomic.Bool
	// lastDirect is when an entry last sent a packet here, in Unix nanoseconds.
	lastDirect atomic.Int64
	locator    locator
	granter    granter
}

// formerRoute is a route that was in force until a time not long ago.
type formerRoute struct {
	route *services.Route
	until time.Time
}

// SetRoute puts a route of this agent's service in force. Call it on the control thread.
func (t *Terminator) SetRoute(ctx context.Context, now time.Time, r *services.Route) error {
	t.remember(now, r)
	t.route.Store(r)
	if t.stack.Load() == nil {
		address := gue.EndpointOf(r.Service.Address)
		s, err := tcpstack.New(address.Address, t.KeepAlive)
		if err != nil {
			return err
		}
		if err := s.Listen(address); err != nil {
			return err
		}
		t.stack.Store(s)
		events.ServiceKnown.Log(t.Logger, slog.String("service", r.Service.Name))
		go (&acceptor{t}).run(ctx)
		go (&emitter{t}).run(ctx)
	}
	a := &announcer{owner: t, route: r}
	go a.run(ctx)
	return nil
}

func (t *Terminator) remember(now time.Time, r *services.Route) {
	last := t.route.Load()
	if last == nil || last.Version == r.Version {
		return
	}
	kept := []formerRoute{{route: last, until: now.Add(ownerMemory)}}
	if former := t.former.Load(); former != nil {
		for _, f := range *former {
			if now.Before(f.until) {
				kept = append(kept, f)
			}
		}
	}
	t.former.Store(&kept)
}

// Start reads packets from Socket until ctx ends.
func (t *Terminator) Start(ctx context.Context) {
	t.locator.start(ctx, t)
	t.granter.start(ctx, t)
	go (&receiver{t}).run(ctx)
	go (&sweeper{t}).run(ctx)
}

// Open reports how many connections this agent holds.
func (t *Terminator) Open() int {
	n := 0
	for _, f := range t.flows.all() {
		f.mutex.Lock()
		if f.state == stateLocal && f.closed.IsZero() || f.state == stateOffered {
			n++
		}
		f.mutex.Unlock()
	}
	return n
}

// acceptor joins connections that the stack opened with their flows.
type acceptor struct {
	owner *Terminator
}

func (a *acceptor) run(ctx context.Context) {
	t := a.owner
	s := t.stack.Load()
	for ctx.Err() == nil {
		socket, endpoint, err := s.Accept(ctx)
		if err != nil {
			if ctx.Err() == nil {
				events.StackRefused.Log(t.Logger, events.Failure(err))
			}
			return
		}
		remote, _ := netip.ParseAddrPort(socket.RemoteAddr().String())
		key := gue.Flow{Caller: gue.EndpointOf(remote), Service: gue.EndpointOf(t.route.Load().Service.Address)}
		f := t.flows.find(key, key.Hash(t.Keys.Hash))
		if f == nil || !t.attach(ctx, f, socket, endpoint) {
			endpoint.Abort()
		}
	}
}

func (t *Terminator) attach(ctx context.Context, f *flow, socket net.Conn, endpoint tcpip.Endpoint) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.conn != nil || f.state != stateLocal && f.state != statePreparing && f.state != statePrepared {
		return false
	}
	f.conn = newConn(t, f, socket, endpoint)
	go f.conn.run(ctx)
	return true
}

// connEnded notes that the HTTP side is done with a connection. The stack gives up a caller that stopped answering
// without a word; the RST tells the caller in case it still hears this agent.
func (t *Terminator) connEnded(c *conn, now time.Time) {
	failed := tcpstack.Failed(c.endpoint)
	_ = c.socket.Close()
	f := c.flow
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.conn != c {
		return
	}
	f.closed = now
	if failed && !f.ending && f.state == stateLocal {
		f.ending = true
		t.toCaller(f.reset())
		t.Counters.Resets.Inc()
	}
}

// sweeper removes flows that ended and knowledge that nobody used.
type sweeper struct {
	owner *Terminator
}

func (s *sweeper) run(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.sweep(now)
		}
	}
}

func (s *sweeper) sweep(now time.Time) {
	for _, f := range s.owner.flows.all() {
		f.mutex.Lock()
		if expired(f, now) {
			s.owner.drop(f)
		}
		f.mutex.Unlock()
	}
}

// expired decides whether a locked flow's entry is of no more use.
func expired(f *flow, now time.Time) bool {
	switch f.state {
	case stateLocal:
		return !f.closed.IsZero() && now.Sub(f.closed) > closedLinger
	case statePending:
		return now.Sub(f.lastSeen) > pendingTimeout
	case stateForeign:
		return now.Sub(f.lastSeen) > foreignIdleTime
	default:
		return false
	}
}

// drop removes a locked flow and frees its connection without a word to the caller.
func (t *Terminator) drop(f *flow) {
	c := f.conn
	t.flows.remove(f)
	if c != nil {
		go (&aborter{c}).run()
	}
}

// aborter frees a connection outside the lock of its flow.
type aborter struct {
	conn *conn
}

func (a *aborter) run() {
	a.conn.abort()
}
