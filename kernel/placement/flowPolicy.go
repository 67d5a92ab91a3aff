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

// LeastWait selects the host with the shortest expected response time.
type LeastWait struct{}

const (
	// defaultServiceTime is assumed for a host whose service time is unknown. It is about the mean service time of a
	// request in the project's requirements.
	defaultServiceTime = 30 * time.Millisecond
	// remoteCost is the expected wait in the own data centre from which on a flow goes to another one. Callers' packets
	// take 1 to 3 ms longer there, and traffic between data centres is billed. It is just below the wait for one of two slots
	// in use by requests of 20 to 30 ms, so that a crowded data centre passes flows on before they queue. With 8 ms, data
	// centres with free slots exchanged 14 to 19% of their flows at 0.7 times capacity; 15 ms left more flows waiting.
	remoteCost = 11 * time.Millisecond
)

// Choose returns the candidate of the own data centre with the lowest expected response time, unless the expected wait
// for a slot of each candidate there exceeds that of the best of the other data centres by more than remoteCost.
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
	local, remote := option{index: -1}, option{index: -1}
	for i, c := range candidates {
		o := &local
		if !c.SameDataCentre {
			o = &remote
		}
		o.offer(i, c.wait(), c.expectedResponseTime(requestsPerFlow)+waits.next(c))
	}
	if local.index < 0 || remote.index >= 0 && local.leastWait > candidates[remote.index].wait()+remoteCost {
		return remote.index
	}
	return local.index
}

// option is the best candidate of the own data centre or of the others so far. Its index is -1 without one.
type option struct {
	index int
	cost  time.Duration
	// leastWait is the least expected wait of any candidate.
	leastWait time.Duration
}

func (o *option) offer(index int, wait, cost time.Duration) {
	if o.index < 0 || wait < o.leastWait {
		o.leastWait = wait
	}
	if o.index < 0 || cost < o.cost {
		o.index, o.cost = index, cost
	}
}

// wait returns the expected wait for a slot: by the host's reports, but at least by this entry's own flows.
func (c FlowCandidate) wait() time.Duration {
	slots := max(c.Slots, 1)
	return max(c.Wait, c.serviceTime()*time.Duration(max(c.Outstanding-slots+1, 0))/time.Duration(slots))
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

// expectedResponseTime estimates the response time of a request on the host by this entry's flows. The service time is
// scaled up with the share of the host's slots that this entry occupies, because other entries use the host too. Idle
// flows count with the present average number of requests per flow, which distributes long-lived flows evenly.
func (c FlowCandidate) expectedResponseTime(requestsPerFlow float64) time.Duration {
	serviceTime := c.serviceTime()
	load := (float64(c.Outstanding) + requestsPerFlow*float64(c.Flows)) / 2
	return serviceTime + time.Duration(float64(serviceTime)*load/float64(max(c.Slots, 1)))
}
