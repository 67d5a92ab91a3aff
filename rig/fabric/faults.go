package fabric

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Faults configures the faults that the fabric applies to packets. Loss, Duplicate and Reorder are probabilities.
type Faults struct {
	Loss      float64 `json:"loss" yaml:"loss"`
	Duplicate float64 `json:"duplicate" yaml:"duplicate"`
	Reorder   float64 `json:"reorder" yaml:"reorder"`
	// DelayMs is added to every packet; reordered packets are delayed by up to ReorderMs more.
	DelayMs   float64 `json:"delayMs" yaml:"delayMs"`
	ReorderMs float64 `json:"reorderMs" yaml:"reorderMs"`
}

// CopyDelays holds the delay of each forwarded copy of a packet; if it is empty, the packet is lost.
type CopyDelays []time.Duration

// DrawDelays draws the faults of one packet.
func (f Faults) DrawDelays(random *rand.Rand) CopyDelays {
	if random.Float64() < f.Loss {
		return nil
	}
	copies := 1
	if random.Float64() < f.Duplicate {
		copies = 2
	}
	delays := make(CopyDelays, copies)
	for i := range delays {
		delays[i] = milliseconds(f.DelayMs)
		if random.Float64() < f.Reorder {
			delays[i] += milliseconds(random.Float64() * f.ReorderMs)
		}
	}
	return delays
}

func milliseconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Millisecond))
}

// FlowTracker emulates a middlebox that loses its connection table: it drops the packets of flows that it knew when
// Forget was called. The zero value drops nothing.
type FlowTracker struct {
	// Track makes DropsFromCaller learn flows, so that Forget applies to them.
	Track bool
	// OneWay drops only packets from callers.
	OneWay    bool
	known     map[gue.Flow]bool
	forgotten map[gue.Flow]bool
}

// Forget makes the tracker drop the packets of all flows known so far.
func (f *FlowTracker) Forget() {
	f.forgotten = f.known
	f.known = nil
}

// DropsToCaller reports whether a packet to the caller of a flow is dropped.
func (f *FlowTracker) DropsToCaller(flow gue.Flow) bool {
	return !f.OneWay && f.forgotten[flow]
}

// DropsFromCaller reports whether a packet from the caller of a flow is dropped, and learns the flow. A SYN makes a
// forgotten flow usable again.
func (f *FlowTracker) DropsFromCaller(flow gue.Flow, isSYN bool) bool {
	if !f.Track {
		return false
	}
	if f.known == nil {
		f.known = make(map[gue.Flow]bool)
	}
	if isSYN {
		delete(f.forgotten, flow)
	}
	if f.forgotten[flow] {
		return true
	}
	f.known[flow] = true
	return false
}

// State is the body of PUT /state.
type State struct {
	Entries []netip.AddrPort `json:"entries" yaml:"entries"`
	Faults  Faults           `json:"faults" yaml:"faults"`
	// Weights are the relative shares of packets that entries get; empty means equal shares.
	Weights []float64 `json:"weights" yaml:"weights"`
}
