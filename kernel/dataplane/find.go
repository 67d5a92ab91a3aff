package dataplane

import (
	"context"
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

// MethodFind is the JSON-RPC method that returns the flows of a caller that an instance has in its flow table.
const MethodFind = "flow.find"

// FindRequest identifies a caller by address and port.
type FindRequest struct {
	Caller netip.AddrPort `json:"caller"`
}

// FindReply lists the matching flows.
type FindReply struct {
	Flows []flow.Info `json:"flows"`
}

// FindHandler returns the handler of MethodFind. It calls find to look up the flows.
func FindHandler(find func(ctx context.Context, caller gue.Endpoint) []flow.Info) peer.Handler {
	return peer.Handle(func(ctx context.Context, r FindRequest) (FindReply, error) {
		return FindReply{Flows: find(ctx, gue.EndpointOf(r.Caller))}, ctx.Err()
	})
}

// TaskQueue runs functions on the packet loop's goroutine, which calls RunOne. They can thus access the state of the
// loop's handler.
type TaskQueue struct {
	tasks chan func(now time.Time)
}

// NewTaskQueue returns an empty TaskQueue.
func NewTaskQueue() *TaskQueue {
	return &TaskQueue{tasks: make(chan func(time.Time))}
}

// Do blocks until f has run. It returns false if ctx is done before RunOne has taken f.
func (q *TaskQueue) Do(ctx context.Context, f func(now time.Time)) bool {
	done := make(chan struct{})
	select {
	case q.tasks <- func(now time.Time) { f(now); close(done) }:
	case <-ctx.Done():
		return false
	}
	<-done
	return true
}

// RunOne runs one waiting function, if there is one. It does not wait for one.
func (q *TaskQueue) RunOne(now time.Time) {
	select {
	case f := <-q.tasks:
		f(now)
	default:
	}
}
