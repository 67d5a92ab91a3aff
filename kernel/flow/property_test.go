package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// drill plays drawn faults on a world and checks what must hold after each step.
type drill struct {
	*world
	r *rapid.T
	// holders are the flows that callers opened and the targets that hold them.
	holders map[int]*testTarget
	// drained are the targets that drain, with the number of openings that they had seen before.
	drained map[*testTarget]int
	next    int
}

func (d *drill) entry() int { return rapid.IntRange(0, len(d.entries)-1).Draw(d.r, "entry") }

func (d *drill) host() *testHost {
	return d.hosts[rapid.IntRange(0, len(d.hosts)-1).Draw(d.r, "host")]
}

// open lets a caller open a flow, if the entry finds a host that takes it.
func (d *drill) open() {
	n, e, before := d.next, d.entry(), len(d.toCaller)
	d.next++
	d.send(e, View{Source: caller(n), Opening: true})
	if len(d.toCaller) == before || !d.toCaller[before].Accepting {
		return
	}
	d.send(e, View{Source: caller(n), Acknowledged: d.toCaller[before].Sequence + 1})
	for _, h := range d.hosts {
		if h.target.open[flowOf(n)] {
			d.holders[n] = h.target
		}
	}
}

// ask sends a request on some open flow through some entry.
func (d *drill) ask() {
	if d.next == 0 {
		return
	}
	n := rapid.IntRange(0, d.next-1).Draw(d.r, "flow")
	if t := d.holders[n]; t != nil {
		d.send(d.entry(), View{Source: caller(n), Acknowledged: t.held[flowOf(n)] + 1, Length: 1})
	}
}

func (d *drill) crashTarget() {
	h := d.host()
	for n, t := range d.holders {
		if t == h.target {
			delete(d.holders, n)
		}
	}
	h.startTarget()
	t := *h.member.Target
	t.StartedMs++
	h.member.Target = &t
	var out Output
	h.agent.UseTarget(d.now, t, true, &out)
	d.emit(h.member.Packets, &out)
	d.settle()
}

func (d *drill) drainTarget() {
	h := d.host()
	t := *h.member.Target
	t.State = facts.TargetDraining
	h.member.Target = &t
	var out Output
	h.agent.UseTarget(d.now, t, true, &out)
	d.drained[h.target] = openings(h.target)
}

func openings(t *testTarget) int {
	all := 0
	for _, v := range t.got {
		if v.Opening {
			all++
		}
	}
	return all
}

// loseSome drops every so many packets between instances.
func (d *drill) loseSome() {
	every := rapid.IntRange(2, 6).Draw(d.r, "every")
	seen := 0
	d.lose = func(netip.AddrPort, View) bool {
		seen++
		return seen%every == 0
	}
}

func (d *drill) tellAll() {
	for i := range d.entries {
		d.tell(i)
	}
	d.tellAgents()
}

func (d *drill) check() {
	for _, v := range d.toCaller {
		if v.Reset {
			n := int(v.Destination.Address[2])<<8 | int(v.Destination.Address[3])
			require.Nil(d.t, d.holders[n], "flow %d was reset while its target holds it", n)
		}
	}
	for t, before := range d.drained {
		require.LessOrEqual(d.t, openings(t), before, "a draining target took a new flow")
	}
}

// TestFlowsSurviveDrawnFaults plays rotations, restarts, crashes, drains and losses; no live flow is ever reset, no
// draining target takes a new one, and once the faults are over every live flow is served through any entry.
func TestFlowsSurviveDrawnFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := &drill{
			world: newWorld(t, rapid.IntRange(1, 3).Draw(r, "entries"), rapid.IntRange(2, 12).Draw(r, "hosts")),
			r:     r, holders: map[int]*testTarget{}, drained: map[*testTarget]int{},
		}
		steps := map[string]func(){
			"open": d.open, "open again": d.open, "ask": d.ask, "ask again": d.ask, "tell": d.tellAll,
			"crash": d.crashTarget, "drain": d.drainTarget, "lose": d.loseSome,
			"stop losing":   func() { d.lose = nil },
			"pass":          func() { d.pass(time.Duration(rapid.IntRange(1, 700).Draw(r, "ms")) * time.Millisecond) },
			"restart entry": func() { d.startEntry(d.entry()) },
			"restart agent": func() { d.startAgent(d.host()) },
		}
		names := []string{
			"open", "open again", "ask", "ask again", "tell", "crash", "drain", "lose", "stop losing", "pass",
			"restart entry", "restart agent",
		}
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			steps[rapid.SampledFrom(names).Draw(r, "step")]()
			d.check()
		}
		d.lose = nil
		d.tellAll()
		d.pass(searchLimit + time.Second)
		for n, target := range d.holders {
			d.served(n, target)
		}
		d.check()
	})
}

// served sends requests until one is answered, as a caller repeats its packets.
func (d *drill) served(n int, target *testTarget) {
	e := d.entry()
	for range 4 {
		before := len(d.toCaller)
		d.send(e, View{Source: caller(n), Acknowledged: target.held[flowOf(n)] + 1, Length: 1})
		for _, v := range d.toCaller[before:] {
			if v.Length > 0 && v.FromTarget() == flowOf(n) {
				return
			}
		}
		d.pass(200 * time.Millisecond)
	}
	d.t.Fatalf("flow %d is held and not served", n)
}
