package caller

import (
	"context"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	offerTimeout = 2 * time.Second
	offerBatch   = 64
)

// Move offers those of the flows that stand at a request boundary to another agent and returns how many it took.
// Until the other agent is prepared the flow is this agent's; from the commit here it is the other's.
func (t *Terminator) Move(ctx context.Context, to facts.Member, candidates []*flow) int {
	moved := 0
	for len(candidates) > 0 && ctx.Err() == nil {
		n := min(len(candidates), offerBatch)
		moved += t.moveBatch(ctx, to, candidates[:n])
		candidates = candidates[n:]
	}
	return moved
}

func (t *Terminator) moveBatch(ctx context.Context, to facts.Member, candidates []*flow) int {
	frozen, records := freeze(candidates, time.Now())
	if len(frozen) == 0 {
		return 0
	}
	reply, err := t.offer(ctx, to, records)
	if err != nil {
		events.MoveFailed.Log(t.Logger, events.Failure(err))
	}
	var granted []FlowEpoch
	for i, f := range frozen {
		if err == nil && i < len(reply.Prepared) && reply.Prepared[i] {
			t.commit(f, to, records[i].Epoch)
			granted = append(granted, FlowEpoch{Flow: f.key, Epoch: records[i].Epoch})
			continue
		}
		t.Counters.Aborted.Inc()
		t.abort(f, time.Now())
	}
	t.granter.grant(to, granted)
	t.Counters.MovedOut.Add(len(granted))
	return len(granted)
}

func (t *Terminator) offer(ctx context.Context, to facts.Member, records []Record) (OfferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	r := t.route.Load()
	request := OfferRequest{
		From:       t.Self.Packets,
		Control:    t.Self.Control,
		Service:    r.Service.ID,
		Generation: r.Service.Generation,
		Records:    records,
	}
	var reply OfferReply
	err := t.Peers.Call(ctx, to.Control, MethodOffer, request, &reply)
	return reply, err
}

// freeze stops the movable flows among the candidates and returns their records.
func freeze(candidates []*flow, now time.Time) ([]*flow, []Record) {
	var frozen []*flow
	var records []Record
	for _, f := range candidates {
		f.mutex.Lock()
		if f.movable() {
			f.state = stateOffered
			frozen = append(frozen, f)
			records = append(records, f.record(now))
		}
		f.mutex.Unlock()
	}
	return frozen, records
}

func (f *flow) record(now time.Time) Record {
	return Record{
		Flow:          f.key,
		Epoch:         f.epoch + 1,
		SynOptions:    f.synOptions,
		CallerInitial: f.callerInitial,
		CallerNext:    f.callerNext,
		CallerWindow:  f.callerWindow,
		CallerStamp:   f.callerStamp,
		LocalNext:     f.localNext,
		LocalStamp:    f.localStamp + uint32(now.Sub(f.localStampAt).Milliseconds()) + 1,
		LocalScale:    f.localScale,
		Unread:        append([]byte(nil), f.unread...),
	}
}

// commit hands an offered flow over for good: this agent never answers for it again under this epoch.
func (t *Terminator) commit(f *flow, to facts.Member, epoch uint64) {
	f.mutex.Lock()
	f.state = stateForeign
	f.peer = to.Packets
	f.epoch = epoch
	f.lastSeen = time.Now()
	c := f.conn
	f.conn = nil
	f.wanted = false
	t.forwardHeld(f)
	f.wake()
	f.mutex.Unlock()
	if c != nil {
		c.abort()
	}
}

// abort takes an offered flow back. The epoch passes the offered one, so that the offer can't be granted later.
func (t *Terminator) abort(f *flow, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.state != stateOffered {
		return
	}
	f.state = stateLocal
	f.epoch++
	f.wake()
	t.replayHeld(f, now)
}

func (f *flow) wake() {
	if f.resume != nil {
		close(f.resume)
		f.resume = nil
	}
}
