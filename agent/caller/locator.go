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
	locateQueueLength   = 8192
	locateBatchSize     = 256
	locateWorkers       = 4
	locateTimeout       = 300 * time.Millisecond
	locateRetryInterval = 500 * time.Millisecond
)

// holderLookup is a request to find the holder of a flow among members, or among all other agents of the service if
// members is empty.
type holderLookup struct {
	flow    *flow
	members []facts.Member
}

// locator queues lookups; its workers ask the other agents of the service which of them holds a flow.
type locator struct {
	lookups chan holderLookup
}

func (l *locator) start(ctx context.Context, t *Terminator) {
	l.lookups = make(chan holderLookup, locateQueueLength)
	for range locateWorkers {
		w := &locateWorker{terminator: t}
		go w.run(ctx)
	}
}

// lookUpHolder buffers a packet of a locked flow and queues a lookup of the flow's holder.
func (t *Terminator) lookUpHolder(f *flow, in inboundPacket, members []facts.Member, now time.Time) {
	f.state = statePending
	f.buffer(in.inner[:len(in.packet.IP)])
	t.enqueueLookup(f, members, now)
}

// repeatLookup queues a lookup of a locked flow among all other agents.
func (t *Terminator) repeatLookup(f *flow, now time.Time) {
	t.enqueueLookup(f, nil, now)
}

// enqueueLookup queues a lookup of a locked flow. When the queue is full, it drops the flow with its buffered packets.
func (t *Terminator) enqueueLookup(f *flow, members []facts.Member, now time.Time) {
	f.lookupAt = now
	select {
	case t.locator.lookups <- holderLookup{flow: f, members: members}:
	default:
		t.Counters.countDrop(gue.ReasonRate)
		t.flows.remove(f)
	}
}

// locateWorker processes queued lookups in batches, so that each agent is asked once per batch.
type locateWorker struct {
	terminator *Terminator
}

func (w *locateWorker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case lookup := <-w.terminator.locator.lookups:
			w.lookUpBatch(ctx, w.collectBatch(lookup))
		}
	}
}

func (w *locateWorker) collectBatch(first holderLookup) []holderLookup {
	batch := []holderLookup{first}
	for len(batch) < locateBatchSize {
		select {
		case lookup := <-w.terminator.locator.lookups:
			batch = append(batch, lookup)
		default:
			return batch
		}
	}
	return batch
}

// lookupResult combines the replies of all asked agents about one flow. It is incomplete if an agent that may hold the
// flow did not reply.
type lookupResult struct {
	location   Location
	incomplete bool
}

func (w *locateWorker) lookUpBatch(ctx context.Context, batch []holderLookup) {
	found := make([]lookupResult, len(batch))
	perPeer := map[facts.Member][]int{}
	for i, lookup := range batch {
		for _, m := range w.peersFor(lookup) {
			perPeer[m] = append(perPeer[m], i)
		}
	}
	results := make(chan peerResult, len(perPeer))
	for m, indexes := range perPeer {
		l := &peerLookup{terminator: w.terminator, member: m, indexes: indexes, results: results}
		for _, i := range indexes {
			l.flows = append(l.flows, batch[i].flow.key)
		}
		go l.run(ctx)
	}
	for range perPeer {
		r := <-results
		r.mergeInto(found)
	}
	for i, lookup := range batch {
		w.terminator.finishLookup(lookup, found[i], time.Now())
	}
}

func (w *locateWorker) peersFor(lookup holderLookup) []facts.Member {
	if len(lookup.members) > 0 {
		return lookup.members
	}
	var others []facts.Member
	for _, m := range w.terminator.route.Load().Members {
		if m.Packets != w.terminator.Self.Packets {
			others = append(others, m)
		}
	}
	return others
}

// peerResult is the result of a peerLookup. Its indexes are those of the flows in the batch, in the order of locations.
type peerResult struct {
	indexes   []int
	locations []Location
	noReply   bool
}

func (r peerResult) mergeInto(found []lookupResult) {
	for k, i := range r.indexes {
		if r.noReply {
			found[i].incomplete = true
			continue
		}
		if l := r.locations[k]; l.Holder.IsValid() && l.Epoch >= found[i].location.Epoch {
			found[i].location = l
		}
	}
}

// peerLookup asks one agent for the holders of a batch of flows.
type peerLookup struct {
	terminator *Terminator
	member     facts.Member
	indexes    []int
	flows      []gue.Flow
	results    chan<- peerResult
}

