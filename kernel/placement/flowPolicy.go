package placement

import (
	"maps"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel"
)

// FlowCandidate is a host on which a new flow may be placed. Counts and times cover only the flows that the choosing
// entry knows.
type FlowCandidate struct {
	Instance string
	// SameDataCentre is true if the host is in the same data centre as the entry.
	SameDataCentre bool
	// Outstanding is the number of this entry's flows on the host that are being opened or wait for an answer.
	Outstanding int
	// Flows is the number of this entry's flows on the host that are not closed, including idle ones.
	Flows int
	// Slots is the number of requests that the host can process at once.
	Slots int
	// ServiceTime is the recent average service time of this entry's requests, or 0 if unknown.
	ServiceTime time.Duration
	// Busy is true if the host recently reported that it had no free slot.
	Busy bool
	// Wait is the time that a flow is expected to wait for a slot, by what the host recently reported of its room. It is 0
	// if nothing is known.
	Wait time.Duration
}

// FlowPolicy selects the host for a new flow.
type FlowPolicy interface {
	// Choose returns the index of the selected candidate. The slice is never empty. It is ordered by the flow's hash, so
	// that all entries rank the hosts of a flow alike.
	Choose(candidates []FlowCandidate) int
}

// StatefulFlowPolicy is a FlowPolicy whose choices depend on earlier ones.
type StatefulFlowPolicy interface {
	FlowPolicy
	// Clone returns a policy that makes the same next choices and shares no state with this one.
	Clone() FlowPolicy
}

// CloneFlowPolicy returns a policy that makes the same next choices as p and shares no state with it.
func CloneFlowPolicy(p FlowPolicy) FlowPolicy {
	if s, ok := p.(StatefulFlowPolicy); ok {
		return s.Clone()
	}
	return p
}

// FlowPolicies holds the registered flow policies.
var FlowPolicies = kernel.Registry[FlowPolicy]{Kind: "flow policy"}

// DefaultFlowPolicy is the name of the flow policy that entries use if none is configured.
const DefaultFlowPolicy = "leastWait"

func init() {
	FlowPolicies.Register("hash", HashFlowPolicy{})
	FlowPolicies.Register("leastExpectedWait", LeastExpectedWait{})
	FlowPolicies.Register("leastWait", LeastWait{})
	FlowPolicies.Register("roundRobin", &RoundRobin{})
}

// HashFlowPolicy selects the first candidate, so that flows are distributed by their hash alone.
type HashFlowPolicy struct{}

// Choose always returns 0.
func (HashFlowPolicy) Choose([]FlowCandidate) int {
	return 0
}

// maxTrackedInstances limits the instances that RoundRobin keeps track of; it starts over when there are more. The
// limit is several times the size of a large service.
const maxTrackedInstances = 4096

// RoundRobin selects the least recently selected instance; one that was never selected comes first. The zero value is
// ready to use. It is not safe for concurrent use.
type RoundRobin struct {
	// selections counts the calls of Choose. lastSelected holds, by instance, its value at the latest selection.
	selections   uint64
	lastSelected map[string]uint64
}

// Choose returns the least recently selected candidate.
func (r *RoundRobin) Choose(candidates []FlowCandidate) int {
	if r.lastSelected == nil || len(r.lastSelected) > maxTrackedInstances {
		r.lastSelected = map[string]uint64{}
	}
	best := 0
	for i, c := range candidates {
		if r.lastSelected[c.Instance] < r.lastSelected[candidates[best].Instance] {
			best = i
		}
	}
	r.selections++
	r.lastSelected[candidates[best].Instance] = r.selections
	return best
}

// Clone returns a policy with the same past selections.
func (r *RoundRobin) Clone() FlowPolicy {
	return &RoundRobin{selections: r.selections, lastSelected: maps.Clone(r.lastSelected)}
}

// LeastWait selects the host with the shortest expected response time, by this entry's own flows.
type LeastWait struct{}

const (
	// defaultServiceTime is assumed for a host whose service time is unknown. It is about the mean service time of a
	// request in the project's requirements.
	defaultServiceTime = 30 * time.Millisecond
	// remotePenalty is added to the expected response time of a host in another data centre, because traffic between
	// data centres is billed and adds a round trip to each request.
	remotePenalty = 15 * time.Millisecond
	// busyPenalty is added to the expected response time of a host that recently reported that it had no free slot. It is
	// about the service time of one request.
	busyPenalty = 60 * time.Millisecond
)

// Choose returns the candidate with the lowest expected response time, including penalties.
func (LeastWait) Choose(candidates []FlowCandidate) int {
	requestsPerFlow := requestsPerFlow(candidates)
	best, lowest := 0, time.Duration(0)
	for i, c := range candidates {
		cost := c.expectedResponseTime(requestsPerFlow)
		if !c.SameDataCentre {
			cost += remotePenalty
		}
		if c.Busy {
			cost += busyPenalty
		}
		if i == 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// requestsPerFlow returns the present average number of requests per flow.
func requestsPerFlow(candidates []FlowCandidate) float64 {
	flows, outstanding := 0, 0
	for _, c := range candidates {
		flows += c.Flows
		outstanding += c.Outstanding
	}
	if flows == 0 {
		return 1
	}
	return float64(outstanding) / float64(flows)
}

func (c FlowCandidate) serviceTime() time.Duration {
	if c.ServiceTime == 0 {
		return defaultServiceTime
	}
	return c.ServiceTime
}

// expectedResponseTime estimates the response time of a request on the host by this entry's flows. The service time is
// scaled up with the share of the host's slots that this entry occupies, because other entries use the host too. Idle
// flows count with the present average number of requests per flow, which distributes long-lived flows evenly.
func (c FlowCandidate) expectedResponseTime(requestsPerFlow float64) time.Duration {
	serviceTime := c.serviceTime()
	load := (float64(c.Outstanding) + requestsPerFlow*float64(c.Flows)) / 2
	return serviceTime + time.Duration(float64(serviceTime)*load/float64(max(c.Slots, 1)))
}
