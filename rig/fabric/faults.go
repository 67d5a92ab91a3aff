package fabric

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Faults says what the fabric does to packets; shares are between 0 and 1.
type Faults struct {
	Loss      float64 `json:"loss" yaml:"loss"`
	Duplicate float64 `json:"duplicate" yaml:"duplicate"`
	Reorder   float64 `json:"reorder" yaml:"reorder"`
	// DelayMs is added to every packet; reordered ones wait up to ReorderMs more.
	DelayMs   float64 `json:"delayMs" yaml:"delayMs"`
	ReorderMs float64 `json:"reorderMs" yaml:"reorderMs"`
}

// Plan is what happens to one packet: a delay for each copy that goes on; none means that it is lost.
type Plan []time.Duration

// Decide draws the plan of one packet.
func (f Faults) Decide(random *rand.Rand) Plan {
	if random.Float64() < f.Loss {
		return nil
	}
	copies := 1
	if random.Float64() < f.Duplicate {
		copies = 2
	}
	plan := make(Plan, copies)
	for i := range plan {
		plan[i] = milliseconds(f.DelayMs)
		if random.Float64() < f.Reorder {
			plan[i] += milliseconds(random.Float64() * f.ReorderMs)
		}
	}
	return plan
}

func milliseconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Millisecond))
}

// Forgetting drops the packets of flows that were open when it was told to forget, as a middle box that lost its table.
// The zero value forgets nothing.
type Forgetting struct {
	Track bool
	// OneWay lets the packets to callers pass.
	OneWay    bool
	known     map[gue.Flow]bool
	forgotten map[gue.Flow]bool
}

// Forget makes the box drop every flow that it knows.
func (f *Forgetting) Forget() {
	f.forgotten = f.known
	f.known = nil
}

// DropsToCaller reports whether a packet to the caller of a flow is dropped.
func (f *Forgetting) DropsToCaller(flow gue.Flow) bool {
	return !f.OneWay && f.forgotten[flow]
}

// DropsFromCaller reports whether a packet of the flow's caller is dropped, and learns the flow.
func (f *Forgetting) DropsFromCaller(flow gue.Flow, opening bool) bool {
	if !f.Track {
		return false
	}
	if f.known == nil {
		f.known = make(map[gue.Flow]bool)
	}
	if opening {
		delete(f.forgotten, flow)
	}
	if f.forgotten[flow] {
		return true
	}
	f.known[flow] = true
	return false
}

// State is what the fabric's control page takes and shows.
type State struct {
	Entries []netip.AddrPort `json:"entries" yaml:"entries"`
	Faults  Faults           `json:"faults" yaml:"faults"`
	// Weights are the shares of packets that entries get; empty means equal shares.
	Weights []float64 `json:"weights" yaml:"weights"`
}
