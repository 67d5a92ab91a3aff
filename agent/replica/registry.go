package replica

import (
	"context"
	"sync"
	"time"
)

// MethodCancel asks what became of a handed-over request and stops it if it has not started.
const MethodCancel = "request.cancel"

// rememberTime is how long the fate of a handed-over request is known.
const rememberTime = time.Minute

// CancelRequest names a handed-over request.
type CancelRequest struct {
	ID string `json:"id"`
}

// CancelReply says whether the request had started; if not, it never will.
type CancelReply struct {
	Started bool `json:"started"`
}

type fate struct {
	started bool
	at      time.Time
}

// Registry knows which handed-over requests have started or were cancelled before. The zero value is ready to use.
type Registry struct {
	mutex sync.Mutex
	fates map[string]fate
	swept time.Time
}

// Start reports whether the request may start now: it does once, and not after a cancel.
func (r *Registry) Start(now time.Time, id string) bool {
	_, first := r.settle(now, id, true)
	return first
}

// Cancel reports whether the request has started; if not, it never will.
func (r *Registry) Cancel(now time.Time, id string) bool {
	f, _ := r.settle(now, id, false)
	return f.started
}

// settle returns a request's fate and whether it was decided by this call; the first decision stands.
func (r *Registry) settle(now time.Time, id string, started bool) (f fate, first bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sweep(now)
	if known, ok := r.fates[id]; ok {
		return known, false
	}
	f = fate{started: started, at: now}
	r.fates[id] = f
	return f, true
}

func (r *Registry) sweep(now time.Time) {
	if r.fates == nil {
		r.fates = make(map[string]fate)
	}
	if now.Sub(r.swept) < rememberTime {
		return
	}
	r.swept = now
	for id, f := range r.fates {
		if now.Sub(f.at) > rememberTime {
			delete(r.fates, id)
		}
	}
}

// Answer answers MethodCancel.
func (r *Registry) Answer(_ context.Context, c CancelRequest) (CancelReply, error) {
	return CancelReply{Started: r.Cancel(time.Now(), c.ID)}, nil
}
