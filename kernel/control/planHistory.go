package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// KindPlanHistory and planHistoryName are the kind and the name of the store object that holds the history of the plan.
const (
	KindPlanHistory = "history"
	planHistoryName = "routes"
)

// startHistory is what an instance read of the stored history at its start. Plans.copy.mutex guards it. The zero value is
// ready to use.
type startHistory struct {
	// read is the stored history, until it is part of the plan in use.
	read *plan.StoredHistory
	// first is the version of the first plan since the start.
	first uint64
	// settled is set when the read is over. Before, the object must not be replaced by what this instance alone knows.
	settled atomic.Bool
	// found is set if the read had a result: the history stored at revision of an era, where the revision is 0 if there is none.
	// It is valid after settled, and spares the writer a read.
	found    bool
	stored   plan.StoredHistory
	revision uint64
	era      uint64
}

// runHistoryRead reads the stored history. It repeats failed reads until the history reaches back without it.
func (p *Plans) runHistoryRead(ctx context.Context) {
	defer p.history.settled.Store(true)
	started := time.Now()
	for delay := minCopyRetry; ctx.Err() == nil && time.Since(started) < plan.HistoryRetention; delay = min(2*delay, maxCopyRetry) {
		object, err := p.Store.Get(ctx, KindPlanHistory, planHistoryName)
		var missing *store.NotFoundError
		switch {
		case errors.As(err, &missing):
			p.history.found, p.history.era = true, p.Store.Era()
			p.logHistoryRead(time.Now(), "missing", 0, nil)
			return
		case err == nil:
			p.takeHistory(time.Now(), object)
			return
		}
		countHistoryRead("failed")
		events.StoreUnavailable.Log(p.Logger, events.ErrorAttr(err))
		sleep(ctx, delay/2+rand.N(delay/2))
	}
}

// takeHistory adds a stored history to that of the plan in use or, if there is none yet, to that of the first plan.
func (p *Plans) takeHistory(now time.Time, object store.Object) {
	stored, err := plan.ParseStoredHistory(object.Spec)
	p.history.found, p.history.stored, p.history.revision, p.history.era = true, stored, object.Revision, object.Era
	if err != nil {
		countHistoryRead("refused")
		events.PlanHistoryRefused.Log(p.Logger, slog.Uint64("revision", object.Revision), events.ErrorAttr(err))
		return
	}
	p.copy.mutex.Lock()
	defer p.copy.mutex.Unlock()
	p.history.read = &stored
	for current := p.current.Load(); current != nil; current = p.current.Load() {
		next, reason := p.withStoredHistory(now, current)
		if p.current.CompareAndSwap(current, next) {
			p.history.read = nil
			p.logHistoryRead(now, reason, next.Version, next.History)
			p.OnPlan(next)
			return
		}
	}
}

// withStoredHistory returns a plan with the history that was read added to its own, and what was decided.
func (p *Plans) withStoredHistory(now time.Time, current *plan.Plan) (*plan.Plan, string) {
	next, reason := *current, ""
	next.History, reason = p.history.read.Extend(now, p.history.first, current)
	return &next, reason
}

// beginHistory returns the first plan with the stored history if that was read already.
func (p *Plans) beginHistory(now time.Time, first *plan.Plan) *plan.Plan {
	p.history.first = first.Version
	if p.history.read == nil {
		return first
	}
	next, reason := p.withStoredHistory(now, first)
	p.history.read = nil
	p.logHistoryRead(now, reason, next.Version, next.History)
	return next
}

// logHistoryRead reports how a read ended. h is the history that it led to, or nil.
func (p *Plans) logHistoryRead(now time.Time, reason string, version uint64, h *plan.History) {
	countHistoryRead(reason)
	age, services := time.Duration(0), 0
	if h != nil {
		age, services = now.Sub(h.Since), len(h.Earlier)
	}
	events.PlanHistoryRead.Log(p.Logger, slog.String("reason", reason), slog.Uint64("planVersion", version),
		slog.Int("count", services), slog.Int64("ageMs", age.Milliseconds()))
}

func countHistoryRead(result string) {
	metrics.GetOrCreateCounter(`coltsfootline_plan_history_reads_total{result="` + result + `"}`).Inc()
}
