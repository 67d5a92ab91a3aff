package placement

import (
	"github.com/coltsfootline/coltsfootline/kernel"
)

// RequestPolicy selects the agent that runs a request.
type RequestPolicy interface {
	// Choose returns the index in others of the agent that should run the request, or -1 if the receiving agent should
	// run it itself. own is the load of the receiving agent.
	Choose(own Load, others []Load, r Request) int
}

// Request holds the properties of a request that a policy may take into account.
type Request struct {
	// Queued is true if the request is waiting in the receiving agent's queue.
	Queued bool
	// Long is true if the request is expected to run much longer than the average request of its service.
	Long bool
}

// RequestPolicies holds the registered request policies.
var RequestPolicies = kernel.Registry[RequestPolicy]{Kind: "policy"}

// DefaultRequestPolicy is the name of the request policy that agents use if none is configured.
const DefaultRequestPolicy = "even"

func init() {
	RequestPolicies.Register("hash", HashRequestPolicy{})
	RequestPolicies.Register("idle", IdlePolicy{})
	RequestPolicies.Register("even", EvenPolicy{})
}

// HashRequestPolicy runs every request on the agent that holds its connection.
type HashRequestPolicy struct{}

// Choose always returns -1.
func (HashRequestPolicy) Choose(Load, []Load, Request) int {
	return -1
}

// IdlePolicy hands a request over if the receiving agent has no free slot and another agent has one.
type IdlePolicy struct{}

// Choose returns the agent with the most free slots, or -1 if the receiving agent has a free slot or no other has one.
func (IdlePolicy) Choose(own Load, others []Load, r Request) int {
	if own.FreeSlotsFor(r.Long) > 0 {
		return -1
	}
	best, free := -1, 0
	for i, l := range others {
		if n := l.FreeSlotsFor(r.Long); n > free {
			best, free = i, n
		}
	}
	return best
}

// EvenPolicy balances recent utilisation. It hands a request over to the least utilised agent with a free slot if the
// receiving agent has no free slot, has queued the request, or exceeds that agent's utilisation by handOverMargin.
type EvenPolicy struct{}

// handOverMargin is the difference in Load.RecentUtilisation above which a request is handed over although the
// receiving agent has a free slot.
const handOverMargin = 0.01

// Choose returns the least utilised agent with a free slot, or -1 if there is none or the request should not be handed
// over.
func (EvenPolicy) Choose(own Load, others []Load, r Request) int {
	best := -1
	for i, l := range others {
		if l.FreeSlotsFor(r.Long) > 0 && (best < 0 || l.RecentUtilisation < others[best].RecentUtilisation) {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	if r.Queued || own.FreeSlotsFor(r.Long) == 0 || own.RecentUtilisation-others[best].RecentUtilisation > handOverMargin {
		return best
	}
	return -1
}
