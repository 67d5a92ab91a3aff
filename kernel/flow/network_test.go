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

// testNetwork runs entries, agents and targets in one goroutine. Packets arrive in order and without delay.
type testNetwork struct {
	t       *testing.T
	now     time.Time
	plan    *plan.Plan
	entries []*Entry
	hosts   []*testHost
	queue   []packetInTransit
	// toCaller holds the packets that callers received, newest last.
	toCaller []Header
	// dropPacket, if not nil, reports whether a packet is lost on its way.
	dropPacket func(to netip.AddrPort, hdr Header) bool
	decisions  []Decision
	// sentBytes counts the bytes that each instance has sent.
	sentBytes map[netip.AddrPort]int
}

type packetInTransit struct {
	from, to netip.AddrPort
	packet   []byte
}

// testHost is an agent with its target.
type testHost struct {
	agent  *Agent
	member facts.Member
	target *testTarget
}

// testTarget accepts new flows unless it is full, and bounces packets of flows that it does not hold.
type testTarget struct {
	initialSequence map[gue.Flow]uint32
	established     map[gue.Flow]bool
	full            bool
	// received holds the packets that reached the target.
	received []Header
	// resetsUnknown makes the target answer data of unknown flows with a reset.
	resetsUnknown bool
	nextSequence  uint32
}

func newTestNetwork(t *testing.T, entries, hosts int) *testNetwork {
	tn := &testNetwork{t: t, now: time.Unix(1000, 0), plan: &plan.Plan{Version: 1, Routes: []plan.Route{
		{Name: "r", Address: testService, Shares: []plan.Share{{Service: "s", Weight: 1}}},
	}}}
	tn.plan.Index()
	for i := range hosts {
		a := address(20 + i)
		h := &testHost{
			member: facts.Member{
				Instance: fmt.Sprintf("agent-%d", i), Role: facts.RoleAgent, Service: "s", Packets: a, State: facts.StateServing,
				Target: &facts.Target{ID: fmt.Sprintf("t-%d", i), StartedMs: 1, State: facts.TargetReady, Slots: 4},
			},
		}
		h.startTarget()
		tn.hosts = append(tn.hosts, h)
		tn.startAgent(h)
	}
	for i := range entries {
		tn.entries = append(tn.entries, nil)
		tn.startEntry(i)
	}
	tn.updateAgents()
	tn.advance(groupSettleTime + time.Second)
	return tn
}

func address(last int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(last)}), testPort)
}

func targetAddress(h *testHost) netip.AddrPort {
	return netip.AddrPortFrom(h.member.Packets.Addr(), testPort+1)
}

func (h *testHost) startTarget() {
	h.target = &testTarget{initialSequence: map[gue.Flow]uint32{}, established: map[gue.Flow]bool{}, nextSequence: 1000 * uint32(h.member.Packets.Addr().As4()[3])}
}

func (tn *testNetwork) startAgent(h *testHost) {
	h.agent = &Agent{Self: h.member.Packets, Service: h.member.Service, Target: targetAddress(h), Codec: testCodec{}}
	h.agent.SetPlan(tn.plan)
	var out Output
	h.agent.UpdateTarget(tn.now, *h.member.Target, true, &out)
}

func (tn *testNetwork) startEntry(i int) {
	tn.entries[i] = &Entry{Self: address(1 + i), Codec: testCodec{}, Policy: placement.LeastWait{}}
	tn.updateEntry(i)
}

// updateEntry gives an entry the current members and plan.
func (tn *testNetwork) updateEntry(i int) {
	tn.updateListedEntry(i, false)
}

// updateListedEntry gives an entry the current members, which it has listed in the store if listed is set, and plan.
func (tn *testNetwork) updateListedEntry(i int, listed bool) {
	var members []facts.Member
	for _, h := range tn.hosts {
		members = append(members, h.member)
	}
	d := NewDirectory(members)
	d.Listed = listed
	tn.entries[i].Update(tn.now, tn.plan, d)
}

// updateAgents gives all agents the directory of the first entry.
func (tn *testNetwork) updateAgents() {
	for _, h := range tn.hosts {
		h.agent.SetDirectory(tn.now, tn.entries[0].directory)
	}
}

// advance moves the clock and runs the periodic work of all entries and agents.
func (tn *testNetwork) advance(d time.Duration) {
	tn.now = tn.now.Add(d)
	for _, e := range tn.entries {
		e.Sweep(tn.now)
		var out Output
		e.ContinueSearches(tn.now, false, &out)
		tn.queueOutput(e.Self, &out)
	}
	tn.deliverAll()
	for _, h := range tn.hosts {
		var out Output
		h.agent.Sweep(tn.now, &out)
		tn.queueOutput(h.member.Packets, &out)
	}
	tn.deliverAll()
}

func caller(n int) gue.Endpoint {
	return gue.Endpoint{Address: [4]byte{100, 64, byte(n >> 8), byte(n)}, Port: uint16(1024 + n)}
}

// send gives an entry a caller's packet and delivers all packets that follow from it.
func (tn *testNetwork) send(entry int, hdr Header) {
	hdr.Destination = testService
	from := netip.AddrPortFrom(netip.AddrFrom4(hdr.Source.Address), testPort)
	tn.queue = append(tn.queue, packetInTransit{from: from, to: tn.entries[entry].Self, packet: encode(hdr)})
	tn.deliverAll()
}

