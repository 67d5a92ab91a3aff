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
	// maxFlows bounds the flows that an entry remembers. Entries are required to forward hundreds of thousands of
	// flows; the next packet of an evicted flow costs one search.
	maxFlows = 65536
	// maxTriedHosts bounds the hosts that are remembered as tried for one flow.
	maxTriedHosts = 8
	// maxPlacements bounds how many times one transmission of a SYN is sent to a host. Each time takes about a
	// millisecond.
	maxPlacements = 8
	// freeSlotTries is how many times one transmission of a SYN is sent to hosts that must have a free slot, before a host
	// is asked to let the flow wait for one.
	freeSlotTries = 4
	// lastAttempt is the Header.Attempt of the last retransmission of a SYN that callers send.
	lastAttempt = 2
	// openingTimeout is how long a placed flow counts as load without data from its caller. Callers give up
	// connecting after 1.4 s.
	openingTimeout = 1500 * time.Millisecond
	// busyTimeout is how long an unanswered request counts as load.
	busyTimeout = 10 * time.Second
	// closingTimeout is how long a flow is remembered after its caller closed or reset it.
	closingTimeout = 3 * time.Second
	// idleMargin is added to the plan's idle timeout before a flow is removed.
	idleMargin = 2 * time.Second
	// defaultIdleTimeout is used if the plan has no idle timeout.
	defaultIdleTimeout = 60 * time.Second
)

// Entry makes the forwarding decisions of one entry. Set the exported fields before the first call. Its methods must
// not be called concurrently.
type Entry struct {
	// Self is the address at which the entry receives packets.
	Self       netip.AddrPort
	DataCentre string
	Codec      Codec
	Policy     placement.FlowPolicy
	// LinkMbps is the capacity of the entry's network link in Mbit/s. 0 means defaultLinkMbps.
	LinkMbps float64
	// Contention makes the entry refuse flows at once that can't meet their objective, and let later copies of a SYN wait
	// while the objective leaves time.
	Contention bool
	// FlowLifetime is the maximum age of a flow. 0 means defaultFlowLifetime.
	FlowLifetime time.Duration
	// NewestPlan is the highest version of a plan that any instance has reported. The history of an older plan is
	// incomplete. It may be set at any time between calls.
	NewestPlan uint64
	// Ejection makes the entry place no flows on hosts that behave far worse than the others of their service.
	Ejection bool

	plan      *plan.Plan
	directory *Directory
	// services holds the result of allServices, or nil after the plan or the directory changed.
	services []string
	// directoryChanged is when the directory last changed. groupChanges holds the last change of each service's hosts.
	directoryChanged time.Time
	groupChanges     map[string]groupChange
	// listedSince is when the entry first knew a listing of the store, or zero.
	listedSince time.Time
	// searches holds the flows whose holder is being searched for.
	searches map[gue.Flow]*entryFlow
	// questions holds the questions that were not answered yet, by number. budget limits what searches send.
	questions      map[uint32]askedQuestion
	questionNumber uint32
	budget         searchBudget
	// held holds the SYNs that wait for the first host of their service.
	held  map[gue.Flow]heldSYN
	flows *simplelru.LRU[gue.Flow, *entryFlow]
	// hostLoads holds the load of each host, by instance name.
	hostLoads map[string]*hostLoad
	// rooms summarises what hosts reported of their room.
	rooms roomSummaries
	// ejections holds the hosts that get no flows because of their answers.
	ejections ejections
	// chances holds how many flows of each route were turned away.
	chances routeChances
	// The buffers avoid allocations in chooseHost and searchGroupFor. candidateBuffer and loadBuffer hold the same hosts
	// in the same order.
	rankBuffer      []rankedHost
	candidateBuffer []placement.FlowCandidate
	loadBuffer      []*hostLoad
}

// entryFlow is an entry's state for one flow. It may be wrong or out of date, because the packets of a flow may pass
// through any entry and replies do not pass through entries.
type entryFlow struct {
	holder *hostLoad
	// triedHosts are the hosts that the flow's SYNs were sent to.
	triedHosts [maxTriedHosts]*hostLoad
	triedCount int
	// declines counts how many times hosts returned the flow's SYNs, and loadDeclines how many times for their load.
	declines     int
	loadDeclines int
	// coldDeclines, pacedDeclines and refusals count how many times hosts returned the latest SYN as cold, returned it at
	// the limit of their pace, or refused it.
	coldDeclines, pacedDeclines, refusals int
	// attempt is the Header.Attempt of the latest SYN; placements is how many times that SYN was sent to a host.
	attempt    uint32
	placements int
	stage      stage
	// waitingSince is when the SYN was last sent to a host, or when the unanswered request began.
	waitingSince time.Time
	lastPacket   time.Time
	// lastAck is the acknowledgement number of the caller's latest packet.
	lastAck uint32
	// search is nil unless the holder is being searched for.
	search *search
	// possibleHolders are the hosts that may hold the flow while none is known to.
	possibleHolders []*hostLoad
}

