package control

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// rememberedPlans is the number of plans from which differences can be made, the one in use included. Instances that miss
// more versions in a row get the whole plan.
const rememberedPlans = 4

var (
	planReplyBytes    = metrics.GetOrCreateCounter("coltsfootline_plan_reply_bytes_total")
	planRepliesWhole  = metrics.GetOrCreateCounter(`coltsfootline_plan_replies_total{kind="whole"}`)
	planRepliesUpdate = metrics.GetOrCreateCounter(`coltsfootline_plan_replies_total{kind="difference"}`)
	planRepliesPlain  = metrics.GetOrCreateCounter(`coltsfootline_plan_replies_total{kind="uncompressed"}`)
	planReplyRefusals = metrics.GetOrCreateCounter("coltsfootline_plan_replies_refused_total")
)

// PlanBusyError reports that this instance answers too many requests for plans to answer one of an older build.
type PlanBusyError struct{ Wait time.Duration }

// Error implements the error interface.
func (e *PlanBusyError) Error() string {
	return "too many requests for the plan; try again in " + e.Wait.String()
}

// planServer answers requests for the plan with compressed updates, which it sends in pieces. The zero value is ready to
// use.
type planServer struct {
	gate planGate

	mutex sync.Mutex
	// plans holds the latest plans in ascending order of their versions.
	plans   []*plan.Plan
	updates map[updateKey]*encodedUpdate
	// whole is the latest plan as older builds get it.
	whole *encodedWhole
}

// updateKey identifies an update by the version that its receiver has, or 0, and by the version that it leads to.
type updateKey struct{ base, version uint64 }

// encodedUpdate is an update that is encoded once, by the first request for it.
type encodedUpdate struct {
	once sync.Once
	// encoded is set once the fields below are.
	encoded    atomic.Bool
	data       []byte
	difference bool
	err        error
}

// encodedWhole is a plan in JSON that is encoded once, by the first request for it.
type encodedWhole struct {
	version uint64
	once    sync.Once
	text    json.RawMessage
	err     error
}

// wholePlanReply is a PlanReply with a plan that is encoded already.
type wholePlanReply struct {
	Plan json.RawMessage `json:"plan"`
}

// remember keeps a plan that comes into force, as the base of differences. Updates to the plan before it are kept,
// because instances may be receiving them.
func (s *planServer) remember(p *plan.Plan) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if n := len(s.plans); n > 0 && s.plans[n-1].Version >= p.Version {
		return
	}
	s.plans = append(s.plans, p)
	s.plans = s.plans[max(0, len(s.plans)-rememberedPlans):]
	oldest := s.plans[max(0, len(s.plans)-2)].Version
	for k := range s.updates {
		if k.version < oldest {
			delete(s.updates, k)
		}
	}
}

// reply answers a request with the plan in use, which may be nil.
func (s *planServer) reply(ctx context.Context, current *plan.Plan, r PlanRequest) (any, error) {
	switch {
	case current == nil:
		return PlanReply{}, nil
	case !r.Pieces:
		return s.replyWhole(ctx, current)
	case r.Offset > 0:
		u, known := s.find(updateKey{base: r.Base, version: r.Version})
		if !known {
			return PlanReply{Version: current.Version}, nil
		}
		return s.replyPiece(ctx, updateKey{base: r.Base, version: r.Version}, u, r, nil)
	case r.Have >= current.Version:
		return PlanReply{Version: current.Version}, nil
	}
	r.Offset = 0
	k, u := s.encode(current, r.Have)
	return s.replyPiece(ctx, k, u, r, current.History)
}

// replyPiece answers with the requested piece of an update, or refuses to. The first piece comes with the plan's history.
func (s *planServer) replyPiece(ctx context.Context, k updateKey, u *encodedUpdate, r PlanRequest, history *plan.History) (any, error) {
	if u.err != nil {
		return nil, u.err
	}
	piece := pieceRequest{Transfer: r.Transfer, Offset: r.Offset, Size: len(u.data)}
	wait, ok := s.gate.admit(time.Now(), piece)
	if !ok {
		planReplyRefusals.Inc()
		return PlanReply{Version: k.version, RetryMs: max(1, wait.Milliseconds()), Elsewhere: s.gate.elsewhere(k.version)}, nil
	}
	sleep(ctx, wait)
	length := s.gate.lengthOf(piece)
	end := r.Offset + length
	if end >= len(u.data) {
		s.gate.recordServed(k.version, r.From)
	}
	if r.Offset == 0 {
		if u.difference {
			planRepliesUpdate.Inc()
		} else {
			planRepliesWhole.Inc()
		}
	}
	planReplyBytes.Add(wireBytes(length))
	reply := PlanReply{Version: k.version, Base: k.base, Size: len(u.data), Difference: u.difference}
	if r.Offset == 0 {
		reply.History = history.Record(time.Now())
	}
	if r.Offset < end {
		reply.Piece = u.data[r.Offset:end]
	}
	return reply, nil
}

// replyWhole answers an instance of an older build, or an operator.
func (s *planServer) replyWhole(ctx context.Context, current *plan.Plan) (any, error) {
	s.mutex.Lock()
	if s.whole == nil || s.whole.version < current.Version {
		s.whole = &encodedWhole{version: current.Version}
	}
	w := s.whole
	s.mutex.Unlock()
	w.once.Do(func() { w.text, w.err = json.Marshal(current) })
	if w.err != nil {
		return nil, errors.WithStack(w.err)
	}
	wait, ok := s.gate.admitWhole(time.Now(), len(w.text))
	if !ok {
		planReplyRefusals.Inc()
		return nil, errors.WithStack(&PlanBusyError{Wait: wait})
	}
	sleep(ctx, wait)
	planRepliesPlain.Inc()
	planReplyBytes.Add(len(w.text))
	return wholePlanReply{Plan: w.text}, nil
}

// encode returns the update to the plan for an instance that has the given version. Concurrent calls encode it once.
func (s *planServer) encode(current *plan.Plan, have uint64) (updateKey, *encodedUpdate) {
	s.mutex.Lock()
	var base *plan.Plan
	k := updateKey{version: current.Version}
	if i := slices.IndexFunc(s.plans, func(p *plan.Plan) bool { return p.Version == have }); i >= 0 {
		base, k.base = s.plans[i], have
	}
	u := s.update(k)
	s.mutex.Unlock()
	u.once.Do(func() {
		u.data, u.difference, u.err = plan.EncodeUpdate(base, current, &plan.Steps{})
		u.encoded.Store(true)
	})
	return k, u
}

// update returns the update with the given key, which it creates if necessary. The caller must hold the mutex.
func (s *planServer) update(k updateKey) *encodedUpdate {
	u, known := s.updates[k]
	if !known {
		if s.updates == nil {
			s.updates = map[updateKey]*encodedUpdate{}
		}
		u = &encodedUpdate{}
		s.updates[k] = u
	}
	return u
}

// adopt keeps an update that was fetched, so that it is not encoded again for others that have the same plan. The large
// ones take 6 ms of processor time, which with pauses delays the first reply by 0.2 s.
func (s *planServer) adopt(d download) {
	if len(d.update) == 0 {
		return
	}
	s.mutex.Lock()
	u := s.update(d.key)
	s.mutex.Unlock()
	u.once.Do(func() {
		u.data, u.difference = d.update, d.difference
		u.encoded.Store(true)
	})
}

// find returns an update that was encoded before.
func (s *planServer) find(k updateKey) (*encodedUpdate, bool) {
	s.mutex.Lock()
	u, known := s.updates[k]
	s.mutex.Unlock()
	return u, known && u.encoded.Load()
}
