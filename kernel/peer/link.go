package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// link sends to one peer, one message at a time, newest facts only.
type link struct {
	owner *Spread
	to    netip.AddrPort
	wake  chan struct{}

	mutex    sync.Mutex
	pending  map[facts.Key]facts.Fact
	tell     bool
	exchange *ExchangeRequest
}

func newLink(owner *Spread, to netip.AddrPort) *link {
	return &link{owner: owner, to: to, wake: make(chan struct{}, 1), pending: make(map[facts.Key]facts.Fact)}
}

func (l *link) send(all []facts.Fact) {
	l.mutex.Lock()
	for _, f := range all {
		l.pending[f.Key] = f
	}
	l.tell = true
	l.mutex.Unlock()
	l.signal()
}

func (l *link) exchangeWith(r ExchangeRequest) {
	l.mutex.Lock()
	l.exchange = &r
	l.mutex.Unlock()
	l.signal()
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			l.flush(ctx)
		}
	}
}

func (l *link) take() (all []facts.Fact, tell bool, r *ExchangeRequest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, f := range l.pending {
		all = append(all, f)
	}
	clear(l.pending)
	tell, r = l.tell, l.exchange
	l.tell, l.exchange = false, nil
	return all, tell, r
}

// flush drops what can't be sent: the next exchange finds the difference.
func (l *link) flush(ctx context.Context) {
	pending, tell, request := l.take()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if tell {
		l.spread(ctx, pending)
	}
	if request != nil {
		l.compare(ctx, *request)
	}
}

func (l *link) spread(ctx context.Context, all []facts.Fact) {
	request := SpreadRequest{Facts: all, From: l.owner.Self.Control}
	if l.owner.Plan != nil {
		request.PlanVersion = l.owner.Plan.Version()
	}
	var reply SpreadReply
	l.owner.saw(l.to, l.owner.Pool.Call(ctx, l.to, MethodSpread, request, &reply))
}

func (l *link) compare(ctx context.Context, request ExchangeRequest) {
	var reply ExchangeReply
	err := l.owner.Pool.Call(ctx, l.to, MethodExchange, request, &reply)
	l.owner.saw(l.to, err)
	if err != nil {
		return
	}
	var parts []int
	var versions []facts.Versions
	l.owner.Do(ctx, func(now time.Time) {
		l.owner.detector.HeardByOther(reply.HeardMs, now)
		if l.owner.Plan != nil {
			l.owner.Plan.Heard(reply.PlanVersion, l.to)
		}
		if reply.Digest != l.owner.set.Digest() {
			parts = l.owner.set.Differing(reply.Parts)
			versions = l.owner.set.VersionsOf(parts)
		}
	})
	if len(parts) > 0 {
		l.reconcile(ctx, ReconcileRequest{Parts: parts, Versions: versions})
	}
}

// reconcile makes both sets alike in the parts that differ.
func (l *link) reconcile(ctx context.Context, request ReconcileRequest) {
	var reply ReconcileReply
	err := l.owner.Pool.Call(ctx, l.to, MethodReconcile, request, &reply)
	l.owner.saw(l.to, err)
	if err != nil {
		return
	}
	var mine []facts.Fact
	l.owner.Do(ctx, func(now time.Time) {
		for _, k := range reply.Wanted {
			if f, ok := l.owner.set.Get(k); ok {
				mine = append(mine, f)
			}
		}
		l.owner.Accept(now, reply.Facts)
	})
	if len(mine) > 0 {
		l.spread(ctx, mine)
	}
}
