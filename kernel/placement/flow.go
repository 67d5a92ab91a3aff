package placement

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel"
)

// FlowOption is a host that a new flow may go to, as one entry sees it.
type FlowOption struct {
	Instance string
	// Near says that the host is in the entry's data centre.
	Near bool
	// Outstanding is how many requests of this entry the host works on.
	Outstanding int
	// Flows is how many flows of this entry are open there, with a request or without.
	Flows int
	Slots int
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
	FlowPolicies.Register("roundRobin", &RoundRobin{})
}

// FlowHash takes the first option, which spreads flows by their hash alone.
type FlowHash struct{}

// Choose returns 0.
func (FlowHash) Choose([]FlowOption) int {
	return 0
}

// maxTaken bounds the instances that RoundRobin remembers: several times a large service's.
const maxTaken = 4096

// RoundRobin takes the option that it took longest ago, or never. The zero value is ready to use from one goroutine.
type RoundRobin struct {
	turn  uint64
	taken map[string]uint64
}

// Choose returns the option that was taken longest ago.
func (r *RoundRobin) Choose(options []FlowOption) int {
	if r.taken == nil || len(r.taken) > maxTaken {
		r.taken = map[string]uint64{}
	}
	best := 0
	for i, o := range options {
		if r.taken[o.Instance] < r.taken[options[best].Instance] {
			best = i
		}
	}
	r.turn++
	r.taken[options[best].Instance] = r.turn
	return best
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
	flows, outstanding := 0, 0
	for _, o := range options {
		flows += o.Flows
		outstanding += o.Outstanding
	}
	activity := 1.0
	if flows > 0 {
		activity = float64(outstanding) / float64(flows)
	}
	best, least := 0, time.Duration(0)
	for i, o := range options {
		cost := o.expected(activity)
		if i == 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// expected is the time to an answer: the own work grows with the share of slots in use, since other entries use the
// host too. Flows without a request will have one as often as flows do now, which keeps flows that stay open for long
// evenly spread.
func (o FlowOption) expected(activity float64) time.Duration {
	work := o.ServiceTime
	if work == 0 {
		work = defaultServiceTime
	}
	load := (float64(o.Outstanding) + activity*float64(o.Flows)) / 2
	cost := work + time.Duration(float64(work)*load/float64(max(o.Slots, 1)))
	if !o.Near {
		cost += farCost
	}
	if o.Busy {
		cost += busyCost
	}
	return cost
}
