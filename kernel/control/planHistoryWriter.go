package control

import (
	"context"
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
	// historyPeriod is the interval between checks whether the history must be written. A check makes no calls. If all are
	// killed before the write, the entries that start may not know a service, so it is short.
	historyPeriod = time.Second
	// historyVersionInterval is the least time between writes that change nothing but the version.
	historyVersionInterval = time.Minute
)

// planHistoryWriter keeps the history of the plan in the store up to date. All entries run one, but only the one that
// writes the audit trail calls the store.
type planHistoryWriter struct {
	Store  *store.Client
	Logger *slog.Logger
	Plans  *Plans
	// IsWriter reports whether this instance writes the history.
	IsWriter func() bool

	// done is the latest plan that needs no further write before due, or none at all if that is zero.
	done *plan.Plan
	due  time.Time
	// stored is the history in the store at revision, which is 0 if there is none. Both are valid if known is set.
	stored   plan.StoredHistory
	revision uint64
	known    bool
	// returns detects that the store may have lost the history.
	returns returnCheck
	// begun is set once the writer has taken over what the instance read at its start.
	begun bool
	// changedAt is when the object was last read or written.
	changedAt time.Time
	// retryAt is when a failed call may be repeated, and retryDelay is the delay before it.
	retryAt    time.Time
	retryDelay time.Duration
}

func (w *planHistoryWriter) run(ctx context.Context) {
	runPeriodically(ctx, historyPeriod, func(now time.Time) { w.step(ctx, now) })
}

// step writes the history if that is due at now.
func (w *planHistoryWriter) step(ctx context.Context, now time.Time) {
	if w.returns.returned(w.Store) {
		w.known, w.done = false, nil
	}
	p := w.Plans.Current()
	if p == nil || p.History == nil || !w.Plans.history.settled.Load() || now.Before(w.retryAt) {
		return
	}
	if p == w.done && (w.due.IsZero() || now.Before(w.due)) {
		return
	}
	if h := &w.Plans.history; !w.begun {
		w.begun, w.stored, w.revision, w.changedAt = true, h.stored, h.revision, now
		w.known = h.found && h.era == w.Store.Era()
	}
	if !w.IsWriter() {
		// Another instance may change the object.
		w.known = false
		return
	}
	if err := w.update(ctx, now, p); err != nil {
		// The write may have taken effect.
		w.known, w.done = false, nil
		w.retryDelay = min(max(2*w.retryDelay, minCopyRetry), maxCopyRetry)
		delay := w.retryDelay/2 + rand.N(w.retryDelay/2)
		w.retryAt = now.Add(delay)
		countHistoryWrite("failed")
		events.PlanHistoryUnsaved.Log(w.Logger, slog.Uint64("planVersion", p.Version), events.ErrorAttr(err),
			slog.Int64("ageMs", delay.Milliseconds()))
		return
	}
	w.retryDelay = 0
}

func countHistoryWrite(result string) {
	metrics.GetOrCreateCounter(`coltsfootline_plan_history_writes_total{result="` + result + `"}`).Inc()
}

// update makes the stored history agree with that of a plan, unless the write must wait.
func (w *planHistoryWriter) update(ctx context.Context, now time.Time, p *plan.Plan) error {
	if !w.known {
		if err := w.read(ctx, now); err != nil {
			return err
		}
	}
	w.done, w.due = p, time.Time{}
	if w.stored.Version > p.Version {
		return nil
	}
	next := p.StoredHistory(now, w.stored)
	spec, err := next.Encode(now)
	if err != nil {
		return err
	}
	switch {
	case w.stored.Version == 0:
		if w.due = p.History.Since.Add(plan.HistoryRetention); len(next.Earlier) == 0 && now.Before(w.due) {
			return nil
		}
	case next.Differs(w.stored):
	case next.Version == w.stored.Version:
		return nil
	default:
		if w.due = w.changedAt.Add(historyVersionInterval); now.Before(w.due) {
			return nil
		}
	}
	var object store.Object
	if w.revision == 0 {
		object, err = w.Store.Create(ctx, KindPlanHistory, planHistoryName, spec)
	} else {
		object, err = w.Store.Replace(ctx, KindPlanHistory, planHistoryName, w.revision, spec)
	}
	if err != nil {
		return err
	}
	w.stored, w.revision, w.changedAt, w.due = next, object.Revision, now, time.Time{}
	countHistoryWrite("written")
	events.PlanHistoryWritten.Log(w.Logger, slog.Uint64("planVersion", p.Version), slog.Int("count", len(spec)),
		slog.Int64("ageMs", now.UnixMilli()-next.SinceMs))
	return nil
}

// read learns the stored history. One that can't be used counts as version 0 and is replaced.
func (w *planHistoryWriter) read(ctx context.Context, now time.Time) error {
	object, err := w.Store.Get(ctx, KindPlanHistory, planHistoryName)
	var missing *store.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	w.stored, w.revision, w.known, w.changedAt = plan.StoredHistory{}, object.Revision, true, now
	if err != nil {
		return nil
	}
	if w.stored, err = plan.ParseStoredHistory(object.Spec); err != nil {
		events.PlanHistoryRefused.Log(w.Logger, slog.Uint64("revision", object.Revision), events.ErrorAttr(err))
	}
	return nil
}
