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
	handshakeTimeout = 500 * time.Millisecond
	queryPeriod      = 500 * time.Millisecond
	queryTimeout     = time.Second
)

// Offer prepares to hold the flows that another agent froze.
func (t *Terminator) Offer(ctx context.Context, r OfferRequest) (OfferReply, error) {
	reply := OfferReply{Prepared: make([]bool, len(r.Records))}
	route := t.route.Load()
	if t.drained.Load() || route == nil || r.Service != route.Service.ID || r.Generation != route.Service.Generation {
		return reply, nil
	}
	for i, record := range r.Records {
		reply.Prepared[i] = t.prepare(ctx, record, r)
		if !reply.Prepared[i] {
			t.Counters.Refused.Inc()
		}
	}
	return reply, nil
}

// prepare opens the flow in this agent's stack without a word to the caller.
func (t *Terminator) prepare(ctx context.Context, r Record, offer OfferRequest) bool {
	f := t.claim(r)
	if f == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	t.stack.Load().InjectInbound(r.opening())
	var answer gue.Packet
	select {
	case answer = <-f.opening:
	case <-ctx.Done():
		t.discard(f, offer.From)
		return false
	}
	if !t.adopt(f, r, answer) {
		t.discard(f, offer.From)
		return false
	}
	q := &prepared{owner: t, flow: f, epoch: r.Epoch, control: offer.Control, from: offer.From}
	go q.run(context.WithoutCancel(ctx))
	return true
}

// claim makes an entry for an offered flow, unless this agent holds the flow or knows a later epoch.
func (t *Terminator) claim(r Record) *flow {
	f, found := t.flows.findOrAdd(r.Flow, r.Flow.Hash(t.Keys.Hash))
	if found {
		f.mutex.Lock()
	}
	defer f.mutex.Unlock()
	if found && f.finished() {
		t.recycle(f)
	}
	if found && f.state != stateForeign && f.state != statePending || f.epoch >= r.Epoch {
		return nil
	}
	f.state = statePreparing
	f.epoch = r.Epoch
	f.closed = time.Time{}
	f.opening = make(chan gue.Packet, 1)
	f.tracking = tracking{
		synOptions:    r.SynOptions,
		callerInitial: r.CallerInitial,
		callerNext:    r.CallerNext,
		callerAcked:   r.LocalNext,
		callerWindow:  r.CallerWindow,
		callerStamp:   r.CallerStamp,
		localNext:     r.LocalNext,
		opened:        true,
	}
	f.boundary = &boundary{callerBase: r.handshakeNext(), localBase: r.LocalNext}
	return f
}

// handshakeNext is the caller's sequence number before the unread octets.
func (r Record) handshakeNext() uint32 {
	return r.CallerNext - uint32(len(r.Unread))
}

// opening is the synthetic SYN, with the options of the caller's own.
func (r Record) opening() []byte {
	return segment{
		from:     r.Flow.Caller,
		to:       r.Flow.Service,
		sequence: r.handshakeNext() - 1,
		flags:    header.TCPFlagSyn,
		window:   r.CallerWindow,
		options:  r.SynOptions,
	}.bytes()
}

// adopt ends the synthetic handshake and notes how the stack's numbers translate to those the caller sees.
func (t *Terminator) adopt(f *flow, r Record, answer gue.Packet) bool {
	options := header.ParseSynOptions(answer.TCP.Options(), true)
	if options.WS != r.LocalScale {
		return false
	}
	initial := answer.TCP.SequenceNumber()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.state != statePreparing {
		return false
	}
	f.state = statePrepared
	f.opening = nil
	f.localScale = options.WS
	f.toCaller = shift{sequence: r.LocalNext - (initial + 1)}
	if options.TS {
		f.toCaller.timestamp = r.LocalStamp - options.TSVal
		f.localStamp = r.LocalStamp
		f.localStampAt = time.Now()
	}
	ack := segment{
		from:           r.Flow.Caller,
		to:             r.Flow.Service,
		sequence:       r.handshakeNext(),
		acknowledgment: initial + 1,
		flags:          header.TCPFlagAck,
		window:         r.CallerWindow,
	}
	if options.TS {
		ack.options = timestampOption(r.CallerStamp, options.TSVal)
	}
	t.stack.Load().InjectInbound(ack.bytes())
	f.injected = r.unreadSegments(ack)
	return true
}

