package cmd

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

const (
	storeRetryLeast    = 200 * time.Millisecond
	storeRetryGreatest = 10 * time.Second
)

// storeWatch turns one object of the store into a document fact.
type storeWatch struct {
	client *store.Client
	name   string
	spread *peer.Spread
	logger *slog.Logger
}

func (w *storeWatch) run(ctx context.Context) {
	var version uint64
	wait := storeRetryLeast
	for ctx.Err() == nil {
		o, err := w.client.Watch(ctx, w.name, version)
		if err != nil {
			events.StoreUnavailable.Log(w.logger, events.Failure(err))
			pause(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, storeRetryGreatest)
			continue
		}
		wait = storeRetryLeast
		if o.Version > version {
			version = o.Version
			w.accept(ctx, o)
		}
	}
}

func (w *storeWatch) accept(ctx context.Context, o store.Object) {
	events.StoreDocument.Log(w.logger, slog.String("object", o.Name), slog.Uint64("version", o.Version))
	f := facts.Fact{Key: facts.Key{Kind: facts.KindDocument, Name: o.Name}, Version: o.Version, Body: string(o.Value)}
	w.spread.Do(ctx, func(now time.Time) { w.spread.Accept(now, []facts.Fact{f}) })
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
