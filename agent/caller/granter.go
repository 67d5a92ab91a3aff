package caller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	grantTimeout    = time.Second
	grantRetryDelay = 100 * time.Millisecond
)

// granter sends grants and repeats them until the other agent acknowledges them or is gone.
type granter struct {
	terminator  *Terminator
	lifetime    context.Context
	outstanding atomic.Int64

	mutex  sync.Mutex
	queues map[facts.Member]*grantQueue
}

// grantQueue holds the grants that have not been sent to one agent yet.
type grantQueue struct {
	granter *granter
	to      facts.Member
	wake    chan struct{}

	mutex sync.Mutex
	flows []FlowEpoch
}

func (g *granter) start(ctx context.Context, t *Terminator) {
	g.terminator = t
	g.lifetime = ctx
	g.queues = make(map[facts.Member]*grantQueue)
}

// grant queues grants for delivery and does not block.
func (g *granter) grant(to facts.Member, flows []FlowEpoch) {
	if len(flows) == 0 {
		return
	}
	g.outstanding.Add(int64(len(flows)))
	q := g.queueFor(to)
	q.mutex.Lock()
	q.flows = append(q.flows, flows...)
	q.mutex.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (g *granter) queueFor(to facts.Member) *grantQueue {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	q, ok := g.queues[to]
	if !ok {
		q = &grantQueue{granter: g, to: to, wake: make(chan struct{}, 1)}
		g.queues[to] = q
		go q.run(g.lifetime)
	}
	return q
}

func (q *grantQueue) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
			q.flush(ctx)
		}
	}
}

func (q *grantQueue) flush(ctx context.Context) {
	for ctx.Err() == nil {
		q.mutex.Lock()
		batch := q.flows
		q.flows = nil
		q.mutex.Unlock()
		if len(batch) == 0 {
			return
		}
		q.deliver(ctx, batch)
		q.granter.outstanding.Add(-int64(len(batch)))
	}
}

// deliver sends a batch of grants until the agent acknowledges it, the agent is gone or ctx ends.
func (q *grantQueue) deliver(ctx context.Context, batch []FlowEpoch) {
	t := q.granter.terminator
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
		var reply GrantReply
		err := t.Peers.Call(callCtx, q.to.Control, MethodGrant, GrantRequest{From: t.Self.Packets, Flows: batch}, &reply)
		cancel()
		if err == nil {
			return
		}
		events.MoveFailed.Log(t.Logger, events.ErrorAttr(err))
		if isPeerGone(err) {
			return
		}
		time.Sleep(grantRetryDelay)
	}
}
