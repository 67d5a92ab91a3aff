package cmd

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/services"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

const (
	// minStoreRetry and maxStoreRetry bound the exponential backoff after a failed store call.
	minStoreRetry = 200 * time.Millisecond
	maxStoreRetry = 10 * time.Second
	// watchWait is how long the store may hold a watch open without changes. A longer wait means fewer calls.
	watchWait = 25 * time.Second
)

// storeWatcher watches one document in the store and publishes each of its revisions as a fact.
type storeWatcher struct {
	client *store.Client
	name   string
	gossip *peer.Gossip
	logger *slog.Logger

	order documentOrder
}

// run polls the store until ctx is done. It lists again if the store no longer has the revision to continue from.
func (w *storeWatcher) run(ctx context.Context) {
	var from store.Position
	wait := minStoreRetry
	for ctx.Err() == nil {
		next, err := w.poll(ctx, from)
		var expired *store.ExpiredError
		switch {
		case errors.As(err, &expired):
			from = store.Position{}
		case err != nil:
			events.StoreUnavailable.Log(w.logger, events.ErrorAttr(err))
			sleep(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, maxStoreRetry)
		default:
			wait, from = minStoreRetry, next
		}
	}
}

// poll lists the documents if from is the zero position. Otherwise, it waits for changes after it. It returns the position
// to continue from.
func (w *storeWatcher) poll(ctx context.Context, from store.Position) (store.Position, error) {
	var page store.Page
	var err error
	wait := w.order.untilListing(time.Now(), watchWait)
	list := from == store.Position{} || wait == 0
	if list {
		page, err = w.client.List(ctx, services.DocumentKind, false)
	} else {
		page, err = w.client.Watch(ctx, services.DocumentKind, from, wait)
	}
	if err != nil {
		return from, err
	}
	now := time.Now()
	w.order.observe(now, page, list)
	for _, o := range page.Objects {
		if o.Name == w.name && !o.Deleted {
			w.publish(ctx, w.order.fact(now, page, o, list))
		}
	}
	return page.Position(), nil
}

// publish publishes a revision of the document to the other instances.
func (w *storeWatcher) publish(ctx context.Context, f facts.Fact) {
	events.StoreDocument.Log(w.logger, slog.String("object", f.Name), slog.Uint64("version", f.Version), slog.Uint64("era", f.Incarnation))
	w.gossip.Do(ctx, func(now time.Time) { w.gossip.Accept(now, []facts.Fact{f}) })
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
