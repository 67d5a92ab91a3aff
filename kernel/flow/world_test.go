package flow

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const testPort = 9000

var testService = gue.Endpoint{Address: [4]byte{198, 18, 0, 1}, Port: 443}

// world runs entries, agents and targets in one goroutine; packets travel in order and at once.
type world struct {
	t       *testing.T
	now     time.Time
	plan    *plan.Plan
	entries []*Entry
	hosts   []*testHost
	queue   []transit
	// toCaller are the packets that callers got, newest last.
	toCaller []View
	// lose drops a packet on its way when it returns true.
	lose      func(to netip.AddrPort, v View) bool
	decisions []Decision
}

type transit struct {
	from, to netip.AddrPort
	packet   []byte
}

// testHost is an agent and the target beside it.
type testHost struct {
	agent  *Agent
	member facts.Member
	target *testTarget
}

// testTarget ends flows: it accepts what it is offered while it has room, and bounces what it does not hold.
type testTarget struct {
	held map[gue.Flow]uint32
	open map[gue.Flow]bool
	full bool
	// got are the packets that reached the target.
	got []View
	// resetsUnknown makes it answer data of unknown flows with a reset.
	resetsUnknown bool
	next          uint32
}

func newWorld(t *testing.T, entries, hosts int) *world {
	w := &world{t: t, now: time.Unix(1000, 0), plan: &plan.Plan{Version: 1, Routes: []plan.Route{
		{Name: "r", Address: testService, Shares: []plan.Share{{Service: "s", Weight: 1}}},
	}}}
	w.plan.Index()
	for i := range hosts {
		a := address(20 + i)
		h := &testHost{
			member: facts.Member{
				Instance: fmt.Sprintf("agent-%d", i), Role: facts.RoleAgent, Service: "s", Packets: a, State: facts.StateServing,
				Target: &facts.Target{ID: fmt.Sprintf("t-%d", i), StartedMs: 1, State: facts.TargetReady, Slots: 4},
			},
		}
		h.startTarget()
		w.hosts = append(w.hosts, h)
		w.startAgent(h)
	}
	for i := range entries {
		w.entries = append(w.entries, nil)
		w.startEntry(i)
	}
	w.tellAgents()
	w.pass(settleTime + time.Second)
	return w
}

func address(last int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(last)}), testPort)
}

func targetAddress(h *testHost) netip.AddrPort {
	return netip.AddrPortFrom(h.member.Packets.Addr(), testPort+1)
}

func (h *testHost) startTarget() {
	h.target = &testTarget{held: map[gue.Flow]uint32{}, open: map[gue.Flow]bool{}, next: 1000 * uint32(h.member.Packets.Addr().As4()[3])}
}

func (w *world) startAgent(h *testHost) {
	h.agent = &Agent{Self: h.member.Packets, Service: "s", Target: targetAddress(h), Codec: testCodec{}}
	h.agent.UsePlan(w.plan)
	var out Output
	h.agent.UseTarget(w.now, *h.member.Target, true, &out)
}

func (w *world) startEntry(i int) {
	w.entries[i] = &Entry{Self: address(1 + i), Codec: testCodec{}, Policy: placement.LeastWait{}}
	w.tell(i)
}

// tell gives an entry the present members and plan.
func (w *world) tell(i int) {
	var members []facts.Member
	for _, h := range w.hosts {
		members = append(members, h.member)
	}
	w.entries[i].Use(w.now, w.plan, NewDirectory(members))
}

func (w *world) tellAgents() {
	for _, h := range w.hosts {
		h.agent.UseDirectory(w.entries[0].directory)
	}
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.entries {
		e.Sweep(w.now)
		var out Output
		e.Search(w.now, false, &out)
		w.emit(e.Self, &out)
	}
	w.settle()
	for _, h := range w.hosts {
		var out Output
		h.agent.Sweep(w.now, &out)
		w.emit(h.member.Packets, &out)
	}
	w.settle()
}

func caller(n int) gue.Endpoint {
	return gue.Endpoint{Address: [4]byte{100, 64, byte(n >> 8), byte(n)}, Port: uint16(1024 + n)}
}

