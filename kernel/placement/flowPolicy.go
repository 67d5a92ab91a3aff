package placement

import (
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

// FlowPolicies holds the registered flow policies.
var FlowPolicies = kernel.Registry[FlowPolicy]{Kind: "flow policy"}

// DefaultFlowPolicy is the name of the flow policy that entries use if none is configured.
const DefaultFlowPolicy = "leastWait"

func init() {
	FlowPolicies.Register("hash", HashFlowPolicy{})
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

// LeastWait selects the host with the shortest expected response time.
type LeastWait struct{}

const (
	// defaultServiceTime is assumed for a host whose service time is unknown. It is about the mean service time of a
	// request in the project's requirements.
	defaultServiceTime = 30 * time.Millisecond
	// remotePenalty is added to the expected response time of a host in another data centre, because traffic between
	// data centres is billed and adds a round trip to each request.
	remotePenalty = 15 * time.Millisecond
)

// Choose returns the candidate with the lowest expected response time, including penalties.
func (LeastWait) Choose(candidates []FlowCandidate) int {
	flows, outstanding := 0, 0
	for _, c := range candidates {
		flows += c.Flows
		outstanding += c.Outstanding
	}
	requestsPerFlow := 1.0
	if flows > 0 {
		requestsPerFlow = float64(outstanding) / float64(flows)
	}
	waits := comparedWaits{}
	best, lowest := 0, time.Duration(0)
	for i, c := range candidates {
		cost := c.expectedResponseTime(requestsPerFlow) + waits.next(c)
		if i == 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// comparedReports is how many hosts of a data centre are compared by what they reported. All entries know much the same
// of a host that looks free, so with a comparison of all candidates a fifth of a fleet's flows would go there at once.
const comparedReports = 3

// waitSteps is how many different waits within one service time count. Smaller differences between old reports are
// chance, but would decide between hosts that are equal otherwise.
const waitSteps = 4

// comparedWaits limits the comparison by reports to the first candidates of each data centre: no further one counts as
// emptier than these.
type comparedWaits [2]struct {
	seen  int
	least time.Duration
}

// next returns the expected wait to use for the next candidate.
func (w *comparedWaits) next(c FlowCandidate) time.Duration {
	step := max(c.serviceTime()/waitSteps, 1)
	wait := c.Wait / step * step
	side := &w[0]
	if !c.SameDataCentre {
		side = &w[1]
	}
	if side.seen == comparedReports {
		return max(wait, side.least)
	}
	if side.seen == 0 || wait < side.least {
		side.least = wait
	}
	side.seen++
	return wait
}

func (c FlowCandidate) serviceTime() time.Duration {
	if c.ServiceTime == 0 {
		return defaultServiceTime
	}
	return c.ServiceTime
}

// expectedResponseTime estimates the response time of a request on the host, including penalties. The service time is
// scaled up with the share of the host's slots that this entry occupies, because other entries use the host too. Idle
// flows count with the present average number of requests per flow, which distributes long-lived flows evenly.
func (c FlowCandidate) expectedResponseTime(requestsPerFlow float64) time.Duration {
	serviceTime := c.serviceTime()
	load := (float64(c.Outstanding) + requestsPerFlow*float64(c.Flows)) / 2
	cost := serviceTime + time.Duration(float64(serviceTime)*load/float64(max(c.Slots, 1)))
	if !c.SameDataCentre {
		cost += remotePenalty
	}
	return cost
}
