package carrier

import (
	"context"
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

// MethodFind asks an instance what it remembers of a caller's flows.
const MethodFind = "flow.find"

// FindRequest names a caller by address and port.
type FindRequest struct {
	Caller netip.AddrPort `json:"caller"`
}

// FindReply carries the flows found.
type FindReply struct {
	Flows []flow.Info `json:"flows"`
}

// FindHandler answers MethodFind.
func FindHandler(find func(ctx context.Context, caller gue.Endpoint) []flow.Info) peer.Handler {
	return peer.Handle(func(ctx context.Context, r FindRequest) (FindReply, error) {
		return FindReply{Flows: find(ctx, gue.EndpointOf(r.Caller))}, ctx.Err()
	})
}

// Queries hands questions to the traffic thread, which answers them when it calls Run.
type Queries struct {
	waiting chan func(now time.Time)
}

// NewQueries returns Queries without questions.
func NewQueries() *Queries {
	return &Queries{waiting: make(chan func(time.Time))}
}

// Do waits until the traffic thread has run f, and reports false when ctx ended first.
func (q *Queries) Do(ctx context.Context, f func(now time.Time)) bool {
	done := make(chan struct{})
	select {
	case q.waiting <- func(now time.Time) { f(now); close(done) }:
	case <-ctx.Done():
		return false
	}
	<-done
	return true
}

// Run answers one question, if there is one.
func (q *Queries) Run(now time.Time) {
	select {
	case f := <-q.waiting:
		f(now)
	default:
	}
}