// unreadSegments are the octets that the former holder had read beyond the request boundary.
func (r Record) unreadSegments(like segment) [][]byte {
	var all [][]byte
	for rest := r.Unread; len(rest) > 0; {
		n := min(len(rest), maxSegmentBytes)
		like.payload = rest[:n]
		like.flags = header.TCPFlagAck | header.TCPFlagPsh
		all = append(all, like.bytes())
		like.sequence += uint32(n)
		rest = rest[n:]
	}
	return all
}

// discard forgets a flow that was not granted; its former holder keeps it.
func (t *Terminator) discard(f *flow, holder netip.AddrPort) {
	f.mutex.Lock()
	if f.state != statePreparing && f.state != statePrepared {
		f.mutex.Unlock()
		return
	}
	c := f.conn
	f.conn = nil
	f.state = stateForeign
	f.peer = holder
	f.lastSeen = time.Now()
	t.forwardHeld(f)
	f.mutex.Unlock()
	if c != nil {
		c.abort()
	}
}

// Grant makes prepared flows this agent's own.
func (t *Terminator) Grant(ctx context.Context, r GrantRequest) (GrantReply, error) {
	now := time.Now()
	for _, e := range r.Flows {
		t.own(e, now)
	}
	t.announceMoved(ctx, r.Flows)
	return GrantReply{}, nil
}

func (t *Terminator) own(e FlowEpoch, now time.Time) {
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
	for _, s := range f.injected {
		t.stack.Load().InjectInbound(s)
	}
	f.injected = nil
	t.replayHeld(f, now)
}

// announceMoved tells owners that entries send the flows' packets to.
func (t *Terminator) announceMoved(ctx context.Context, moved []FlowEpoch) {
	a := &announcer{owner: t, route: t.route.Load()}
	if len(moved) > 0 && a.route != nil {
		go a.run(context.WithoutCancel(ctx))
	}
}

// Query says what became of offers that this agent made.
func (t *Terminator) Query(_ context.Context, r QueryRequest) (QueryReply, error) {
	reply := QueryReply{Verdicts: make([]Verdict, len(r.Flows))}
	for i, e := range r.Flows {
		reply.Verdicts[i] = t.verdict(e)
	}
	return reply, nil
}

func (t *Terminator) verdict(e FlowEpoch) Verdict {
	f := t.flows.find(e.Flow, e.Flow.Hash(t.Keys.Hash))
	if f == nil {
		return VerdictAborted
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case f.state == stateOffered:
		return VerdictUndecided
	case f.state == stateForeign && f.epoch >= e.Epoch:
		return VerdictGranted
	default:
		return VerdictAborted
	}
}

// prepared asks the former holder what became of its offer until the flow is granted or given up.
type prepared struct {
	owner   *Terminator
	flow    *flow
	epoch   uint64
	control netip.AddrPort
	from    netip.AddrPort
}

func (p *prepared) run(ctx context.Context) {
	ticker := time.NewTicker(queryPeriod)
	defer ticker.Stop()
	for p.waiting() {
		<-ticker.C
		if p.waiting() {
			p.query(ctx)
		}
	}
}

func (p *prepared) waiting() bool {
	p.flow.mutex.Lock()
	defer p.flow.mutex.Unlock()
	return p.flow.state == statePrepared && p.flow.epoch == p.epoch
}

func (p *prepared) query(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	e := FlowEpoch{Flow: p.flow.key, Epoch: p.epoch}
	var reply QueryReply
	err := p.owner.Peers.Call(ctx, p.control, MethodQuery, QueryRequest{Flows: []FlowEpoch{e}}, &reply)
	if err != nil && !isGone(err) {
		return
	}
	verdict := VerdictAborted
	if err == nil && len(reply.Verdicts) == 1 {
		verdict = reply.Verdicts[0]
	}
	switch verdict {
	case VerdictGranted:
		p.owner.own(e, time.Now())
	case VerdictAborted:
		events.MoveAbandoned.Log(p.owner.Logger)
		p.owner.discard(p.flow, p.from)
	case VerdictUndecided:
	}
}
