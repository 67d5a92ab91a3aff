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
	storeRetryLeast    = 200 * time.Millisecond
	storeRetryGreatest = 10 * time.Second
	// storeWait is how long a watch waits; longer waits make fewer calls.
	storeWait = 25 * time.Second
)

// storeWatch turns one object of the store into a document fact.
type storeWatch struct {
	client *store.Client
	name   string
	spread *peer.Gossip
	logger *slog.Logger
}

func (w *storeWatch) run(ctx context.Context) {
	var revision uint64
	wait := storeRetryLeast
	for ctx.Err() == nil {
		next, err := w.follow(ctx, revision)
		var expired *store.ExpiredError
		switch {
		case errors.As(err, &expired):
			revision = 0
		case err != nil:
			events.StoreUnavailable.Log(w.logger, events.Failure(err))
			pause(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, storeRetryGreatest)
		default:
			wait, revision = storeRetryLeast, next
		}
	}
}

// follow lists the documents, or waits for their changes after a revision.
func (w *storeWatch) follow(ctx context.Context, revision uint64) (uint64, error) {
	var page store.Page
	var err error
	if revision == 0 {
		page, err = w.client.List(ctx, services.DocumentKind)
	} else {
		page, err = w.client.Watch(ctx, services.DocumentKind, revision, storeWait)
	}
	for _, o := range page.Objects {
		if o.Name == w.name && !o.Deleted {
			w.accept(ctx, o)
		}
	}
	return page.Revision, err
}

func (w *storeWatch) accept(ctx context.Context, o store.Object) {
	events.StoreDocument.Log(w.logger, slog.String("object", o.Name), slog.Uint64("version", o.Revision))
	f := facts.Fact{Key: facts.Key{Kind: facts.KindDocument, Name: o.Name}, Version: o.Revision, Body: string(o.Spec)}
	w.spread.Do(ctx, func(now time.Time) { w.spread.Accept(now, []facts.Fact{f}) })
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
