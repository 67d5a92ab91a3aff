package caller

import (
	"context"
	"net/netip"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	handshakeTimeout   = 500 * time.Millisecond
	offerQueryInterval = 500 * time.Millisecond
	offerQueryTimeout  = time.Second
)

// Offer prepares this agent to take over flows that another agent froze. It refuses all of them while this agent drains
// and if the offer is for another service or generation.
func (t *Terminator) Offer(ctx context.Context, r OfferRequest) (OfferReply, error) {
	reply := OfferReply{Prepared: make([]bool, len(r.Records))}
	route := t.route.Load()
	if t.draining.Load() || route == nil || r.Service != route.Service.ID || r.Generation != route.Service.Generation {
		return reply, nil
	}
	for i, record := range r.Records {
		reply.Prepared[i] = t.prepare(ctx, record, r)
		if !reply.Prepared[i] {
			t.Counters.OffersRefused.Inc()
		}
	}
	return reply, nil
}

// prepare opens the flow in this agent's stack without sending anything to the caller.
func (t *Terminator) prepare(ctx context.Context, r FlowRecord, offer OfferRequest) bool {
	f := t.reserve(r)
	if f == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	t.stack.Load().InjectInbound(r.syntheticSYN())
	var synACK gue.Packet
	select {
	case synACK = <-f.synACK:
	case <-ctx.Done():
		t.discardPrepared(f, offer.From)
		return false
	}
	if !t.completeHandshake(f, r, synACK) {
		t.discardPrepared(f, offer.From)
		return false
	}
	w := &offerWatcher{terminator: t, flow: f, epoch: r.Epoch, control: offer.Control, formerHolder: offer.From}
	go w.run(context.WithoutCancel(ctx))
	return true
}

// reserve adds an offered flow to the table. It returns nil if this agent holds the flow or knows the same or a later
// epoch.
func (t *Terminator) reserve(r FlowRecord) *flow {
	f, found := t.flows.findOrAdd(r.Flow, r.Flow.Hash(t.Keys.Hash))
	if found {
		f.mutex.Lock()
	}
	defer f.mutex.Unlock()
	if found && f.finished() {
		t.recycleFinished(f)
	}
	if found && f.state != stateRemote && f.state != statePending || f.epoch >= r.Epoch {
		return nil
	}
	f.state = statePreparing
	f.epoch = r.Epoch
	f.closedAt = time.Time{}
	f.synACK = make(chan gue.Packet, 1)
	f.tcpTracking = tcpTracking{
		synOptions:      r.SynOptions,
		callerISN:       r.CallerISN,
		callerNext:      r.CallerNext,
		callerAcked:     r.LocalNext,
		callerWindow:    r.CallerWindow,
		callerTimestamp: r.CallerTimestamp,
		localNext:       r.LocalNext,
		opened:          true,
	}
	f.requestBoundary = &requestBoundary{callerBase: r.handshakeSequence(), localBase: r.LocalNext}
	return f
}

// handshakeSequence returns the caller's next sequence number at the end of the synthetic handshake, which is that of
// the first unread octet.
func (r FlowRecord) handshakeSequence() uint32 {
	return r.CallerNext - uint32(len(r.Unread))
}

// syntheticSYN builds the SYN of the synthetic handshake, with the options of the caller's SYN.
func (r FlowRecord) syntheticSYN() []byte {
	return segment{
		from:     r.Flow.Caller,
		to:       r.Flow.Service,
		sequence: r.handshakeSequence() - 1,
		flags:    header.TCPFlagSyn,
		window:   r.CallerWindow,
		options:  r.SynOptions,
	}.encode()
}

// completeHandshake finishes the synthetic handshake and sets the translation from the stack's sequence numbers and
// timestamps to those that the caller sees. It reports false if the stack chose another window scale than the former
// holder's.
func (t *Terminator) completeHandshake(f *flow, r FlowRecord, synACK gue.Packet) bool {
	options := header.ParseSynOptions(synACK.TCP.Options(), true)
	if options.WS != r.LocalWindowScale {
		return false
	}
	initial := synACK.TCP.SequenceNumber()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.state != statePreparing {
		return false
	}
	f.state = statePrepared
	f.synACK = nil
	f.localWindowScale = options.WS
	f.toCaller = segmentTranslation{sequence: r.LocalNext - (initial + 1)}
	if options.TS {
		f.toCaller.timestamp = r.LocalTimestamp - options.TSVal
		f.localTimestamp = r.LocalTimestamp
		f.localTimestampAt = time.Now()
	}
	ack := segment{
		from:           r.Flow.Caller,
		to:             r.Flow.Service,
		sequence:       r.handshakeSequence(),
		acknowledgment: initial + 1,
		flags:          header.TCPFlagAck,
		window:         r.CallerWindow,
	}
	if options.TS {
		ack.options = timestampOption(r.CallerTimestamp, options.TSVal)
	}
	t.stack.Load().InjectInbound(ack.encode())
	f.pendingSegments = r.unreadSegments(ack)
	return true
}

