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
}

// run polls the store until ctx is done. It lists again if the store no longer has the revision to continue from.
func (w *storeWatcher) run(ctx context.Context) {
	var revision uint64
	wait := minStoreRetry
	for ctx.Err() == nil {
		next, err := w.poll(ctx, revision)
		var expired *store.ExpiredError
		switch {
		case errors.As(err, &expired):
			revision = 0
		case err != nil:
			events.StoreUnavailable.Log(w.logger, events.ErrorAttr(err))
			sleep(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, maxStoreRetry)
		default:
			wait, revision = minStoreRetry, next
		}
	}
}

// poll lists the documents if revision is 0. Otherwise, it waits for changes after that revision. It returns the
// revision to continue from.
func (w *storeWatcher) poll(ctx context.Context, revision uint64) (uint64, error) {
	var page store.Page
	var err error
	if revision == 0 {
		page, err = w.client.List(ctx, services.DocumentKind, false)
	} else {
		page, err = w.client.Watch(ctx, services.DocumentKind, revision, watchWait)
	}
	for _, o := range page.Objects {
		if o.Name == w.name && !o.Deleted {
			w.publish(ctx, o)
		}
	}
	return page.Revision, err
}

// publish publishes an object to the other instances as a fact.
func (w *storeWatcher) publish(ctx context.Context, o store.Object) {
	events.StoreDocument.Log(w.logger, slog.String("object", o.Name), slog.Uint64("version", o.Revision), slog.Uint64("era", o.Era))
	f := facts.Fact{Key: facts.Key{Kind: facts.KindDocument, Name: o.Name}, Version: o.Revision, Body: string(o.Spec)}
	w.gossip.Do(ctx, func(now time.Time) { w.gossip.Accept(now, []facts.Fact{f}) })
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
