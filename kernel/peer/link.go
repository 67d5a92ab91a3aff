package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// flushInterval is the minimum time between two flushes of a link. A change on an idle link is sent at once. While many
// members change, one message carries the changes of the interval; a change passes a large fleet in three flushes, which
// is less than the time for which a group must be unchanged before a flow is reset.
const flushInterval = 50 * time.Millisecond

// link sends messages to one peer, one at a time. It queues only the last fact per key and the last exchange.
type link struct {
	gossip  *Gossip
	address netip.AddrPort
	wake    chan struct{}

	mutex   sync.Mutex
	pending map[facts.Key]facts.Fact
	// pushDue is set if a push is queued. A push without facts only carries the plan version.
	pushDue  bool
	exchange *ExchangeRequest
}

func newLink(gossip *Gossip, address netip.AddrPort) *link {
	return &link{gossip: gossip, address: address, wake: make(chan struct{}, 1), pending: make(map[facts.Key]facts.Fact)}
}

func (l *link) queueFacts(all []facts.Fact) {
	l.mutex.Lock()
	for _, f := range all {
		l.pending[f.Key] = f
	}
	l.pushDue = true
	l.mutex.Unlock()
	l.signal()
}

func (l *link) queueExchange(r ExchangeRequest) {
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
		sleep(ctx, flushInterval)
	}
}

// sleep waits for d, or until ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// takePending returns and clears what is queued.
func (l *link) takePending() (all []facts.Fact, pushDue bool, r *ExchangeRequest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, f := range l.pending {
		all = append(all, f)
	}
	clear(l.pending)
	pushDue, r = l.pushDue, l.exchange
	l.pushDue, l.exchange = false, nil
	return all, pushDue, r
}

// flush sends the pending facts and the pending exchange. Facts that can't be sent are dropped, because the next
// exchange detects the difference.
func (l *link) flush(ctx context.Context) {
	pending, pushDue, request := l.takePending()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if pushDue {
		l.push(ctx, pending)
	}
	if request != nil {
		l.exchangeDigests(ctx, *request)
	}
}

// push sends facts, the version of the plan in use and the era of the store.
func (l *link) push(ctx context.Context, all []facts.Fact) {
	request := SpreadRequest{Facts: all, From: l.gossip.Self.Control, StoreEra: l.gossip.storeEra()}
	if l.gossip.Plan != nil {
		request.PlanVersion = l.gossip.Plan.Version()
	}
	var reply SpreadReply
	l.gossip.recordResult(l.address, l.gossip.Pool.Call(ctx, l.address, MethodSpread, request, &reply))
}

// exchangeDigests compares the digests of both sets and reconciles the partitions that differ.
func (l *link) exchangeDigests(ctx context.Context, request ExchangeRequest) {
	var reply ExchangeReply
	err := l.gossip.Pool.Call(ctx, l.address, MethodExchange, request, &reply)
	l.gossip.recordResult(l.address, err)
	if err != nil {
		return
	}
	var partitions []int
	var summaries []facts.Summary
	l.gossip.Do(ctx, func(now time.Time) {
		l.gossip.detector.RecordIndirectContact(reply.ContactAgesMs, now)
		l.gossip.observeEra(reply.StoreEra)
		if l.gossip.Plan != nil {
			l.gossip.Plan.ObserveVersion(reply.PlanVersion, l.address)
		}
		if reply.Digest != l.gossip.set.Digest() {
			partitions = l.gossip.set.DifferingPartitions(reply.PartitionDigests)
			summaries = l.gossip.set.Summaries(partitions)
		}
		if reply.EvacuationsKnown && len(partitions) == 0 {
			l.gossip.MarkEvacuationsKnown()
		}
	})
	if len(partitions) > 0 {
		l.reconcile(ctx, ReconcileRequest{Partitions: partitions, Summaries: summaries}, reply.EvacuationsKnown)
	}
}

// reconcile makes the differing partitions of both sets equal. It merges the facts that the peer returns and pushes the
// facts that the peer requests. evacuationsKnown is set if the peer's facts contain the evacuations in the store.
func (l *link) reconcile(ctx context.Context, request ReconcileRequest, evacuationsKnown bool) {
	var reply ReconcileReply
	err := l.gossip.Pool.Call(ctx, l.address, MethodReconcile, request, &reply)
	l.gossip.recordResult(l.address, err)
	if err != nil {
		return
	}
	var requested []facts.Fact
	l.gossip.Do(ctx, func(now time.Time) {
		for _, key := range reply.Wanted {
			if f, ok := l.gossip.set.Get(key); ok {
				requested = append(requested, f)
			}
		}
		l.gossip.Accept(now, reply.Facts)
		if evacuationsKnown {
			l.gossip.MarkEvacuationsKnown()
		}
	})
	if len(requested) > 0 {
		l.push(ctx, requested)
	}
}
