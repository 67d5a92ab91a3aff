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
	// maxTried is how many hosts an opening packet and its copies may go to.
	maxTried = 4
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
	settled   time.Time
	flows     *simplelru.LRU[gue.Flow, *entryFlow]
	loads     map[string]*hostLoad
	order     []ranked
	options   []placement.FlowOption
	choices   []*hostLoad
}

// entryFlow is what an entry remembers of a flow: a hint, never the truth.
type entryFlow struct {
	holder *hostLoad
	// tried are the hosts that opening packets went to.
	tried  [maxTried]*hostLoad
	tries  int
	stage  stage
	since  time.Time
	last   time.Time
	acked  uint32
	search *search
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
	}
	if p != nil && (e.plan == nil || p.Version >= e.plan.Version) {
		e.plan = p
	}
	if d == nil || d == e.directory {
		return
	}
	e.directory = d
	e.settled = now
	for _, h := range d.byAddress {
		l := e.load(h.Instance)
		if l.host != nil && !l.host.Target.SameIncarnation(h.Target) {
			*l = hostLoad{outstanding: l.outstanding}
		}
		l.host = h
	}
	for _, l := range e.loads {
		if l.host != nil && d.At(l.host.Packets.Addr()) != l.host {
			l.host = nil
		}
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

// open places a flow, or repeats its placement for a copy of its opening packet.
func (e *Entry) open(now time.Time, f gue.Flow, route *plan.Route, packet []byte, v *View, out *Output) {
	k, known := e.flows.Get(f)
	if known && (k.stage == stageIdle || k.stage == stageBusy) && k.holder != nil {
		e.forward(k.holder, packet, Mark{Value: uint32(e.plan.Version)}, out)
		return
	}
	if !known || k.stage != stageOpening {
		k = &entryFlow{stage: stageIdle, since: now}
		e.flows.Add(f, k)
	}
	k.last = now
	e.place(now, f, route, k, packet, out)
}

// place sends an opening packet to the best host that it has not been at yet.
func (e *Entry) place(now time.Time, f gue.Flow, route *plan.Route, k *entryFlow, packet []byte, out *Output) {
	service := route.ServiceOf(f)
	l := e.choose(now, f, service, k)
	if l == nil {
		e.leaveUnplaced(now, f, k, out)
		return
	}
	action := ActionPlaced
	if k.tries > 0 {
		action = ActionPlacedAgain
	}
	e.setStage(k, nil, stageIdle)
	if k.tries < maxTried {
		k.tried[k.tries] = l
	}
	k.tries++
	k.since = now
	e.setStage(k, l, stageOpening)
	mark := Mark{Value: uint32(e.plan.Version)}
	if k.tries >= maxTried || k.tries > len(e.options) {
		mark.Code = CodeForce
	}
	e.forward(l, packet, mark, out)
	out.decide(Decision{
		Action: action, Flow: f, Instance: l.host.Instance, Reason: service, PlanVersion: e.plan.Version,
		Count: l.outstanding, AgeMs: l.serviceTime.Milliseconds(),
	})
}

func (e *Entry) leaveUnplaced(now time.Time, f gue.Flow, k *entryFlow, out *Output) {
	out.Dropped = gue.ReasonNoTarget
	out.decide(Decision{
		Action: ActionUnplaced, Flow: f, PlanVersion: e.plan.Version, Count: k.tries, AgeMs: now.Sub(k.since).Milliseconds(),
	})
}

// carry forwards a packet of an open flow to its holder, or searches for it.
func (e *Entry) carry(now time.Time, f gue.Flow, route *plan.Route, packet []byte, v *View, out *Output) {
	k, known := e.flows.Get(f)
	if !known {
		k = &entryFlow{since: now}
		e.flows.Add(f, k)
	}
	k.last = now
	if k.search != nil && now.Sub(k.search.started) < searchTimeout {
		k.search.hold(packet, v)
		return
	}
	if k.holder == nil || k.holder.host == nil {
		e.beginSearch(now, f, route, k, packet, v, out)
		return
	}
	e.observe(now, k, v)
	e.forward(k.holder, packet, Mark{}, out)
}

// observe follows the requests of a flow from what its caller sends.
func (e *Entry) observe(now time.Time, k *entryFlow, v *View) {
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
	case CodeNotHere:
		e.notHere(now, f, route, l, packet, v, out)
	case CodeBusy, CodeRefused, CodeFull:
		e.declined(now, f, route, l, packet, v, out)
	default:
		out.Dropped = gue.ReasonTag
	}
}

// declined places an opening packet again that a host gave back.
func (e *Entry) declined(now time.Time, f gue.Flow, route *plan.Route, l *hostLoad, packet []byte, v *View, out *Output) {
	l.declined(now, v.Mark.Code)
	k, known := e.flows.Get(f)
	if !known || k.stage != stageOpening || k.holder != l {
		return
	}
	if k.tries >= 2*maxTried {
		e.setStage(k, nil, stageIdle)
		e.leaveUnplaced(now, f, k, out)
		return
	}
	e.place(now, f, route, k, packet, out)
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

// Flows is the number of flows remembered.
func (e *Entry) Flows() int {
	if e.flows == nil {
		return 0
	}
	return e.flows.Len()
}

func (e *Entry) forget(_ gue.Flow, k *entryFlow) {
	e.setStage(k, nil, stageIdle)
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
	if k.holder != nil && (k.stage == stageOpening || k.stage == stageBusy) {
		k.holder.outstanding--
	}
	k.holder, k.stage = holder, s
	if k.holder != nil && (k.stage == stageOpening || k.stage == stageBusy) {
		k.holder.outstanding++
	}
}