func (l *peerLookup) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	var reply LocateReply
	request := LocateRequest{From: l.terminator.Self.Packets, Flows: l.flows}
	err := l.terminator.Peers.Call(ctx, l.member.Control, MethodLocate, request, &reply)
	r := peerResult{indexes: l.indexes, locations: reply.Locations}
	if err == nil && len(reply.Locations) != len(l.flows) {
		err = &ReplyLengthError{Method: MethodLocate}
	}
	if err != nil {
		r.locations = make([]Location, len(l.flows))
		r.noReply = !isPeerGone(err)
		events.LocateFailed.Log(l.terminator.Logger, events.ErrorAttr(err))
	}
	l.results <- r
}

// isPeerGone reports whether a call failed because the peer's address refused the connection. Such a peer is treated as
// holding no flows.
func isPeerGone(err error) bool {
	var call *peer.CallError
	return errors.As(err, &call) && call.Refused
}

// finishLookup applies the result of a lookup: it forwards the buffered packets to the holder, accepts the connection,
// or resets it.
func (t *Terminator) finishLookup(lookup holderLookup, found lookupResult, now time.Time) {
	f := lookup.flow
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.state != statePending {
		return
	}
	t.Counters.Located.Inc()
	switch {
	case found.location.Holder.IsValid() && found.location.Holder != t.Self.Packets:
		f.state = stateRemote
		f.peer = found.location.Holder
		f.epoch = found.location.Epoch
		t.forwardBuffered(f)
	case f.epoch > 0:
		t.finishHolderCheck(f, found.incomplete, now)
	case f.hasBufferedSYN():
		t.acceptBuffered(f, now)
	case found.incomplete:
		// An agent that did not reply may hold the flow: the caller's next packet starts another lookup.
	default:
		t.resetUnknownFlow(f)
	}
}

func (f *flow) hasBufferedSYN() bool {
	for _, inner := range f.buffered {
		if p, reason := gue.Parse(inner); reason == gue.ReasonNone && p.IsSYN() {
			return true
		}
	}
	return false
}

// acceptBuffered accepts a pending flow by its buffered SYN and replays the other buffered packets.
func (t *Terminator) acceptBuffered(f *flow, now time.Time) {
	buffered := f.buffered
	f.buffered = nil
	for i, inner := range buffered {
		p, reason := gue.Parse(inner)
		if reason != gue.ReasonNone || !p.IsSYN() {
			continue
		}
		t.acceptNewFlow(f, inboundPacket{packet: p, inner: inner})
		f.buffered = append(buffered[:i:i], buffered[i+1:]...)
		break
	}
	t.replayBuffered(f, now)
}

// resetUnknownFlow sends an RST to the caller of a flow that no agent holds, and removes the flow.
func (t *Terminator) resetUnknownFlow(f *flow) {
	for _, inner := range f.takeBuffered() {
		if p, reason := gue.Parse(inner); reason == gue.ReasonNone {
			t.sendToCaller(unknownFlowReset(p))
			t.Counters.Resets.Inc()
			break
		}
	}
	t.flows.remove(f)
}

// Locate returns the holder of each flow that this agent holds or knows the holder of.
func (t *Terminator) Locate(_ context.Context, r LocateRequest) (LocateReply, error) {
	reply := LocateReply{Locations: make([]Location, len(r.Flows))}
	for i, key := range r.Flows {
		reply.Locations[i] = t.locationOf(key, r.From)
	}
	return reply, nil
}

func (t *Terminator) locationOf(key gue.Flow, from netip.AddrPort) Location {
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
		return Location{Holder: t.Self.Packets, Epoch: f.epoch}
	case stateRemote:
		if f.peer == from || f.epoch == 0 {
			return Location{}
		}
		return Location{Holder: f.peer, Epoch: f.epoch}
	case statePending:
		return t.breakLookupTie(f, from)
	default:
		return Location{}
	}
}

// breakLookupTie decides which agent accepts a connection when two agents look up the same SYN at the same time: the one
// with the lower address.
func (t *Terminator) breakLookupTie(f *flow, from netip.AddrPort) Location {
	if !f.hasBufferedSYN() || from.Compare(t.Self.Packets) < 0 {
		return Location{}
	}
	return Location{Holder: t.Self.Packets, Epoch: 1}
}
