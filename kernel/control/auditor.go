package control

import (
	"context"
	"encoding/json"
	"log/slog"
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

// MethodAudit asks an instance for the trail of changes.
const MethodAudit = "audit.get"

const (
	// KindAudit is the store's kind of the trail, and auditTrail its name.
	KindAudit  = "audit"
	auditTrail = "trail"
	// auditPeriod is the time between two writes of the trail: two calls each, by one instance of the fleet.
	auditPeriod = 5 * time.Second
	// auditKept is how long an entry that does not write the trail keeps what it saw, for when the one that does is lost:
	// two writes and the time to find it silent.
	auditKept = 15 * time.Second
	// maxPending bounds the records that wait for the store.
	maxPending = 256
)

// AuditRequest asks for the trail.
type AuditRequest struct{}

// AuditReply carries the trail as the store holds it.
type AuditReply struct {
	Trail audit.Trail `json:"trail"`
}

// Auditor keeps the trail of plan and membership changes in the store. Every entry notes them, one writes.
type Auditor struct {
	Store  *store.Client
	Logger *slog.Logger
	Self   string
	// Writes says whether this instance is the one to write.
	Writes func() bool

	mutex   sync.Mutex
	pending []audit.Record
	members map[string]facts.Member
	plan    *plan.Plan
	link    dependency
}

// Start writes until ctx ends.
func (a *Auditor) Start(ctx context.Context) {
	a.link = dependency{name: "storeAudit", logger: a.Logger}
	go a.run(ctx)
}

func (a *Auditor) run(ctx context.Context) {
	every(ctx, auditPeriod, func(now time.Time) { a.Flush(ctx, now) })
}

// NotePlan notes a plan that came into force. It does not block.
func (a *Auditor) NotePlan(now time.Time, p *plan.Plan) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.plan != nil {
		a.add(audit.NewPlanRecord(now, a.Self, a.plan, p))
	}
	a.plan = p
}

// NoteMembers notes what changed in the membership. The first membership seen is no change.
func (a *Auditor) NoteMembers(now time.Time, members []facts.Member) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	first := a.members == nil
	if first {
		a.members = make(map[string]facts.Member, len(members))
	}
	for _, m := range members {
		held, known := a.members[m.Instance]
		a.members[m.Instance] = m
		if !first && (!known || !sameStanding(held, m)) {
			a.add(audit.NewMemberRecord(now, a.Self, m))
		}
	}
}

// sameStanding reports whether both are alike in what an operator follows.
func sameStanding(a, b facts.Member) bool {
	if a.State != b.State || (a.Target == nil) != (b.Target == nil) {
		return false
	}
	return a.Target == nil || a.Target.SameIncarnation(*b.Target) && a.Target.State == b.Target.State
}

func (a *Auditor) add(r audit.Record) {
	if len(a.pending) == maxPending {
		a.pending = a.pending[1:]
		events.AuditDropped.Log(a.Logger, slog.Int("count", 1))
	}
	a.pending = append(a.pending, r)
}

// Flush writes what is pending, if this instance is the one to write. What could not be written waits for the next time.
func (a *Auditor) Flush(ctx context.Context, now time.Time) {
	if !a.Writes() {
		a.forget(now)
		return
	}
	a.mutex.Lock()
	records := append([]audit.Record(nil), a.pending...)
	a.mutex.Unlock()
	if len(records) == 0 {
		return
	}
	err := a.write(ctx, records)
	a.link.saw(err)
	if err != nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.pending = a.pending[min(len(records), len(a.pending)):]
}

func (a *Auditor) forget(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for len(a.pending) > 0 && now.UnixMilli()-a.pending[0].AtMs > auditKept.Milliseconds() {
		a.pending = a.pending[1:]
	}
}

func (a *Auditor) write(ctx context.Context, records []audit.Record) error {
	trail, revision, err := a.read(ctx)
	if err != nil || !trail.Merge(records) {
		return err
	}
	text, err := trail.Encode()
	if err != nil {
		return errors.WithStack(err)
	}
	if revision == 0 {
		_, err = a.Store.Create(ctx, KindAudit, auditTrail, text)
	} else {
		_, err = a.Store.Replace(ctx, KindAudit, auditTrail, revision, text)
	}
	return err
}

// read returns the trail and its revision, or an empty one with revision 0.
func (a *Auditor) read(ctx context.Context) (audit.Trail, uint64, error) {
	var trail audit.Trail
	o, err := a.Store.Get(ctx, KindAudit, auditTrail)
	var missing *store.NotFoundError
	switch {
	case errors.As(err, &missing):
		return trail, 0, nil
	case err != nil:
		return trail, 0, err
	}
	if err := json.Unmarshal(o.Spec, &trail); err != nil {
		// Another writer's object: it is replaced.
		events.FactRefused.Log(a.Logger, slog.String("object", KindAudit+"/"+auditTrail), events.Failure(err))
		return audit.Trail{}, o.Revision, nil
	}
	return trail, o.Revision, nil
}

// Handlers returns the methods that the auditor answers.
func (a *Auditor) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{MethodAudit: peer.Handle(func(ctx context.Context, _ AuditRequest) (AuditReply, error) {
		trail, _, err := a.read(ctx)
		return AuditReply{Trail: trail}, err
	})}
}
