package flow

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const (
	// maxTargetFlows bounds the flows that an agent follows: a target holds 2,000, and the rest have just ended.
	maxTargetFlows = 8192
	// trustWithoutBeat is how long the store's word about a target stands in for the target's own, after a start.
	trustWithoutBeat = 1500 * time.Millisecond
	// probeMark is the mark value of packets given to the target to learn whether it holds a flow.
	probeMark = ^uint32(0)
	// acceptTime is how long after its opening packet a caller's next one comes: several times the way to callers,
	// about 3 ms, and back.
	acceptTime = 50 * time.Millisecond
	// bounceTime is how long a target takes to bounce a packet at most; one that does not bounce it knows the flow.
	bounceTime = 60 * time.Millisecond
	// finishedTimeout is how long a flow is remembered that ended at the target.
	finishedTimeout = 3 * time.Second
)

// Agent decides about the packets of one target. Set the exported fields, then call its steps one at a time.
type Agent struct {
	Self    netip.AddrPort
	Service string
	// Target is where the target takes packets.
	Target netip.AddrPort
	Codec  Codec
	// Served takes the time from each request to its answer, in seconds; it may be nil.
	Served func(seconds float64)

	plan *plan.Plan
	// target is the latest word about the target; heard is when the target itself gave it.
	target  *facts.Target
	heard   time.Time
	started time.Time
	leaving bool
	// digest is that of the service's group as this agent knows it.
	digest uint32
	flows  *simplelru.LRU[gue.Flow, *agentFlow]
	busy   int
	// openings are the flows opened lately, oldest first.
	openings []opening
	// serviceTime averages the time from a request to the first octet of its answer.
	serviceTime time.Duration
}

// agentFlow is what an agent saw of a flow.
type agentFlow struct {
	state agentState
	// accepted is the sequence number of the target's SYN+ACK, if one was seen.
	accepted    uint32
	hasAccepted bool
	busy        bool
	since       time.Time
	last        time.Time
	acked       uint32
	// asker is the entry that wants to know whether the target holds the flow.
	asker netip.Addr
	asked time.Time
	// request is the id of the latest request that was seen.
	request string
	// probe is the caller's last packet without data; given to the target again it tells whether the flow is held.
	probe []byte
}

type agentState uint8

const (
	stateUnknown agentState = iota
	stateOpening
	stateOpen
	stateClosed
)

// UsePlan takes a plan unless it is older than the one in use.
func (a *Agent) UsePlan(p *plan.Plan) {
	if a.plan == nil || p.Version >= a.plan.Version {
		a.plan = p
	}
}

// UseDirectory takes what this agent knows of its service's hosts.
func (a *Agent) UseDirectory(d *Directory) {
	a.digest = 0
	if g := d.Group(a.Service); g != nil {
		a.digest = uint32(g.Digest)
	}
}

// UseTarget takes word of the target; heard says that the target itself gave it.
func (a *Agent) UseTarget(now time.Time, t facts.Target, heard bool, out *Output) {
	a.prepare(now)
	reborn := a.target != nil && !a.target.SameIncarnation(t)
	a.target = &t
	if heard {
		a.heard = now
	}
	if reborn {
		a.probeAll(now, out)
	}
}

// Leave stops taking new flows.
func (a *Agent) Leave() {
	a.leaving = true
}

// Busy is the number of requests that the target works on.
func (a *Agent) Busy() int {
	return a.busy
}

// Flows is the number of flows followed.
func (a *Agent) Flows() int {
	if a.flows == nil {
		return 0
	}
	return a.flows.Len()
}

func (a *Agent) prepare(now time.Time) {
	if a.flows == nil {
		a.started = now
		a.flows, _ = simplelru.NewLRU[gue.Flow, *agentFlow](maxTargetFlows, a.forget)
	}
}

