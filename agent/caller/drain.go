package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	moveRetryDelay     = 10 * time.Millisecond
	lingerPollInterval = 100 * time.Millisecond
	drainGrantsTimeout = 10 * time.Second
)

// DrainLimits sets the durations of a drain's phases.
type DrainLimits struct {
	// Grace is how long this agent goes on running new requests.
	Grace time.Duration `yaml:"grace"`
	// Limit is how long the drain tries to move connections. Those that are still here and idle at its end are closed.
	Limit time.Duration `yaml:"limit"`
	// Linger limits how long the agent goes on forwarding packets that entries with older tables still send to it.
	Linger time.Duration `yaml:"linger"`
}

// quietPeriod is the time without packets from entries after which an agent that holds no flows may stop.
const quietPeriod = 3 * time.Second

// lingerDone reports whether a lingering agent may stop: no entry sends it packets any more, or the limit is reached.
func (l DrainLimits) lingerDone(now, started, lastFromEntry time.Time) bool {
	last := started
	if lastFromEntry.After(started) {
		last = lastFromEntry
	}
	return now.Sub(last) >= quietPeriod || now.Sub(started) >= l.Linger
}

// Linger keeps the agent forwarding packets until no entry sends it any more, or until the limit.
func (t *Terminator) Linger(ctx context.Context, limits DrainLimits) {
	started := time.Now()
	for ctx.Err() == nil && !limits.lingerDone(time.Now(), started, time.Unix(0, t.lastFromEntry.Load())) {
		sleep(ctx, lingerPollInterval)
	}
}

// Destination chooses the agent that a flow moves to. It reports false if there is none.
type Destination func(f Candidate) (facts.Member, bool)

// Candidate describes a flow to a Destination.
type Candidate struct {
	Hash uint64
}

// ToOwner is a Destination that moves flows to their owners, which is where entries send the packets.
func (t *Terminator) ToOwner(c Candidate) (facts.Member, bool) {
	m, ok := t.route.Load().OwnerOf(c.Hash)
	return m, ok && m.Packets != t.Self.Packets
}

// ToAny is a Destination that moves flows to a random other agent that accepts new flows.
func (t *Terminator) ToAny(_ Candidate) (facts.Member, bool) {
	owners := t.route.Load().Owners
	for _, i := range rand.Perm(len(owners)) {
		if owners[i].Packets != t.Self.Packets {
			return owners[i], true
		}
	}
	return facts.Member{}, false
}

// MoveAll moves the connections that this agent holds at the start until none is left or ctx ends, and returns the
// number moved.
func (t *Terminator) MoveAll(ctx context.Context, destination Destination) int {
	pending := t.requestMoves()
	moved := 0
	for len(pending) > 0 && ctx.Err() == nil {
		moved += t.moveRound(ctx, pending, destination)
		pending = t.filterHeld(pending)
		sleep(ctx, moveRetryDelay)
	}
	t.cancelMoveRequests(pending)
	return moved
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// requestMoves marks all open flows of this agent to be moved and returns them.
func (t *Terminator) requestMoves() []*flow {
	var marked []*flow
	for _, f := range t.flows.all() {
		f.mutex.Lock()
		if f.state == stateLocal && f.closedAt.IsZero() {
			f.moveRequested = true
			marked = append(marked, f)
		}
		f.mutex.Unlock()
	}
	return marked
}

// cancelMoveRequests clears the mark that requestMoves set.
func (t *Terminator) cancelMoveRequests(all []*flow) {
	for _, f := range all {
		f.mutex.Lock()
		if f.requestBoundary != nil {
			f.moveRequested = false
		}
		f.mutex.Unlock()
	}
}

// filterHeld returns the flows that are still open at this agent and marked to be moved. It reuses the slice.
func (t *Terminator) filterHeld(all []*flow) []*flow {
	held := all[:0]
	for _, f := range all {
		f.mutex.Lock()
		if f.state == stateLocal && f.moveRequested && f.closedAt.IsZero() {
			held = append(held, f)
		}
		f.mutex.Unlock()
	}
	return held
}

// moveRound tries once to move each pending flow that is at a request boundary, with one goroutine per destination, and
// returns the number of flows moved.
func (t *Terminator) moveRound(ctx context.Context, pending []*flow, destination Destination) int {
	groups := map[facts.Member][]*flow{}
	for _, f := range pending {
		f.mutex.Lock()
		ready := f.movable()
		f.mutex.Unlock()
		if !ready {
			continue
		}
		if m, ok := destination(Candidate{Hash: f.hash}); ok {
			groups[m] = append(groups[m], f)
		}
	}
	results := make(chan int, len(groups))
	for m, group := range groups {
		g := &moveGroup{terminator: t, to: m, flows: group, results: results}
		go g.run(ctx)
	}
	moved := 0
	for range groups {
		moved += <-results
	}
	return moved
}

// moveGroup moves flows to one agent.
type moveGroup struct {
	terminator *Terminator
	to         facts.Member
	flows      []*flow
	results    chan<- int
}

func (g *moveGroup) run(ctx context.Context) {
	g.results <- g.terminator.Move(ctx, g.to, g.flows)
}

// Drain moves all connections to other agents until none is left or the limit has passed, and calls refuse when the
// grace period has passed. It then closes the idle connections that could not move; connections with a request in flight
// stay open. Last, it waits up to drainGrantsTimeout for the delivery of queued grants.
func (t *Terminator) Drain(ctx context.Context, limits DrainLimits, refuse func()) {
	events.DrainStarted.Log(t.Logger)
	t.draining.Store(true)
	stop := time.AfterFunc(limits.Grace, refuse)
	defer stop.Stop()
	ctx, cancel := context.WithTimeout(ctx, limits.Limit)
	defer cancel()
	for t.OpenConnections() > 0 && ctx.Err() == nil {
		t.MoveAll(ctx, t.ToOwner)
		sleep(ctx, moveRetryDelay)
	}
	t.closeIdle()
	t.awaitGrants()
	events.DrainEnded.Log(t.Logger)
}

// closeIdle closes the remaining connections that have no request in flight.
func (t *Terminator) closeIdle() {
	for _, f := range t.flows.all() {
		f.mutex.Lock()
		c := f.conn
		idle := f.state == stateLocal && f.closedAt.IsZero() && f.requestBoundary != nil && f.idle
		f.mutex.Unlock()
		if idle && c != nil {
			t.Counters.EndedByDrain.Inc()
			_ = c.socket.Close()
		}
	}
}

// awaitGrants waits until all queued grants were delivered, or for drainGrantsTimeout.
func (t *Terminator) awaitGrants() {
	for waited := time.Duration(0); t.granter.outstanding.Load() > 0 && waited < drainGrantsTimeout; waited += moveRetryDelay {
		time.Sleep(moveRetryDelay)
	}
}