// unreadSegments builds segments with the octets that the former holder had read beyond the request boundary.
func (r FlowRecord) unreadSegments(template segment) [][]byte {
	var all [][]byte
	for rest := r.Unread; len(rest) > 0; {
		n := min(len(rest), maxSegmentBytes)
		template.payload = rest[:n]
		template.flags = header.TCPFlagAck | header.TCPFlagPsh
		all = append(all, template.encode())
		template.sequence += uint32(n)
		rest = rest[n:]
	}
	return all
}

// discardPrepared releases a flow that was not granted. Its former holder keeps it.
func (t *Terminator) discardPrepared(f *flow, holder netip.AddrPort) {
	f.mutex.Lock()
	if f.state != statePreparing && f.state != statePrepared {
		f.mutex.Unlock()
		return
	}
	c := f.conn
	f.conn = nil
	f.state = stateRemote
	f.peer = holder
	f.lastSeen = time.Now()
	t.forwardBuffered(f)
	f.mutex.Unlock()
	if c != nil {
		c.abort()
	}
}

// Grant makes this agent the holder of prepared flows.
func (t *Terminator) Grant(ctx context.Context, r GrantRequest) (GrantReply, error) {
	now := time.Now()
	for _, e := range r.Flows {
		t.activate(e, now)
	}
	t.announceMoved(ctx, r.Flows)
	return GrantReply{}, nil
}

// activate makes this agent the holder of a flow that is prepared at the given epoch, and replays its packets.
func (t *Terminator) activate(e FlowEpoch, now time.Time) {
	f := t.flows.find(e.Flow, e.Flow.Hash(t.Keys.Hash))
	if f == nil {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.state != statePrepared || f.epoch != e.Epoch {
		return
	}
	f.state = stateLocal
	f.lastSeen = now
	t.Counters.MovedIn.Inc()
	for _, s := range f.pendingSegments {
		t.stack.Load().InjectInbound(s)
	}
	f.pendingSegments = nil
	t.replayBuffered(f, now)
}

// announceMoved announces flows to their owners, which is where entries send the packets.
func (t *Terminator) announceMoved(ctx context.Context, moved []FlowEpoch) {
	a := &announcer{terminator: t, route: t.route.Load()}
	if len(moved) > 0 && a.route != nil {
		go a.run(context.WithoutCancel(ctx))
	}
}

// Query returns the outcomes of offers that this agent made.
func (t *Terminator) Query(_ context.Context, r QueryRequest) (QueryReply, error) {
	reply := QueryReply{Outcomes: make([]OfferOutcome, len(r.Flows))}
	for i, e := range r.Flows {
		reply.Outcomes[i] = t.offerOutcome(e)
	}
	return reply, nil
}

// offerOutcome returns the outcome of the offer of a flow at an epoch. An unknown flow counts as aborted, and so does a
// flow that was granted at a later epoch: that grant went to another agent, because an agent whose offer was granted is
// the only one that can move the flow on.
func (t *Terminator) offerOutcome(e FlowEpoch) OfferOutcome {
	f := t.flows.find(e.Flow, e.Flow.Hash(t.Keys.Hash))
	if f == nil {
		return OfferAborted
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case f.state == stateOffered:
		return OfferUndecided
	case f.state == stateRemote && f.epoch == e.Epoch:
		return OfferGranted
	default:
		return OfferAborted
	}
}

// offerWatcher queries the former holder for the outcome of its offer until the flow is granted or discarded.
type offerWatcher struct {
	terminator   *Terminator
	flow         *flow
	epoch        uint64
	control      netip.AddrPort
	formerHolder netip.AddrPort
}

func (w *offerWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(offerQueryInterval)
	defer ticker.Stop()
	for w.isPending() {
		<-ticker.C
		if w.isPending() {
			w.query(ctx)
		}
	}
}

func (w *offerWatcher) isPending() bool {
	w.flow.mutex.Lock()
	defer w.flow.mutex.Unlock()
	return w.flow.state == statePrepared && w.flow.epoch == w.epoch
}

func (w *offerWatcher) query(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, offerQueryTimeout)
	defer cancel()
	e := FlowEpoch{Flow: w.flow.key, Epoch: w.epoch}
	var reply QueryReply
	err := w.terminator.Peers.Call(ctx, w.control, MethodQuery, QueryRequest{Flows: []FlowEpoch{e}}, &reply)
	if err != nil && !isPeerGone(err) {
		return
	}
	outcome := OfferAborted
	if err == nil && len(reply.Outcomes) == 1 {
		outcome = reply.Outcomes[0]
	}
	switch outcome {
	case OfferGranted:
		w.terminator.activate(e, time.Now())
	case OfferAborted:
		events.MoveAbandoned.Log(w.terminator.Logger)
		w.terminator.discardPrepared(w.flow, w.formerHolder)
	case OfferUndecided:
	}
}
