package control

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/audit"
	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// MethodAudit is the JSON-RPC method that returns the audit trail.
const MethodAudit = "audit.get"

const (
	// KindAudit and auditTrailName are the kind and the name of the store object that holds the audit trail.
	KindAudit      = "audit"
	auditTrailName = "trail"
	// auditPeriod is the interval between writes of the trail. Each write takes two store calls, by one instance of the
	// fleet.
	auditPeriod = 5 * time.Second
	// pendingRetention is how long an entry that does not write the trail keeps its records, in case the writer
	// fails. It covers two writes and the time to detect the failure.
	pendingRetention = 15 * time.Second
	// maxPendingRecords limits the number of records that wait to be written to the store.
	maxPendingRecords = 256
)

// AuditRequest asks for the audit trail.
type AuditRequest struct{}

// AuditReply carries the audit trail as stored.
type AuditReply struct {
	Trail audit.Trail `json:"trail"`
}

// Auditor maintains the audit trail of plan and membership changes in the store. Every entry records the changes, but
// only one entry writes them.
type Auditor struct {
	Store  *store.Client
	Logger *slog.Logger
	Self   string
	// IsWriter reports whether this instance writes the trail.
	IsWriter func() bool

	// written is the trail that this instance wrote last, in the store's era writtenEra. Only Flush accesses them.
	written    audit.Trail
	writtenEra uint64

	mutex   sync.Mutex
	pending []audit.Record
	// dropped counts the records dropped since the last call of Flush. taken counts the pending records that a write in
	// progress contains.
	dropped int
	taken   int
	members map[string]facts.Member
	plan    *plan.Plan
	health  dependencyHealth
}

// Start starts the periodic writes, which end when ctx is cancelled.
func (a *Auditor) Start(ctx context.Context) {
	a.health = dependencyHealth{name: "storeAudit", logger: a.Logger}
	go a.run(ctx)
}

func (a *Auditor) run(ctx context.Context) {
	runPeriodically(ctx, auditPeriod, func(now time.Time) { a.Flush(ctx, now) })
}

// RecordPlan records the change to a plan that came into force. The first plan is not recorded. RecordPlan does not
// wait for the store.
func (a *Auditor) RecordPlan(now time.Time, p *plan.Plan) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	// A plan of the same version only has a longer history.
	if a.plan != nil && a.plan.Version != p.Version {
		a.enqueue(audit.NewPlanRecord(now, a.Self, a.plan, p))
	}
	a.plan = p
}

// RecordMembers records the members whose status changed since the previous call. The first call records nothing. It
// does not wait for the store.
func (a *Auditor) RecordMembers(now time.Time, members []facts.Member) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	first := a.members == nil
	if first {
		a.members = make(map[string]facts.Member, len(members))
	}
	for _, m := range members {
		previous, known := a.members[m.Instance]
		a.members[m.Instance] = m
		if !first && (!known || !sameStatus(previous, m)) {
			a.enqueue(audit.NewMemberRecord(now, a.Self, m))
		}
	}
}

// sameStatus reports whether both have the same state, target run and target state. Only changes of these are recorded.
func sameStatus(a, b facts.Member) bool {
	if a.State != b.State || (a.Target == nil) != (b.Target == nil) {
		return false
	}
	return a.Target == nil || a.Target.SameIncarnation(*b.Target) && a.Target.State == b.Target.State
}

// enqueue adds a record to the pending ones and drops the oldest if there are too many. The caller must hold the mutex.
func (a *Auditor) enqueue(r audit.Record) {
	if len(a.pending) == maxPendingRecords {
		a.pending = a.pending[1:]
		if a.taken > 0 {
			a.taken--
		} else {
			a.dropped++
		}
	}
	a.pending = append(a.pending, r)
}

// logDropped logs how many records were dropped since the previous call. The trail lacks only those of the writer.
func (a *Auditor) logDropped() {
	a.mutex.Lock()
	dropped := a.dropped
	a.dropped = 0
	a.mutex.Unlock()
	if dropped > 0 && a.IsWriter() {
		events.AuditDropped.Log(a.Logger, slog.Int("count", dropped))
	}
}

// Flush writes the pending records to the store if this instance is the writer. Records that can't be written stay
// pending until the next call.
func (a *Auditor) Flush(ctx context.Context, now time.Time) {
	a.logDropped()
	if !a.IsWriter() {
		a.dropExpired(now)
		return
	}
	a.mutex.Lock()
	records := append([]audit.Record(nil), a.pending...)
	a.taken = len(records)
	taken := a.taken
	a.mutex.Unlock()
	if a.writtenEra != a.Store.Era() {
		// The store may have returned from a copy without these records.
		records = slices.Concat(a.written.Records, records)
	}
	if len(records) == 0 {
		return
	}
	err := a.writeTrail(ctx, records)
	a.health.observe(err)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	// enqueue may have dropped some of the records during the write.
	if err == nil {
		a.pending = a.pending[a.taken:]
	} else {
		a.dropped += taken - a.taken
	}
	a.taken = 0
}

func (a *Auditor) dropExpired(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for len(a.pending) > 0 && now.UnixMilli()-a.pending[0].AtMs > pendingRetention.Milliseconds() {
		a.pending = a.pending[1:]
	}
}

// writeTrail merges records into the stored trail. The write fails if another instance has changed the trail meanwhile.
func (a *Auditor) writeTrail(ctx context.Context, records []audit.Record) error {
	trail, read, err := a.readTrail(ctx)
	if err != nil {
		return err
	}
	if trail.Merge(records) {
		text, err := trail.Encode()
		if err != nil {
			return errors.WithStack(err)
		}
		if read.Revision == 0 {
			read, err = a.Store.Create(ctx, KindAudit, auditTrailName, text)
		} else {
			read, err = a.Store.Replace(ctx, KindAudit, auditTrailName, read.Revision, text)
		}
		if err != nil {
			return err
		}
	}
	a.written, a.writtenEra = trail, read.Era
	return nil
}

// readTrail returns the trail and its object, or an empty trail and revision 0 if the object does not exist.
func (a *Auditor) readTrail(ctx context.Context) (audit.Trail, store.Object, error) {
	var trail audit.Trail
	o, err := a.Store.Get(ctx, KindAudit, auditTrailName)
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &missing):
		return trail, store.Object{Era: a.Store.Era()}, nil
	case err != nil:
		return trail, store.Object{}, err
	}
	if err := json.Unmarshal(o.Spec, &trail); err != nil {
		// The object was written by another program. The next write replaces it.
		events.FactRefused.Log(a.Logger, slog.String("object", KindAudit+"/"+auditTrailName), events.ErrorAttr(err))
		return audit.Trail{}, o, nil
	}
	return trail, o, nil
}

// Handlers returns the JSON-RPC handlers of the auditor.
func (a *Auditor) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{MethodAudit: peer.Handle(func(ctx context.Context, _ AuditRequest) (AuditReply, error) {
		trail, _, err := a.readTrail(ctx)
		return AuditReply{Trail: trail}, err
	})}
}
