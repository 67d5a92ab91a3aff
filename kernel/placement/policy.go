package placement

import (
	"github.com/coltsfootline/coltsfootline/kernel"
)

// Policy chooses where a request runs that arrived at one agent.
type Policy interface {
	// Choose returns the index in others of the agent that should run the request, or -1 for the own one.
	Choose(own Load, others []Load, r Request) int
}

// Request is what a policy may know of a request.
type Request struct {
	// Waited says that the request already stands in the own queue.
	Waited bool
	// Long says that the request is expected to run much longer than others.
	Long bool
}

// Policies holds the registered policies.
var Policies = kernel.Registry[Policy]{Kind: "policy"}

// Default is the policy that agents use unless told otherwise.
const Default = "even"

func init() {
	Policies.Register("hash", Hash{})
	Policies.Register("idle", Idle{})
	Policies.Register("even", Even{})
}

// Hash runs every request at the agent that holds its connection.
type Hash struct{}

// Choose returns -1.
func (Hash) Choose(Load, []Load, Request) int {
	return -1
}

// Idle hands a request over when the own slots are full and another agent has a free one.
type Idle struct{}

// Choose returns the agent with the most free slots, or -1.
func (Idle) Choose(own Load, others []Load, r Request) int {
	if own.FreeFor(r.Long) > 0 {
		return -1
	}
	best, free := -1, 0
	for i, l := range others {
		if f := l.FreeFor(r.Long); f > free {
			best, free = i, f
		}
	}
	return best
}

// Even hands over as Idle does, and besides from agents that worked more lately to those that worked less.
type Even struct{}

// evenMargin is the difference of Recent that is worth a hand-over.
const evenMargin = 0.01

// Choose returns the agent with a free slot that worked least lately, if that is worth it, or -1.
func (Even) Choose(own Load, others []Load, r Request) int {
	best := -1
	for i, l := range others {
		if l.FreeFor(r.Long) > 0 && (best < 0 || l.Recent < others[best].Recent) {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	if r.Waited || own.FreeFor(r.Long) == 0 || own.Recent-others[best].Recent > evenMargin {
		return best
	}
	return -1
}
