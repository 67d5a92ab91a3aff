package replica

import (
	"context"
	"sync"
	"time"
)

// MethodCancel cancels a handed-over request that has not started and reports whether it had started.
const MethodCancel = "request.cancel"

// retention is the minimum time for which the registry keeps the decision about a handed-over request.
const retention = time.Minute

// CancelRequest names a handed-over request.
type CancelRequest struct {
	ID string `json:"id"`
}

// CancelReply reports whether the request had started; if not, it never will.
type CancelReply struct {
	Started bool `json:"started"`
}

// decision records whether a request was started or cancelled.
type decision struct {
	started bool
	at      time.Time
}

// Registry records which handed-over requests were started and which were cancelled before they started. The zero value
// is ready to use.
type Registry struct {
	mutex     sync.Mutex
	decisions map[string]decision
	lastSweep time.Time
}

// TryStart reports whether the request may start. It returns true once per ID, and never after a cancel.
func (r *Registry) TryStart(now time.Time, id string) bool {
	_, first := r.decide(now, id, true)
	return first
}

// Cancel reports whether the request has started; if not, it never will.
func (r *Registry) Cancel(now time.Time, id string) bool {
	d, _ := r.decide(now, id, false)
	return d.started
}

// decide returns the decision about a request and whether this call made it. The first decision is final.
func (r *Registry) decide(now time.Time, id string, started bool) (d decision, first bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sweep(now)
	if known, ok := r.decisions[id]; ok {
		return known, false
	}
	d = decision{started: started, at: now}
	r.decisions[id] = d
	return d, true
}

// sweep removes expired decisions, at most once per retention period.
func (r *Registry) sweep(now time.Time) {
	if r.decisions == nil {
		r.decisions = make(map[string]decision)
	}
	if now.Sub(r.lastSweep) < retention {
		return
	}
	r.lastSweep = now
	for id, d := range r.decisions {
		if now.Sub(d.at) > retention {
			delete(r.decisions, id)
		}
	}
}

// HandleCancel handles MethodCancel.
func (r *Registry) HandleCancel(_ context.Context, c CancelRequest) (CancelReply, error) {
	return CancelReply{Started: r.Cancel(time.Now(), c.ID)}, nil
}