// stage is the state of a flow as far as an entry knows.
type stage uint8

const (
	// stageIdle is the stage of a flow without an unanswered request.
	stageIdle stage = iota
	// stageOpening is the stage of a flow whose SYN was sent to a host, until its caller sends data or closes it.
	stageOpening
	// stageBusy is the stage of a flow with an unanswered request.
	stageBusy
	// stageClosing is the stage of a flow that its caller closed or reset.
	stageClosing
)

// Update replaces the plan, with its history, and the directory. A plan that is older than the current one is ignored.
func (e *Entry) Update(now time.Time, p *plan.Plan, d *Directory) {
	if e.flows == nil {
		e.flows, _ = simplelru.NewLRU[gue.Flow, *entryFlow](maxFlows, e.onEvict)
		e.hostLoads = make(map[string]*hostLoad)
		e.searches = make(map[gue.Flow]*entryFlow)
	}
	if p != nil && e.plan.Precedes(p) {
		e.plan, e.services = p, nil
	}
	if d == nil || d == e.directory {
		return
	}
	e.directory, e.services = d, nil
	e.directoryChanged = now
	e.updateGroupChanges(now)
	for _, h := range d.byAddress {
		hl := e.hostLoadOf(h.Instance)
		if hl.host != nil && !hl.host.Target.SameIncarnation(h.Target) {
			*hl = hostLoad{outstanding: hl.outstanding, flows: hl.flows, downSince: hl.downSince, withheld: hl.withheld}
		}
		hl.host = h
		switch {
		case !h.Down:
			hl.downSince = time.Time{}
		case hl.downSince.IsZero():
			hl.downSince = now
		}
	}
	for _, hl := range e.hostLoads {
		if hl.host != nil && d.HostAt(hl.host.Packets.Addr()) != hl.host {
			hl.host = nil
		}
	}
}

// HandlePacket handles a packet received from the given address.
func (e *Entry) HandlePacket(now time.Time, from netip.AddrPort, packet []byte, out *Output) {
	hdr, reason := e.Codec.Parse(packet)
	if reason != gue.ReasonNone {
		out.DropReason = reason
		return
	}
	if e.plan == nil || e.directory == nil {
		if !hdr.SYN || hdr.Mark.Code != CodeNone || !e.hold(now, hdr.FlowFromCaller(), packet) {
			out.DropReason = gue.ReasonNoTarget
		}
		return
	}
	if hdr.Mark.Code != CodeNone {
		e.handleAgentReply(now, from, packet, &hdr, out)
		return
	}
	if hdr.SYNACK || hdr.Bounced {
		out.DropReason = gue.ReasonTag
		return
	}
	f := hdr.FlowFromCaller()
	route := e.plan.Find(f.Service)
	if route == nil {
		out.DropReason = gue.ReasonUnknownAddress
		if hdr.SYN {
			out.record(Decision{Action: ActionDropped, Flow: f, Reason: "noRoute", PlanVersion: e.plan.Version})
		}
		return
	}
	if hdr.SYN {
		e.handleSYN(now, f, route, packet, &hdr, out)
		return
	}
	e.handleEstablished(now, f, route, packet, &hdr, out)
}

// handleEstablished forwards a packet other than a SYN to the flow's holder, or starts a search for the holder.
func (e *Entry) handleEstablished(now time.Time, f gue.Flow, route *plan.Route, packet []byte, hdr *Header, out *Output) {
	ef, known := e.flows.Get(f)
	if !known {
		ef = &entryFlow{waitingSince: now}
		e.flows.Add(f, ef)
	}
	ef.lastPacket = now
	if ef.search != nil {
		ef.search.enqueue(packet, hdr)
		return
	}
	if len(ef.possibleHolders) > 0 {
		e.trackRequest(now, ef, hdr)
		e.sendToPossibleHolders(ef, packet, out)
		return
	}
	if ef.holder == nil || ef.holder.host == nil {
		e.startSearch(now, f, route, ef, packet, hdr, out, nil)
		return
	}
	e.trackRequest(now, ef, hdr)
	e.forward(ef.holder, packet, Mark{}, out)
}

// trackRequest updates a flow's stage and its holder's service time from a caller's packet. Replies do not pass through
// the entry, so a request counts as answered when the caller acknowledges new data.
func (e *Entry) trackRequest(now time.Time, ef *entryFlow, hdr *Header) {
	if ef.stage == stageOpening {
		ef.holder.lastAccepted = now
	}
	switch {
	case hdr.FIN || hdr.RST:
		// A caller that gives up without an answer tells nothing about the service time.
		if ef.stage == stageBusy && hdr.FIN && hdr.Acknowledged != ef.lastAck {
			ef.holder.observeServiceTime(now.Sub(ef.waitingSince))
		}
		e.setStage(ef, ef.holder, stageClosing)
	case hdr.Length > 0:
		if ef.stage != stageBusy {
			ef.waitingSince = now
		}
		e.setStage(ef, ef.holder, stageBusy)
	case ef.stage == stageBusy && hdr.Acknowledged != ef.lastAck:
		ef.holder.observeServiceTime(now.Sub(ef.waitingSince))
		e.setStage(ef, ef.holder, stageIdle)
	}
	ef.lastAck = hdr.Acknowledged
}

