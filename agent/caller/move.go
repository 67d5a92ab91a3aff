package caller

import (
	"context"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	offerTimeout   = 2 * time.Second
	offerBatchSize = 64
)

// Move offers the candidates that are at a request boundary to another agent and returns the number of flows moved.
// This agent holds a flow until it commits the move, which it does after the other agent has reported the flow prepared.
func (t *Terminator) Move(ctx context.Context, to facts.Member, candidates []*flow) int {
	moved := 0
	for len(candidates) > 0 && ctx.Err() == nil {
		n := min(len(candidates), offerBatchSize)
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
		events.MoveFailed.Log(t.Logger, events.ErrorAttr(err))
	}
	var granted []FlowEpoch
	for i, f := range frozen {
		if err == nil && i < len(reply.Prepared) && reply.Prepared[i] {
			t.commit(f, to, records[i].Epoch)
			granted = append(granted, FlowEpoch{Flow: f.key, Epoch: records[i].Epoch})
			continue
		}
		t.Counters.OffersAborted.Inc()
		t.abort(f, time.Now())
	}
	t.granter.grant(to, granted)
	t.Counters.MovedOut.Add(len(granted))
	return len(granted)
}

func (t *Terminator) offer(ctx context.Context, to facts.Member, records []FlowRecord) (OfferReply, error) {
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

// freeze sets the movable flows among the candidates to offered and returns them with their records.
func freeze(candidates []*flow, now time.Time) ([]*flow, []FlowRecord) {
	var frozen []*flow
	var records []FlowRecord
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

// record returns the state to offer. Its timestamp is the one that the caller would see now, plus one.
func (f *flow) record(now time.Time) FlowRecord {
	return FlowRecord{
		Flow:             f.key,
		Epoch:            f.epoch + 1,
		SynOptions:       f.synOptions,
		CallerISN:        f.callerISN,
		CallerNext:       f.callerNext,
		CallerWindow:     f.callerWindow,
		CallerTimestamp:  f.callerTimestamp,
		LocalNext:        f.localNext,
		LocalTimestamp:   f.localTimestamp + uint32(now.Sub(f.localTimestampAt).Milliseconds()) + 1,
		LocalWindowScale: f.localWindowScale,
		Unread:           append([]byte(nil), f.unread...),
	}
}

// commit gives up an offered flow to another agent. It can't be undone: from then on, this agent sends nothing for the
// flow under this or an earlier epoch.
func (t *Terminator) commit(f *flow, to facts.Member, epoch uint64) {
	f.mutex.Lock()
	f.state = stateRemote
	f.peer = to.Packets
	f.epoch = epoch
	f.lastSeen = time.Now()
	c := f.conn
	f.conn = nil
	f.moveRequested = false
	t.forwardBuffered(f)
	f.resumeConn()
	f.mutex.Unlock()
	if c != nil {
		c.abort()
	}
}

// abort makes this agent serve an offered flow again. It advances the epoch, so that the aborted offer can't be granted
// later.
func (t *Terminator) abort(f *flow, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.state != stateOffered {
		return
	}
	f.state = stateLocal
	f.epoch++
	f.resumeConn()
	t.replayBuffered(f, now)
}

// resumeConn wakes the conn that waits for a move of the flow.
func (f *flow) resumeConn() {
	if f.resume != nil {
		close(f.resume)
		f.resume = nil
	}
}
