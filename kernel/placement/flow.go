package placement

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel"
)

// FlowOption is a host that a new flow may go to, as one entry sees it.
type FlowOption struct {
	// Near says that the host is in the entry's data centre.
	Near bool
	// Outstanding is how many requests of this entry the host works on.
	Outstanding int
	Slots       int
	// ServiceTime is how long requests of this entry lately took; 0 is unknown.
	ServiceTime time.Duration
	// Busy says that the host lately had no free slot.
	Busy bool
}

// FlowPolicy chooses the host of a new flow.
type FlowPolicy interface {
	// Choose returns the index of an option; there is at least one. Options come in the flow's own order.
	Choose(options []FlowOption) int
}

// FlowPolicies holds the registered flow policies.
var FlowPolicies = kernel.Registry[FlowPolicy]{Kind: "flow policy"}

// DefaultFlowPolicy is the flow policy that entries use unless told otherwise.
const DefaultFlowPolicy = "leastWait"

func init() {
	FlowPolicies.Register("hash", FlowHash{})
	FlowPolicies.Register("leastWait", LeastWait{})
}

// FlowHash takes the first option, which spreads flows by their hash alone.
type FlowHash struct{}

// Choose returns 0.
func (FlowHash) Choose([]FlowOption) int {
	return 0
}

// LeastWait takes the host where a request is expected to be answered first.
type LeastWait struct{}

const (
	// defaultServiceTime stands in for a host without observations: about the brief's mean request.
	defaultServiceTime = 30 * time.Millisecond
	// farCost is what another data centre costs, as time: bytes between data centres are priced, and a request
	// takes longer by the way there and back.
	farCost = 15 * time.Millisecond
	// busyCost is what a host costs that has no free slot, as time: about one request's work.
	busyCost = 60 * time.Millisecond
)

// Choose returns the option with the least expected time to an answer.
func (LeastWait) Choose(options []FlowOption) int {
	best, least := 0, time.Duration(0)
	for i, o := range options {
		cost := o.expected()
		if i == 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// expected is the time to an answer: the own work grows with the share of slots in use, since other entries
// use the host too.
func (o FlowOption) expected() time.Duration {
	work := o.ServiceTime
	if work == 0 {
		work = defaultServiceTime
	}
	cost := work + work*time.Duration(o.Outstanding)/time.Duration(max(o.Slots, 1))
	if !o.Near {
		cost += farCost
	}
	if o.Busy {
		cost += busyCost
	}
	return cost
}
