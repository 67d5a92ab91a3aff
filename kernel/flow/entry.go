package flow

import (
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const (
	// maxFlows bounds the flows that an entry remembers; the brief's entries hold hundreds of thousands, and a
	// forgotten flow costs one search.
	maxFlows = 65536
	// maxTried is how many hosts are remembered that an opening packet or a copy of it went to.
	maxTried = 8
	// maxPlacements is how often one copy of an opening packet is sent to hosts: each takes about a millisecond.
	maxPlacements = 8
	// freeTries is how many hosts are asked for a free slot before one is asked to let the flow wait for a slot.
	freeTries = 4
	// lastCopy is the count of the last copy that a caller sends of an opening packet.
	lastCopy = 2
	// openingTimeout is how long a placed flow counts as load without a packet from its caller: callers give an
	// attempt up after 1.4 s.
	openingTimeout = 1500 * time.Millisecond
	// busyTimeout is how long an unanswered request counts as load.
	busyTimeout = 10 * time.Second
	// closingTimeout is how long a flow is remembered after its caller finished or reset it.
	closingTimeout = 3 * time.Second
	// idleMargin is added to the plan's idle timeout before a flow is forgotten.
	idleMargin = 2 * time.Second
	// defaultIdleTimeout stands in for a plan that names none.
	defaultIdleTimeout = 60 * time.Second
)

// Entry decides about the packets of one entry. Set the exported fields, then call Step from one goroutine.
type Entry struct {
	Self       netip.AddrPort
	DataCentre string
	Codec      Codec
	Policy     placement.FlowPolicy

	plan      *plan.Plan
	directory *Directory
	// changed is when the directory last changed, and settled since when groups are as they are, by digest.
	changed time.Time
	settled map[uint64]time.Time
	// searches are the flows whose holder is asked for.
	searches map[gue.Flow]*entryFlow
	flows    *simplelru.LRU[gue.Flow, *entryFlow]
	loads    map[string]*hostLoad
	order    []ranked
	options  []placement.FlowCandidate
	choices  []*hostLoad
}

// entryFlow is what an entry remembers of a flow: a hint, never the truth.
type entryFlow struct {
	holder *hostLoad
	// tried are the hosts that opening packets went to.
	tried [maxTried]*hostLoad
	tries int
	// given is how often hosts gave the opening packet back.
	given int
	// copy is the caller's count of the latest opening packet, and placements how often that one went to hosts.
	copy       uint32
	placements int
	stage      stage
	since      time.Time
	last       time.Time
	acked      uint32
	search     *search
	// weak are the hosts that may hold the flow, when none is known to.
	weak []*hostLoad
}

type stage uint8

const (
	stageIdle stage = iota
	stageOpening
	stageBusy
	stageClosing
)

// Use takes a new plan and directory. A plan older than the one in use is ignored.
func (e *Entry) Use(now time.Time, p *plan.Plan, d *Directory) {
	if e.flows == nil {
		e.flows, _ = simplelru.NewLRU[gue.Flow, *entryFlow](maxFlows, e.forget)
		e.loads = make(map[string]*hostLoad)
		e.searches = make(map[gue.Flow]*entryFlow)
	}
	if p != nil && (e.plan == nil || p.Version >= e.plan.Version) {
		e.plan = p
	}
	if d == nil || d == e.directory {
		return
	}
	e.directory = d
	e.changed = now
	e.settleGroups(now)
	for _, h := range d.byAddress {
		l := e.load(h.Instance)
		if l.host != nil && !l.host.Target.SameIncarnation(h.Target) {
			*l = hostLoad{outstanding: l.outstanding, flows: l.flows, downSince: l.downSince}
		}
		l.host = h
		switch {
		case !h.Down:
			l.downSince = time.Time{}
		case l.downSince.IsZero():
			l.downSince = now
		}
	}
	for _, l := range e.loads {
		if l.host != nil && d.At(l.host.Packets.Addr()) != l.host {
			l.host = nil
		}
	}
}

// settleGroups notes since when each service's group is as it is.
func (e *Entry) settleGroups(now time.Time) {
	before := e.settled
	e.settled = make(map[uint64]time.Time, len(e.directory.byService))
	for _, g := range e.directory.byService {
		// Searches mix the digests of a route's groups; most routes have one.
		key := mix(g.Digest)
		at, known := before[key]
		if !known {
			at = now
		}
		e.settled[key] = at
	}
}

// Step decides about one packet that came from an address.
func (e *Entry) Step(now time.Time, from netip.AddrPort, packet []byte, out *Output) {
	v, reason := e.Codec.Parse(packet)
	if reason != gue.ReasonNone {
		out.Dropped = reason
		return
	}
	if e.plan == nil || e.directory == nil {
		out.Dropped = gue.ReasonNoTarget
		return
	}
	if v.Mark.Code != CodeNone {
		e.answer(now, from, packet, &v, out)
		return
	}
	if v.Accepting || v.Bounced {
		out.Dropped = gue.ReasonTag
		return
	}
	f := v.FromCaller()
	route := e.plan.Find(f.Service)
	if route == nil {
		out.Dropped = gue.ReasonUnknownAddress
		if v.Opening {
			out.decide(Decision{Action: ActionDropped, Flow: f, Reason: "noRoute", PlanVersion: e.plan.Version})
		}
		return
	}
	if v.Opening {
		e.open(now, f, route, packet, &v, out)
		return
	}
	e.carry(now, f, route, packet, &v, out)
}

// carry forwards a packet of an open flow to its holder, or searches for it.
func (e *Entry) carry(now time.Time, f gue.Flow, route *plan.Route, packet []byte, v *View, out *Output) {
	k, known := e.flows.Get(f)
	if !known {
		k = &entryFlow{since: now}
		e.flows.Add(f, k)
	}
	k.last = now
	if k.search != nil {
		k.search.hold(packet, v)
		return
	}
	if len(k.weak) > 0 {
		e.observe(now, k, v)
		e.spread(k, packet, out)
		return
	}
	if k.holder == nil || k.holder.host == nil {
		e.beginSearch(now, f, route, k, packet, v, out, nil)
		return
	}
	e.observe(now, k, v)
	e.forward(k.holder, packet, Mark{}, out)
}

// observe follows the requests of a flow from what its caller sends.
func (e *Entry) observe(now time.Time, k *entryFlow, v *View) {
	if k.stage == stageOpening {
		k.holder.accepted = now
	}
	switch {
	case v.Finish || v.Reset:
		if k.stage == stageBusy || k.stage == stageOpening {
			k.holder.served(now.Sub(k.since))
		}
		e.setStage(k, k.holder, stageClosing)
	case v.Length > 0:
		if k.stage != stageBusy {
			k.since = now
		}
		e.setStage(k, k.holder, stageBusy)
	case k.stage == stageBusy && v.Acknowledged != k.acked:
		k.holder.served(now.Sub(k.since))
		e.setStage(k, k.holder, stageIdle)
	}
	k.acked = v.Acknowledged
}

// answer takes what an agent says about a packet.
func (e *Entry) answer(now time.Time, from netip.AddrPort, packet []byte, v *View, out *Output) {
	h := e.directory.At(from.Addr())
	if h == nil {
		out.Dropped = gue.ReasonTag
		return
	}
	f := v.FromCaller()
	l := e.load(h.Instance)
	route := e.plan.Find(f.Service)
	if route == nil {
		out.Dropped = gue.ReasonUnknownAddress
		return
	}
	switch v.Mark.Code {
	case CodeHere:
		e.found(now, f, l, out)
	case CodeMaybe:
		e.perhaps(now, f, route, l, out)
	case CodeNotHere:
		e.notHere(now, f, route, l, packet, v, out)
	case CodeBusy, CodeRefused, CodeFull:
		e.declined(now, f, route, l, packet, v, out)
	default:
		out.Dropped = gue.ReasonTag
	}
}

func (e *Entry) forward(l *hostLoad, packet []byte, m Mark, out *Output) {
	if l.host == nil {
		out.Dropped = gue.ReasonNoTarget
		return
	}
	e.Codec.SetMark(packet, m)
	out.send(l.host.Packets, packet)
}

// Sweep forgets idle flows and load that was never answered. Call it a few times a second.
func (e *Entry) Sweep(now time.Time) {
	if e.flows == nil {
		return
	}
	idle := defaultIdleTimeout
	if e.plan != nil && e.plan.IdleTimeout > 0 {
		idle = e.plan.IdleTimeout + idleMargin
	}
	for {
		f, k, ok := e.flows.GetOldest()
		if !ok || now.Sub(k.last) < idle {
			break
		}
		e.flows.Remove(f)
	}
	e.forgetLoads()
	for _, f := range e.flows.Keys() {
		k, _ := e.flows.Peek(f)
		switch {
		case k.stage == stageOpening && now.Sub(k.since) > openingTimeout,
			k.stage == stageBusy && now.Sub(k.since) > busyTimeout:
			e.setStage(k, k.holder, stageIdle)
		case k.stage == stageClosing && now.Sub(k.last) > closingTimeout:
			e.flows.Remove(f)
		}
	}
}

// forgetLoads forgets the load of hosts that left.
func (e *Entry) forgetLoads() {
	for instance, l := range e.loads {
		if l.host == nil && l.flows == 0 {
			delete(e.loads, instance)
		}
	}
}

// Flows is the number of flows remembered.
func (e *Entry) Flows() int {
	if e.flows == nil {
		return 0
	}
	return e.flows.Len()
}

func (e *Entry) forget(f gue.Flow, k *entryFlow) {
	e.setStage(k, nil, stageIdle)
	e.endSearch(f, k)
}

func (e *Entry) load(instance string) *hostLoad {
	l := e.loads[instance]
	if l == nil {
		l = &hostLoad{}
		e.loads[instance] = l
	}
	return l
}

// setStage moves a flow to a holder and stage and keeps the holders' load in step.
func (e *Entry) setStage(k *entryFlow, holder *hostLoad, s stage) {
	k.count(-1)
	k.holder, k.stage = holder, s
	k.count(1)
}

// count adds the flow to its holder's load, or takes it off.
func (k *entryFlow) count(n int) {
	if k.holder == nil || k.stage == stageClosing {
		return
	}
	k.holder.flows += n
	if k.stage == stageOpening || k.stage == stageBusy {
		k.holder.outstanding += n
	}
}
