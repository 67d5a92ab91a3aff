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

func (l *link) take() ([]facts.Fact, *ExchangeRequest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	all := make([]facts.Fact, 0, len(l.pending))
	for _, f := range l.pending {
		all = append(all, f)
	}
	clear(l.pending)
	r := l.exchange
	l.exchange = nil
	return all, r
}

// flush drops what can't be sent: the next exchange finds the difference.
func (l *link) flush(ctx context.Context) {
	pending, request := l.take()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if len(pending) > 0 {
		var reply SpreadReply
		_ = l.owner.Pool.Call(ctx, l.to, MethodSpread, SpreadRequest{Facts: pending}, &reply)
	}
	if request != nil {
		l.compare(ctx, *request)
	}
}

func (l *link) compare(ctx context.Context, request ExchangeRequest) {
	var reply ExchangeReply
	if err := l.owner.Pool.Call(ctx, l.to, MethodExchange, request, &reply); err != nil {
		return
	}
	if l.owner.Plan != nil {
		l.owner.Do(ctx, func(time.Time) { l.owner.Plan.Heard(reply.PlanVersion, l.to) })
	}
	if reply.Digest == request.Digest {
		return
	}
	var mine []facts.Fact
	l.owner.Do(ctx, func(now time.Time) {
		l.owner.Accept(now, reply.Facts)
		if l.owner.set.Digest() != reply.Digest {
			mine = l.owner.set.All()
		}
	})
	if len(mine) > 0 {
		var done SpreadReply
		_ = l.owner.Pool.Call(ctx, l.to, MethodSpread, SpreadRequest{Facts: mine}, &done)
	}
}
