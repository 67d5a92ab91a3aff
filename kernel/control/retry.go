package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// backoff is an exponential backoff with jitter. The zero value is ready to use.
type backoff struct {
	next time.Duration
}

// wait sleeps for the next delay. It returns false if ctx is cancelled first.
func (b *backoff) wait(ctx context.Context) bool {
	b.next = min(max(2*b.next, minRetryDelay), maxRetryDelay)
	return sleep(ctx, b.next/2+rand.N(b.next/2))
}

// sleep waits for d. It returns false if ctx is cancelled first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// dependencyHealth logs when calls to a dependency start to fail and when they succeed again.
type dependencyHealth struct {
	name      string
	logger    *slog.Logger
	lostSince time.Time
}

func (d *dependencyHealth) observe(err error) {
	now := time.Now()
	switch {
	case err != nil && d.lostSince.IsZero():
		d.lostSince = now
		events.DependencyLost.Log(d.logger, slog.String("dependency", d.name), events.ErrorAttr(err))
	case err == nil && !d.lostSince.IsZero():
		events.DependencyRegained.Log(d.logger, slog.String("dependency", d.name), slog.Int64("ageMs", now.Sub(d.lostSince).Milliseconds()))
		d.lostSince = time.Time{}
	}
}