// deliverAll delivers queued packets until none is left.
func (tn *testNetwork) deliverAll() {
	for steps := 0; len(tn.queue) > 0; steps++ {
		require.Less(tn.t, steps, 10000, "forwarding loop")
		next := tn.queue[0]
		tn.queue = tn.queue[1:]
		if tn.dropPacket == nil || !tn.dropPacket(next.to, decode(next.packet)) {
			tn.deliver(next)
		}
	}
}

func (tn *testNetwork) deliver(p packetInTransit) {
	var out Output
	for _, e := range tn.entries {
		if e.Self == p.to {
			e.HandlePacket(tn.now, p.from, p.packet, &out)
			require.NotEqual(tn.t, gue.ReasonTotalLength, out.DropReason, "instances must send well-formed packets")
			tn.queueOutput(e.Self, &out)
			return
		}
	}
	for _, h := range tn.hosts {
		switch p.to {
		case h.member.Packets:
			h.agent.HandleEntryPacket(tn.now, p.from, p.packet, &out)
			tn.queueOutput(h.member.Packets, &out)
			return
		case targetAddress(h):
			for _, answer := range h.target.handlePacket(p.packet) {
				out.Clear()
				h.agent.HandleTargetPacket(tn.now, answer, &out)
				tn.queueOutput(h.member.Packets, &out)
			}
			return
		}
	}
	tn.toCaller = append(tn.toCaller, decode(p.packet))
}

func (tn *testNetwork) queueOutput(from netip.AddrPort, out *Output) {
	if tn.sentBytes == nil {
		tn.sentBytes = map[netip.AddrPort]int{}
	}
	for _, s := range out.Packets {
		tn.sentBytes[from] += len(s.Packet)
		tn.queue = append(tn.queue, packetInTransit{from: from, to: s.To, packet: slices.Clone(s.Packet)})
	}
	tn.decisions = append(tn.decisions, out.Decisions...)
}

// handlePacket returns the target's replies to a packet.
func (t *testTarget) handlePacket(packet []byte) [][]byte {
	hdr := decode(packet)
	t.received = append(t.received, hdr)
	f := hdr.FlowFromCaller()
	_, held := t.initialSequence[f]
	reply := Header{Source: hdr.Destination, Destination: hdr.Source}
	switch {
	case hdr.SYN && t.full && !held, !hdr.SYN && !held && !t.resetsUnknown:
		bounced := slices.Clone(packet)
		bounced[12] |= 16
		bounced[25] = 0
		return [][]byte{bounced}
	case hdr.SYN:
		if !held {
			t.nextSequence++
			t.initialSequence[f] = t.nextSequence
		}
		reply.SYNACK, reply.Sequence = true, t.initialSequence[f]
	case !held:
		reply.RST = true
	case !t.established[f] && hdr.Acknowledged != t.initialSequence[f]+1:
		return nil
	default:
		t.established[f] = true
		if hdr.Length == 0 {
			return nil
		}
		reply.Length, reply.Sequence = 1, t.initialSequence[f]+1
	}
	return [][]byte{encode(reply)}
}

// openFlow makes a caller open a flow and returns the host that accepted it first.
func (tn *testNetwork) openFlow(entry, n int) *testHost {
	before := len(tn.toCaller)
	tn.send(entry, Header{Source: caller(n), SYN: true})
	require.Greater(tn.t, len(tn.toCaller), before, "the caller got no answer")
	synAck := tn.toCaller[before]
	require.True(tn.t, synAck.SYNACK)
	tn.send(entry, Header{Source: caller(n), Acknowledged: synAck.Sequence + 1})
	for _, h := range tn.hosts {
		if h.target.established[flowOf(n)] {
			return h
		}
	}
	tn.t.Fatal("no target holds the flow")
	return nil
}

func flowOf(n int) gue.Flow {
	return gue.Flow{Caller: caller(n), Service: testService}
}

// sendRequest makes a caller send a request on its open flow. It reports whether the caller received an answer and
// whether it received a reset.
func (tn *testNetwork) sendRequest(entry, n int, h *testHost) (answered, reset bool) {
	before := len(tn.toCaller)
	tn.send(entry, Header{Source: caller(n), Acknowledged: h.target.initialSequence[flowOf(n)] + 1, Length: 10})
	for _, hdr := range tn.toCaller[before:] {
		answered = answered || hdr.Length > 0
		reset = reset || hdr.RST
	}
	return answered, reset
}

// decisionReasons returns the reasons of all decisions with the given action.
func (tn *testNetwork) decisionReasons(a Action) []string {
	var reasons []string
	for _, d := range tn.decisions {
		if d.Action == a {
			reasons = append(reasons, d.Reason)
		}
	}
	return reasons
}

// placeInDataCentres puts each host into a data centre by its index, and all entries into "a".
func (tn *testNetwork) placeInDataCentres(dc func(i int) string) {
	for i, h := range tn.hosts {
		h.member.DataCentre = dc(i)
	}
	for i, e := range tn.entries {
		e.DataCentre = "a"
		tn.updateEntry(i)
	}
}
