package control

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// KindPlanCopy and planCopyName are the kind and the name of the store object that holds the compact copy of the plan.
const (
	KindPlanCopy = "copy"
	planCopyName = "plan"
)

// planCopy is what an instance knows of the compact copy that it read at its start. The zero value is ready to use.
type planCopy struct {
	// mutex orders the use of the copy and the first plan, so that the copy never replaces a plan.
	mutex sync.Mutex
	// used is the plan of the copy, in force until there is a plan. position is that of its object.
	used     atomic.Pointer[plan.Plan]
	position store.Position
	// floor is the lowest version that replaces the copy. 0 if there is none.
	floor atomic.Uint64
}

// inForce returns the plan in use or, without one, the plan of the copy. It may be nil.
func (p *Plans) inForce() *plan.Plan {
	if c := p.current.Load(); c != nil {
		return c
	}
	return p.copy.used.Load()
}

// isWanted reports whether a plan of the given version would come into force.
func (p *Plans) isWanted(version uint64) bool {
	return version > p.Version() && version >= p.copy.floor.Load()
}

// runCopyRead reads the copy once. A failed read is not repeated, because the plan itself is read at the same time.
func (p *Plans) runCopyRead(ctx context.Context) {
	started := time.Now()
	object, err := p.Store.Get(ctx, KindPlanCopy, planCopyName)
	reason := ""
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &missing):
		reason = "missing"
	case err != nil:
		events.StoreUnavailable.Log(p.Logger, events.ErrorAttr(err))
		reason = "failed"
	default:
		reason, err = p.takeCopy(time.Now(), object)
	}
	var refusal *plan.CopyError
	if errors.As(err, &refusal) {
		p.refuseCopy(refusal.Reason, object.Revision, err)
		return
	}
	countCopyRead(reason)
	events.PlanCopyRead.Log(p.Logger, slog.String("reason", reason), slog.Uint64("planVersion", p.copy.floor.Load()),
		slog.Uint64("revision", object.Revision), slog.Int("count", len(object.Spec)), slog.Int64("ageMs", time.Since(started).Milliseconds()))
}

func countCopyRead(result string) {
	metrics.GetOrCreateCounter(`coltsfootline_plan_copy_reads_total{result="` + result + `"}`).Inc()
}

func (p *Plans) refuseCopy(reason string, revision uint64, err error) {
	countCopyRead("refused")
	attributes := []slog.Attr{slog.String("reason", reason), slog.Uint64("revision", revision)}
	if err != nil {
		attributes = append(attributes, events.ErrorAttr(err))
	}
	events.PlanCopyRefused.Log(p.Logger, attributes...)
}

// takeCopy puts the plan of the copy in force if there is no plan and no peer has reported a newer one. It returns what
// was decided.
func (p *Plans) takeCopy(now time.Time, object store.Object) (reason string, err error) {
	if p.current.Load() != nil {
		return "late", nil
	}
	c, err := plan.ParseCopy(object.Spec)
	switch {
	case err != nil:
		return "", err
	case len(c.Update) == 0:
		return "small", nil
	}
	copied, err := c.Decode()
	if err != nil {
		return "", err
	}
	copied.History = plan.Succeed(now, nil, copied, true)
	p.copy.mutex.Lock()
	defer p.copy.mutex.Unlock()
	switch {
	case p.current.Load() != nil:
		return "late", nil
	case p.newest.Load() > copied.Version:
		// The plan that a peer has reported may have been acknowledged long ago.
		return "older", nil
	}
	p.copy.position = store.Position{Era: object.Era, Revision: object.Revision}
	p.copy.floor.Store(copied.Version)
	p.copy.used.Store(copied)
	p.OnPlan(copied)
	return "used", nil
}

// swap replaces the plan in use, which may be nil, and reports whether it was still current. A first plan becomes the
// successor of the copy and of the stored history. swap returns nil if the first plan is older than the copy.
func (p *Plans) swap(now time.Time, current, next *plan.Plan) (*plan.Plan, bool) {
	if current != nil {
		return next, p.current.CompareAndSwap(current, next)
	}
	p.copy.mutex.Lock()
	defer p.copy.mutex.Unlock()
	switch {
	case next.Version < p.copy.floor.Load():
		return nil, false
	case p.current.Load() != nil:
		return next, false
	}
	if copied := p.copy.used.Load(); copied != nil {
		next = succeedCopy(now, copied, next)
	}
	next = p.beginHistory(now, next)
	return next, p.current.CompareAndSwap(nil, next)
}

// succeedCopy returns the first plan with a history that contains the services of the copy, under which flows were placed.
func succeedCopy(now time.Time, copied, first *plan.Plan) *plan.Plan {
	next := *first
	next.History = plan.SucceedFromPeer(now, copied, &next, first.History)
	if next.Version < copied.Version {
		// The copy was wrong, so that what was between the two is not known.
		next.History.Since, next.History.OldestVersion = now, next.Version
	}
	return &next
}

// contradictCopy lets the plan of a listing replace a copy of a higher version if the copy was in the store when the
// listing was made. A copy is written after its plan, so such a copy is wrong. A store that has returned from an older copy of
// its own since the read does not contradict it: the operator writes the plan again.
func (p *Plans) contradictCopy(page store.Page) {
	copied := p.copy.used.Load()
	read := p.copy.position
	if copied == nil || p.current.Load() != nil || page.Era != read.Era || page.Revision < read.Revision {
		return
	}
	_, name := p.Format.Location()
	for _, o := range page.Objects {
		if o.Name != name || o.Deleted {
			continue
		}
		listed, err := p.Format.Decode(o.Spec, &plan.Steps{})
		if err != nil || listed.Version == 0 || listed.Version >= copied.Version {
			continue
		}
		p.refuseCopy("newerThanPlan", read.Revision, nil)
		p.copy.floor.Store(0)
		p.applyObjects([]store.Object{o}, "store", true)
	}
}
