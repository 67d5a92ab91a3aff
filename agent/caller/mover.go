package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	movePause     = 10 * time.Millisecond
	lingerPause   = 100 * time.Millisecond
	grantsTimeout = 10 * time.Second
)

// DrainLimits bound a drain.
type DrainLimits struct {
	// Grace is how long new requests still run here.
	Grace time.Duration `yaml:"grace"`
	// Limit is when connections that could not move are ended at their request boundaries.
	Limit time.Duration `yaml:"limit"`
	// Linger bounds how long the agent goes on forwarding packets that entries with older tables still send to it.
	Linger time.Duration `yaml:"linger"`
}

// quietTime is how long no entry may have sent a packet before an agent that holds nothing may end.
const quietTime = 3 * time.Second

// quiet decides whether an agent that began to linger may end: every entry has learned that it left, or the bound is reached.
func (l DrainLimits) quiet(now, begun, lastFromEntry time.Time) bool {
	last := begun
	if lastFromEntry.After(begun) {
		last = lastFromEntry
	}
	return now.Sub(last) >= quietTime || now.Sub(begun) >= l.Linger
}

// Linger forwards packets until no entry sends any here, or until the bound.
func (t *Terminator) Linger(ctx context.Context, limits DrainLimits) {
	begun := time.Now()
	for ctx.Err() == nil && !limits.quiet(time.Now(), begun, time.Unix(0, t.lastDirect.Load())) {
		pause(ctx, lingerPause)
	}
}

// Destination chooses the agent that a flow moves to.
type Destination func(f Candidate) (facts.Member, bool)

// Candidate is what a Destination may know of a flow.
type Candidate struct {
	Hash uint64
}

// ToOwner moves flows to the agents that entries send their packets to.
func (t *Terminator) ToOwner(c Candidate) (facts.Member, bool) {
	m, ok := t.route.Load().OwnerOf(c.Hash)
	return m, ok && m.Packets != t.Self.Packets
}

// ToAny moves flows to any other agent that takes new flows.
func (t *Terminator) ToAny(_ Candidate) (facts.Member, bool) {
	owners := t.route.Load().Owners
	for _, i := range rand.Perm(len(owners)) {
		if owners[i].Packets != t.Self.Packets {
			return owners[i], true
		}
	}
	return facts.Member{}, false
}

// MoveWhile moves the connections that this agent holds now until none is left or ctx ends, and returns how many moved.
func (t *Terminator) MoveWhile(ctx context.Context, destination Destination) int {
	pending := t.wantAll()
	moved := 0
	for len(pending) > 0 && ctx.Err() == nil {
		moved += t.moveRound(ctx, pending, destination)
		pending = t.stillHeld(pending)
		pause(ctx, movePause)
	}
	t.wantNone(pending)
	return moved
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (t *Terminator) wantAll() []*flow {
	var wanted []*flow
	for _, f := range t.flows.all() {
		f.mutex.Lock()
		if f.state == stateLocal && f.closed.IsZero() {
			f.wanted = true
			wanted = append(wanted, f)
		}
		f.mutex.Unlock()
	}
	return wanted
}

func (t *Terminator) wantNone(all []*flow) {
	for _, f := range all {
		f.mutex.Lock()
		if f.boundary != nil {
			f.wanted = false
		}
		f.mutex.Unlock()
	}
}

func (t *Terminator) stillHeld(all []*flow) []*flow {
	held := all[:0]
	for _, f := range all {
		f.mutex.Lock()
		if f.state == stateLocal && f.wanted && f.closed.IsZero() {
			held = append(held, f)
		}
		f.mutex.Unlock()
	}
	return held
}

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
		g := &moveGroup{owner: t, to: m, flows: group, results: results}
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
	owner   *Terminator
	to      facts.Member
	flows   []*flow
	results chan<- int
}

func (g *moveGroup) run(ctx context.Context) {
	g.results <- g.owner.Move(ctx, g.to, g.flows)
}

// Drain moves every connection away and returns when none is left or the limit has passed; refuse is called when
// the grace has passed. What could not move ends at its request boundary.
func (t *Terminator) Drain(ctx context.Context, limits DrainLimits, refuse func()) {
	events.DrainStarted.Log(t.Logger)
	t.drained.Store(true)
	stop := time.AfterFunc(limits.Grace, refuse)
	defer stop.Stop()
	ctx, cancel := context.WithTimeout(ctx, limits.Limit)
	defer cancel()
	for t.Open() > 0 && ctx.Err() == nil {
		t.MoveWhile(ctx, t.ToOwner)
		pause(ctx, movePause)
	}
	t.endIdle()
	t.awaitGrants()
	events.DrainEnded.Log(t.Logger)
}

// endIdle closes connections that could not move and have no request in flight.
func (t *Terminator) endIdle() {
	for _, f := range t.flows.all() {
		f.mutex.Lock()
		c := f.conn
		idle := f.state == stateLocal && f.closed.IsZero() && f.boundary != nil && f.idle
		f.mutex.Unlock()
		if idle && c != nil {
			t.Counters.Ended.Inc()
			_ = c.socket.Close()
		}
	}
}

func (t *Terminator) awaitGrants() {
	for waited := time.Duration(0); t.granter.outstanding.Load() > 0 && waited < grantsTimeout; waited += movePause {
		time.Sleep(movePause)
	}
}
