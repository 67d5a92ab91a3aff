package caller

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

const (
	locateQueueLength = 8192
	locateBatch       = 256
	locateWorkers     = 4
	locateTimeout     = 300 * time.Millisecond
	askAgain          = 500 * time.Millisecond
)

// question is a flow whose holder is to be found. Only is empty when every agent of the service is to be asked.
type question struct {
	flow *flow
	only []facts.Member
}

// locator asks the other agents of the service which of them holds a flow.
type locator struct {
	questions chan question
}

func (l *locator) start(ctx context.Context, t *Terminator) {
	l.questions = make(chan question, locateQueueLength)
	for range locateWorkers {
		w := &locateWorker{owner: t}
		go w.run(ctx)
	}
}

// ask holds the packet of a locked flow and has its holder found.
func (t *Terminator) ask(f *flow, a arrival, only []facts.Member, now time.Time) {
	f.state = statePending
	f.hold(a.inner[:len(a.packet.IP)])
	t.enqueue(f, only, now)
}

func (t *Terminator) askHeld(f *flow, now time.Time) {
	t.enqueue(f, nil, now)
}

func (t *Terminator) enqueue(f *flow, only []facts.Member, now time.Time) {
	f.asked = now
	select {
	case t.locator.questions <- question{flow: f, only: only}:
	default:
		t.Counters.drop(gue.ReasonRate)
		t.flows.remove(f)
	}
}

type locateWorker struct {
	owner *Terminator
}

func (w *locateWorker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-w.owner.locator.questions:
			w.answer(ctx, w.gather(q))
		}
	}
}

func (w *locateWorker) gather(first question) []question {
	batch := []question{first}
	for len(batch) < locateBatch {
		select {
		case q := <-w.owner.locator.questions:
			batch = append(batch, q)
		default:
			return batch
		}
	}
	return batch
}

// finding is what the asked agents said about one flow.
type finding struct {
	at      Location
	unheard bool
}

func (w *locateWorker) answer(ctx context.Context, batch []question) {
	found := make([]finding, len(batch))
	perPeer := map[facts.Member][]int{}
	for i, q := range batch {
		for _, m := range w.peersFor(q) {
			perPeer[m] = append(perPeer[m], i)
		}
	}
	results := make(chan locateResult, len(perPeer))
	for m, indexes := range perPeer {
		c := &locateCall{owner: w.owner, member: m, indexes: indexes, results: results}
		for _, i := range indexes {
			c.flows = append(c.flows, batch[i].flow.key)
		}
		go c.run(ctx)
	}
	for range perPeer {
		r := <-results
		r.mergeInto(found)
	}
	for i, q := range batch {
		w.owner.resolve(q, found[i], time.Now())
	}
}

func (w *locateWorker) peersFor(q question) []facts.Member {
	if len(q.only) > 0 {
		return q.only
	}
	var others []facts.Member
	for _, m := range w.owner.route.Load().Members {
		if m.Packets != w.owner.Self.Packets {
			others = append(others, m)
		}
	}
	return others
}

type locateResult struct {
	indexes   []int
	locations []Location
	unheard   bool
}

func (r locateResult) mergeInto(found []finding) {
	for k, i := range r.indexes {
		if r.unheard {
			found[i].unheard = true
			continue
		}
		if l := r.locations[k]; l.At.IsValid() && l.Epoch >= found[i].at.Epoch {
			found[i].at = l
		}
	}
}

// locateCall asks one agent about some flows.
type locateCall struct {
	owner   *Terminator
	member  facts.Member
	indexes []int
	flows   []gue.Flow
	results chan<- locateResult
}

func (c *locateCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	var reply LocateReply
	request := LocateRequest{From: c.owner.Self.Packets, Flows: c.flows}
	err := c.owner.Peers.Call(ctx, c.member.Control, MethodLocate, request, &reply)
	r := locateResult{indexes: c.indexes, locations: reply.Locations}
	if err == nil && len(reply.Locations) != len(c.flows) {
		err = &LengthError{Method: MethodLocate}
	}
	if err != nil {
		r.locations = make([]Location, len(c.flows))
		r.unheard = !isGone(err)
		events.LocateFailed.Log(c.owner.Logger, events.Failure(err))
	}
	c.results <- r
}

func isGone(err error) bool {
	var call *peer.CallError
	return errors.As(err, &call) && call.Refused
}

// resolve acts on what was found out about a flow.
func (t *Terminator) resolve(q question, found finding, now time.Time) {
	f := q.flow
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.state != statePending {
		return
	}
	t.Counters.Located.Inc()
	switch {
	case found.at.At.IsValid() && found.at.At != t.Self.Packets:
		f.state = stateForeign
		f.peer = found.at.At
		f.epoch = found.at.Epoch
		t.forwardHeld(f)
	case f.holdsOpening():
		t.acceptHeld(f, now)
	case found.unheard:
		// An agent that did not answer may hold the flow: the caller's next packet asks again.
	default:
		t.refuseHeld(f)
	}
}

func (f *flow) holdsOpening() bool {
	for _, inner := range f.held {
		if p, reason := gue.Parse(inner); reason == gue.ReasonNone && p.IsOpening() {
			return true
		}
	}
	return false
}

// acceptHeld opens a pending flow from its held SYN.
func (t *Terminator) acceptHeld(f *flow, now time.Time) {
	held := f.held
	f.held = nil
	for i, inner := range held {
		p, reason := gue.Parse(inner)
		if reason != gue.ReasonNone || !p.IsOpening() {
			continue
		}
		t.acceptNew(f, arrival{packet: p, inner: inner})
		f.held = append(held[:i:i], held[i+1:]...)
		break
	}
	t.replayHeld(f, now)
}

// refuseHeld tells the caller of a flow that nobody holds.
func (t *Terminator) refuseHeld(f *flow) {
	for _, inner := range f.takeHeld() {
		if p, reason := gue.Parse(inner); reason == gue.ReasonNone {
			t.toCaller(resetFor(p))
			t.Counters.Resets.Inc()
			break
		}
	}
	t.flows.remove(f)
}

// Locate answers which flows this agent holds or knows the holder of.
func (t *Terminator) Locate(_ context.Context, r LocateRequest) (LocateReply, error) {
	reply := LocateReply{Locations: make([]Location, len(r.Flows))}
	for i, key := range r.Flows {
		reply.Locations[i] = t.location(key, r.From)
	}
	return reply, nil
}

func (t *Terminator) location(key gue.Flow, from netip.AddrPort) Location {
	f := t.flows.find(key, key.Hash(t.Keys.Hash))
	if f == nil {
		return Location{}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.finished() {
		return Location{}
	}
	switch f.state {
	case stateLocal, stateOffered:
		return Location{At: t.Self.Packets, Epoch: f.epoch}
	case stateForeign:
		if f.peer == from || f.epoch == 0 {
			return Location{}
		}
		return Location{At: f.peer, Epoch: f.epoch}
	case statePending:
		return t.contested(f, from)
	default:
		return Location{}
	}
}

// contested settles that two agents ask each other about one SYN: the lesser address takes it.
func (t *Terminator) contested(f *flow, from netip.AddrPort) Location {
	if !f.holdsOpening() || from.Compare(t.Self.Packets) < 0 {
		return Location{}
	}
	return Location{At: t.Self.Packets, Epoch: 1}
}
