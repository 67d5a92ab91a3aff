// Package caller terminates callers' TCP connections, locates those that other agents hold and moves connections
// between agents.
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
	sweepInterval        = time.Second
	closedFlowRetention  = 10 * time.Second
	remoteFlowTimeout    = 5 * time.Minute
	pendingFlowTimeout   = 3 * time.Second
	formerRouteRetention = 20 * time.Second
)

// PeerClient calls control methods of other agents.
type PeerClient interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Keys are the secret keys that entries and agents share.
type Keys struct {
	Hash   gue.Key
	Packet gue.Key
}

// Terminator terminates the TCP connections of one agent. Set the exported fields, then call Start.
type Terminator struct {
	Self      facts.Member
	Fabric    netip.AddrPort
	Keys      Keys
	KeepAlive tcpstack.KeepAlive
	Handler   Handler
	Peers     PeerClient
	Socket    *net.UDPConn
	Counters  *Counters
	Logger    *slog.Logger

	flows        flowTable
	route        atomic.Pointer[services.Route]
	formerRoutes atomic.Pointer[[]formerRoute]
	stack        atomic.Pointer[tcpstack.Stack]
	draining     atomic.Bool
	// lastFromEntry is the time of the last packet that came directly from an entry, in Unix nanoseconds.
	lastFromEntry atomic.Int64
	locator       locator
	granter       granter
}

// formerRoute is a replaced route. Until the given time, its owners are asked whether they hold a flow before this agent
// accepts it.
type formerRoute struct {
	route *services.Route
	until time.Time
}

// SetRoute applies a new route of this agent's service and announces the held flows to their owners under it. The first
// call starts the TCP stack. Calls must not run concurrently.
func (t *Terminator) SetRoute(ctx context.Context, now time.Time, r *services.Route) error {
	t.retainFormerRoute(now, r)
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
	a := &announcer{terminator: t, route: r}
	go a.run(ctx)
	return nil
}

// retainFormerRoute keeps the current route for formerRouteRetention if the new route r has another version.
func (t *Terminator) retainFormerRoute(now time.Time, r *services.Route) {
	last := t.route.Load()
	if last == nil || last.Version == r.Version {
		return
	}
	kept := []formerRoute{{route: last, until: now.Add(formerRouteRetention)}}
	if former := t.formerRoutes.Load(); former != nil {
		for _, f := range *former {
			if now.Before(f.until) {
				kept = append(kept, f)
			}
		}
	}
	t.formerRoutes.Store(&kept)
}

// Start starts the goroutines that read packets from Socket, look up holders, send grants and remove expired flows.
// They run until ctx ends.
func (t *Terminator) Start(ctx context.Context) {
	t.locator.start(ctx, t)
	t.granter.start(ctx, t)
	go (&receiver{t}).run(ctx)
	go (&sweeper{t}).run(ctx)
}

// OpenConnections returns the number of connections that this agent holds.
func (t *Terminator) OpenConnections() int {
	n := 0
	for _, f := range t.flows.all() {
		f.mutex.Lock()
		if f.state == stateLocal && f.closedAt.IsZero() || f.state == stateOffered {
			n++
		}
		f.mutex.Unlock()
	}
	return n
}

// acceptor attaches the connections that the stack accepts to their flows and aborts those that belong to none.
type acceptor struct {
	terminator *Terminator
}

func (a *acceptor) run(ctx context.Context) {
	t := a.terminator
	s := t.stack.Load()
	for ctx.Err() == nil {
		socket, endpoint, err := s.Accept(ctx)
		if err != nil {
			if ctx.Err() == nil {
				events.StackRefused.Log(t.Logger, events.ErrorAttr(err))
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

// attach starts serving HTTP on a connection of the stack. It reports false if the flow already has a connection or is
// neither held nor being prepared at this agent.
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

// finishConn closes a connection after its HTTP side has ended. When the caller stops acknowledging, the stack gives up
// the connection without sending anything; the RST reaches a caller that still receives this agent's packets.
func (t *Terminator) finishConn(c *conn, now time.Time) {
	failed := tcpstack.Failed(c.endpoint)
	_ = c.socket.Close()
	f := c.flow
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.conn != c {
		return
	}
	f.closedAt = now
	if failed && !f.closing && f.state == stateLocal {
		f.closing = true
		t.sendToCaller(f.resetSegment())
		t.Counters.Resets.Inc()
	}
}

// sweeper removes ended flows, and remote and pending flows that have received no packets for some time.
type sweeper struct {
	terminator *Terminator
}

func (s *sweeper) run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
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
	for _, f := range s.terminator.flows.all() {
		f.mutex.Lock()
		if expired(f, now) {
			s.terminator.dropFlow(f)
		}
		f.mutex.Unlock()
	}
}

// expired reports whether a locked flow can be removed from the table.
func expired(f *flow, now time.Time) bool {
	switch f.state {
	case stateLocal:
		return !f.closedAt.IsZero() && now.Sub(f.closedAt) > closedFlowRetention
	case statePending:
		return now.Sub(f.lastSeen) > pendingFlowTimeout
	case stateRemote:
		return now.Sub(f.lastSeen) > remoteFlowTimeout
	default:
		return false
	}
}

// dropFlow removes a locked flow and aborts its connection without sending anything to the caller.
func (t *Terminator) dropFlow(f *flow) {
	c := f.conn
	t.flows.remove(f)
	if c != nil {
		go (&aborter{c}).run()
	}
}

// aborter aborts a connection without holding the lock of its flow.
type aborter struct {
	conn *conn
}

func (a *aborter) run() {
	a.conn.abort()
}