// FromEntry decides about a packet that an entry sent.
func (a *Agent) FromEntry(now time.Time, from netip.AddrPort, packet []byte, out *Output) {
	a.prepare(now)
	v, reason := a.Codec.Parse(packet)
	if reason != gue.ReasonNone {
		out.Dropped = reason
		return
	}
	if v.Accepting || v.Bounced {
		out.Dropped = gue.ReasonTag
		return
	}
	f := v.FromCaller()
	if v.Opening {
		a.open(now, from, f, packet, &v, out)
		return
	}
	a.carry(now, from, f, packet, &v, out)
}

// carry delivers a packet of an open flow. The target is asked about flows that this agent does not know: it bounces
// a packet of a flow that it does not hold.
func (a *Agent) carry(now time.Time, from netip.AddrPort, f gue.Flow, packet []byte, v *View, out *Output) {
	k, known := a.flows.Get(f)
	if known && k.state == stateOpening && k.hasAccepted && v.Acknowledged-k.accepted > 1 {
		a.giveBack(from, packet, out)
		return
	}
	if !known {
		k = &agentFlow{since: now}
		a.flows.Add(f, k)
	}
	if k.state == stateUnknown && !k.asker.IsValid() {
		k.asker, k.asked = from.Addr(), now
	}
	k.last = now
	k.acked = v.Acknowledged
	a.observe(now, f, k, packet, v, out)
	if v.Mark.Code == CodeLocate && known && k.state != stateUnknown {
		k.asker = from.Addr()
		a.tell(f, k, CodeHere, out)
	}
	a.deliver(from.Addr(), packet, out)
}

func (a *Agent) observe(now time.Time, f gue.Flow, k *agentFlow, packet []byte, v *View, out *Output) {
	if k.state == stateOpening && k.hasAccepted {
		k.state = stateOpen
	}
	switch {
	case v.Reset:
		a.setBusy(k, false, now)
		k.state = stateClosed
	case v.Finish:
	case v.Length > 0:
		// Flows that the target was merely asked about, or that ended, are no load.
		if k.state == stateOpening || k.state == stateOpen {
			a.setBusy(k, true, now)
			a.seeRequest(now, f, k, packet, out)
		}
	default:
		k.probe = append(k.probe[:0], packet...)
	}
}

// seeRequest notes the request that begins in a packet, if one does.
func (a *Agent) seeRequest(now time.Time, f gue.Flow, k *agentFlow, packet []byte, out *Output) {
	id := a.Codec.RequestID(packet)
	if id == nil || string(id) == k.request {
		return
	}
	k.request = string(id)
	out.decide(Decision{
		Action: ActionRequest, Flow: f, Request: k.request, PlanVersion: a.planVersion(), Count: a.busy, AgeMs: now.Sub(k.since).Milliseconds(),
	})
}

func (a *Agent) giveBack(to netip.AddrPort, packet []byte, out *Output) {
	a.Codec.SetMark(packet, Mark{Code: CodeNotHere, Value: a.digest})
	out.send(to, packet)
}

// deliver gives a packet to the target; the mark tells where it came from if the target bounces it.
func (a *Agent) deliver(entry netip.Addr, packet []byte, out *Output) {
	b := entry.Unmap().As4()
	a.Codec.SetMark(packet, Mark{Value: binary.BigEndian.Uint32(b[:])})
	out.send(a.Target, packet)
}

func (a *Agent) entry(value uint32) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], value)
	return netip.AddrPortFrom(netip.AddrFrom4(b), a.Self.Port())
}

func (a *Agent) planVersion() uint64 {
	if a.plan == nil {
		return 0
	}
	return a.plan.Version
}

func (a *Agent) setBusy(k *agentFlow, busy bool, now time.Time) {
	if k.busy == busy {
		return
	}
	k.busy = busy
	if busy {
		a.busy++
		k.since = now
		return
	}
	a.busy--
	if k.state == stateOpening {
		return
	}
	a.serviceTime += time.Duration(serviceTimeWeight * float64(now.Sub(k.since)-a.serviceTime))
}

func (a *Agent) forget(_ gue.Flow, k *agentFlow) {
	if k.busy {
		k.busy = false
		a.busy--
	}
}

// callerAddress is where packets for a flow's caller go: its address, at the port that all instances take packets at.
func callerAddress(f gue.Flow, self netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.Caller.Address), self.Port())
}