// send gives an entry a caller's packet and lets everything that follows happen.
func (w *world) send(entry int, v View) {
	v.Destination = testService
	from := netip.AddrPortFrom(netip.AddrFrom4(v.Source.Address), testPort)
	w.queue = append(w.queue, transit{from: from, to: w.entries[entry].Self, packet: encode(v)})
	w.settle()
}

func (w *world) settle() {
	for steps := 0; len(w.queue) > 0; steps++ {
		require.Less(w.t, steps, 10000, "packets travel in circles")
		next := w.queue[0]
		w.queue = w.queue[1:]
		if w.lose == nil || !w.lose(next.to, decode(next.packet)) {
			w.arrive(next)
		}
	}
}

func (w *world) arrive(p transit) {
	var out Output
	for _, e := range w.entries {
		if e.Self == p.to {
			e.Step(w.now, p.from, p.packet, &out)
			require.NotEqual(w.t, gue.ReasonTotalLength, out.Dropped, "our own packets are well formed")
			w.emit(e.Self, &out)
			return
		}
	}
	for _, h := range w.hosts {
		switch p.to {
		case h.member.Packets:
			h.agent.FromEntry(w.now, p.from, p.packet, &out)
			w.emit(h.member.Packets, &out)
			return
		case targetAddress(h):
			for _, answer := range h.target.take(p.packet) {
				out.Clear()
				h.agent.FromTarget(w.now, answer, &out)
				w.emit(h.member.Packets, &out)
			}
			return
		}
	}
	w.toCaller = append(w.toCaller, decode(p.packet))
}

func (w *world) emit(from netip.AddrPort, out *Output) {
	for _, s := range out.Sends {
		w.queue = append(w.queue, transit{from: from, to: s.To, packet: slices.Clone(s.Packet)})
	}
	w.decisions = append(w.decisions, out.Decisions...)
}

// take is what a target does with a packet.
func (t *testTarget) take(packet []byte) [][]byte {
	v := decode(packet)
	t.got = append(t.got, v)
	f := v.FromCaller()
	_, held := t.held[f]
	reply := View{Source: v.Destination, Destination: v.Source}
	switch {
	case v.Opening && t.full && !held, !v.Opening && !held && !t.resetsUnknown:
		bounced := slices.Clone(packet)
		bounced[12] |= 16
		bounced[25] = 0
		return [][]byte{bounced}
	case v.Opening:
		if !held {
			t.next++
			t.held[f] = t.next
		}
		reply.Accepting, reply.Sequence = true, t.held[f]
	case !held:
		reply.Reset = true
	case !t.open[f] && v.Acknowledged != t.held[f]+1:
		return nil
	default:
		t.open[f] = true
		if v.Length == 0 {
			return nil
		}
		reply.Length, reply.Sequence = 1, t.held[f]+1
	}
	return [][]byte{encode(reply)}
}

// opens makes a caller open a flow and returns the host that accepted it first.
func (w *world) opens(entry, n int) *testHost {
	before := len(w.toCaller)
	w.send(entry, View{Source: caller(n), Opening: true})
	require.Greater(w.t, len(w.toCaller), before, "the caller got no answer")
	accept := w.toCaller[before]
	require.True(w.t, accept.Accepting)
	w.send(entry, View{Source: caller(n), Acknowledged: accept.Sequence + 1})
	for _, h := range w.hosts {
		if h.target.open[flowOf(n)] {
			return h
		}
	}
	w.t.Fatal("no target holds the flow")
	return nil
}

func flowOf(n int) gue.Flow {
	return gue.Flow{Caller: caller(n), Service: testService}
}

// asks makes a caller send a request on its open flow and reports whether an answer came, and whether a reset did.
func (w *world) asks(entry, n int, h *testHost) (answered, reset bool) {
	before := len(w.toCaller)
	w.send(entry, View{Source: caller(n), Acknowledged: h.target.held[flowOf(n)] + 1, Length: 10})
	for _, v := range w.toCaller[before:] {
		answered = answered || v.Length > 0
		reset = reset || v.Reset
	}
	return answered, reset
}

func (w *world) reasons(a Action) []string {
	var all []string
	for _, d := range w.decisions {
		if d.Action == a {
			all = append(all, d.Reason)
		}
	}
	return all
}
