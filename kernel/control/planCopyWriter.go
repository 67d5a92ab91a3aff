package control

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

const (
	// minCopyRoutes is the number of routes from which a plan is large. The store sends some 220 bytes a route, which for 250
	// routes take 44 ms of a link of 10 Mbit/s. An entry that starts needs a plan after 100 ms.
	minCopyRoutes = 250
	// copyPeriod is the interval between checks whether the copy must be written. A check makes no calls.
	copyPeriod = 250 * time.Millisecond
	// copyDelay is how long a plan must have been in force before it is written, so that the first transfers to other
	// instances don't share the link with the write. A newer plan within this time is written instead. If all lose power
	// before the write, entries start with the copy of the plan before, which they may not use later than 5 s after the new
	// one was acknowledged. So the delays are short.
	copyDelay = time.Second
	// maxCopyDelay is when the copy is written although plans follow each other more quickly than copyDelay.
	maxCopyDelay = 2 * time.Second
	// minCopyRetry and maxCopyRetry limit the delay after a failed write. Each attempt sends the whole copy.
	minCopyRetry = 500 * time.Millisecond
	maxCopyRetry = 4 * time.Second
)

// planCopyWriter keeps the compact copy of the plan in the store up to date. All entries run one, but only the one that
// writes the audit trail calls the store.
type planCopyWriter struct {
	Store  *store.Client
	Logger *slog.Logger
	Plans  *Plans
	// IsWriter reports whether this instance writes the copy.
	IsWriter func() bool

	// done is the version of the latest plan that needs no further write.
	done uint64
	// seen is the version of the plan in use, and seenAt is when it was first seen. waitingSince is when the first plan was
	// seen that was not yet written.
	seen         uint64
	seenAt       time.Time
	waitingSince time.Time
	// stored is the copy in the store at revision, which is 0 if there is none. Both are valid if known is set.
	stored   plan.Copy
	revision uint64
	known    bool
	// returns detects that the store may have lost the copy. Then unconfirmed is set until the store was seen to hold the plan
	// that is in use or a later one.
	returns     returnCheck
	unconfirmed bool
	// retryAt is when a failed write may be repeated, and retryDelay is the delay before it.
	retryAt    time.Time
	retryDelay time.Duration
}

func (w *planCopyWriter) run(ctx context.Context) {
	runPeriodically(ctx, copyPeriod, func(now time.Time) { w.step(ctx, now) })
}

// step writes the copy if that is due at now.
func (w *planCopyWriter) step(ctx context.Context, now time.Time) {
	if w.returns.returned(w.Store) {
		w.known, w.done, w.unconfirmed = false, 0, true
	}
	p := w.Plans.Current()
	if p == nil || !w.isDue(now, p.Version) {
		return
	}
	if !w.IsWriter() {
		// Another instance may change the object.
		w.known = false
		return
	}
	w.known = w.known && !mayHaveMissedReturn(now, w.Store)
	reason, size, err := w.write(ctx, p)
	if err != nil {
		// The write may have taken effect.
		w.known = false
		w.retryDelay = min(max(2*w.retryDelay, minCopyRetry), maxCopyRetry)
		delay := w.retryDelay/2 + rand.N(w.retryDelay/2)
		w.retryAt = now.Add(delay)
		countCopyWrite("failed")
		events.PlanCopyUnwritten.Log(w.Logger, slog.Uint64("planVersion", p.Version), events.ErrorAttr(err),
			slog.Int64("ageMs", delay.Milliseconds()))
		return
	}
	w.done, w.waitingSince, w.retryAt, w.retryDelay = p.Version, time.Time{}, time.Time{}, 0
	countCopyWrite(reason)
	events.PlanCopyWritten.Log(w.Logger, slog.Uint64("planVersion", p.Version), slog.String("reason", reason), slog.Int("count", size),
		slog.Int64("ageMs", now.Sub(w.seenAt).Milliseconds()))
}

func countCopyWrite(result string) {
	metrics.GetOrCreateCounter(`coltsfootline_plan_copy_writes_total{result="` + result + `"}`).Inc()
}

// isDue reports whether a plan in use should be written at now.
func (w *planCopyWriter) isDue(now time.Time, version uint64) bool {
	if version == w.done {
		return false
	}
	if version != w.seen {
		w.seen, w.seenAt = version, now
		if w.waitingSince.IsZero() {
			w.waitingSince = now
		}
	}
	settled := now.Sub(w.seenAt) >= copyDelay || now.Sub(w.waitingSince) >= maxCopyDelay
	return settled && !now.Before(w.retryAt)
}

// write makes the stored copy agree with a plan, and returns what was done and the bytes written.
func (w *planCopyWriter) write(ctx context.Context, p *plan.Plan) (reason string, size int, err error) {
	if !w.known {
		if err := w.read(ctx); err != nil {
			return "", 0, err
		}
	}
	isSmall := len(p.Routes) < minCopyRoutes
	switch {
	case isSmall && len(w.stored.Update) == 0 && (w.revision == 0 || w.stored.Version != 0):
		return "small", 0, nil
	case w.stored.Version > p.Version || w.stored.Version == p.Version && w.stored.SameFields():
		return "current", 0, nil
	}
	if err := w.confirm(ctx, p.Version); err != nil {
		return "", 0, err
	}
	// A copy of an earlier plan must not remain beside a small one, so it is emptied. It isn't deleted, because a writer that
	// is behind could then create it again.
	next := plan.Copy{Version: p.Version}
	reason = "small"
	if !isSmall {
		update, err := w.Plans.server.encodeWhole(p)
		if err != nil {
			return "", 0, err
		}
		next, reason = plan.NewCopy(p.Version, update), "written"
	}
	size, err = w.put(ctx, next)
	return reason, size, err
}

// put replaces the stored copy and returns the bytes written.
func (w *planCopyWriter) put(ctx context.Context, next plan.Copy) (size int, err error) {
	spec, err := json.Marshal(next)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	var object store.Object
	if w.revision == 0 {
		object, err = w.Store.Create(ctx, KindPlanCopy, planCopyName, spec)
	} else {
		object, err = w.Store.Replace(ctx, KindPlanCopy, planCopyName, w.revision, spec)
	}
	if err != nil {
		return 0, err
	}
	w.stored, w.revision = next, object.Revision
	return len(spec), nil
}

// confirm returns an error if the store has returned from an older copy and lacks the plan of the given version, which the
// operator has yet to write again. An entry that starts would take a copy of it for a wrong one.
func (w *planCopyWriter) confirm(ctx context.Context, version uint64) error {
	if !w.unconfirmed {
		return nil
	}
	stored, err := w.Plans.readStoredVersion(ctx)
	if err != nil {
		return err
	}
	if stored < version {
		return errors.WithStack(&PlanBehindError{Stored: stored, Used: version})
	}
	w.unconfirmed = false
	return nil
}

// read learns the stored copy. One that can't be used counts as version 0 and is replaced.
func (w *planCopyWriter) read(ctx context.Context) error {
	object, err := w.Store.Get(ctx, KindPlanCopy, planCopyName)
	var missing *store.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	w.stored, w.revision, w.known = plan.Copy{}, object.Revision, true
	if err != nil {
		return nil
	}
	if w.stored, err = plan.ParseCopy(object.Spec); err != nil {
		events.PlanCopyRefused.Log(w.Logger, slog.Uint64("revision", object.Revision), events.ErrorAttr(err))
	}
	return nil
}

// encodeWhole returns the update to the plan for an instance without a plan.
func (s *planServer) encodeWhole(p *plan.Plan) ([]byte, error) {
	_, u := s.encode(p, 0)
	return u.data, u.err
}