// handleAgentReply handles a packet with a mark, which must come from an agent.
func (e *Entry) handleAgentReply(now time.Time, from netip.AddrPort, packet []byte, hdr *Header, out *Output) {
	h := e.directory.HostAt(from.Addr())
	if h == nil {
		out.DropReason = gue.ReasonTag
		return
	}
	hl := e.hostLoadOf(h.Instance)
	hl.silent, hl.askAfter = 0, time.Time{}
	if hdr.Mark.Code == CodeAnswers {
		e.handleAnswers(now, hl, packet, hdr, out)
		return
	}
	f := hdr.FlowFromCaller()
	route := e.plan.Find(f.Service)
	if route == nil {
		out.DropReason = gue.ReasonUnknownAddress
		return
	}
	switch hdr.Mark.Code {
	case CodeHere:
		e.handleHere(now, f, hl, out)
	case CodeMaybe:
		e.handleMaybe(now, f, route, hl, out)
	case CodeNotHere:
		e.handleNotHere(now, f, route, hl, packet, hdr, out)
	case CodeBusy, CodeRefused, CodeFull:
		e.handleDecline(now, f, route, hl, packet, hdr, out)
	default:
		out.DropReason = gue.ReasonTag
	}
}

// forward sends a packet to a host, or drops it if the host has left.
func (e *Entry) forward(hl *hostLoad, packet []byte, m Mark, out *Output) {
	if hl.host == nil {
		out.DropReason = gue.ReasonNoTarget
		return
	}
	e.Codec.SetMark(packet, m)
	out.send(hl.host.Packets, packet)
}

// Sweep removes idle and closed flows, and stops counting flows as load after openingTimeout or busyTimeout. Call it a
// few times a second.
func (e *Entry) Sweep(now time.Time) {
	if e.flows == nil {
		return
	}
	idleTimeout := defaultIdleTimeout
	if e.plan != nil && e.plan.IdleTimeout > 0 {
		idleTimeout = e.plan.IdleTimeout + idleMargin
	}
	for {
		f, ef, ok := e.flows.GetOldest()
		if !ok || now.Sub(ef.lastPacket) < idleTimeout {
			break
		}
		e.flows.Remove(f)
	}
	e.removeUnusedLoads()
	for _, f := range e.flows.Keys() {
		ef, _ := e.flows.Peek(f)
		switch {
		case ef.stage == stageOpening && now.Sub(ef.waitingSince) > openingTimeout,
			ef.stage == stageBusy && now.Sub(ef.waitingSince) > busyTimeout:
			e.setStage(ef, ef.holder, stageIdle)
		case ef.stage == stageClosing && now.Sub(ef.lastPacket) > closingTimeout:
			e.flows.Remove(f)
		}
	}
}

// removeUnusedLoads removes the loads of hosts that have left and hold no flows.
func (e *Entry) removeUnusedLoads() {
	for instance, hl := range e.hostLoads {
		if hl.host == nil && hl.flows == 0 {
			delete(e.hostLoads, instance)
		}
	}
}

// FlowCount returns the number of remembered flows.
func (e *Entry) FlowCount() int {
	if e.flows == nil {
		return 0
	}
	return e.flows.Len()
}

// onEvict releases the load and the search of a flow that is removed from the cache.
func (e *Entry) onEvict(f gue.Flow, ef *entryFlow) {
	e.setStage(ef, nil, stageIdle)
	e.endSearch(f, ef)
}

// hostLoadOf returns the load of an instance, which it creates if needed.
func (e *Entry) hostLoadOf(instance string) *hostLoad {
	hl := e.hostLoads[instance]
	if hl == nil {
		hl = &hostLoad{}
		e.hostLoads[instance] = hl
	}
	return hl
}

// setStage sets a flow's holder and stage, and updates the load of the old and the new holder.
func (e *Entry) setStage(ef *entryFlow, holder *hostLoad, s stage) {
	ef.addLoad(-1)
	ef.holder, ef.stage = holder, s
	ef.addLoad(1)
}

// addLoad adds the flow to its holder's load if n is 1, or removes it if n is -1.
func (ef *entryFlow) addLoad(n int) {
	if ef.holder == nil || ef.stage == stageClosing {
		return
	}
	ef.holder.flows += n
	if ef.stage == stageOpening || ef.stage == stageBusy {
		ef.holder.outstanding += n
	}
}
