package flow

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/pace"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const (
	// maxTargetFlows bounds the flows that an agent tracks. A target holds 2,000; the rest leaves room for flows that
	// ended recently.
	maxTargetFlows = 8192
	// heartbeatGrace is how long after its start an agent relies on the target's state from the store. After that, it
	// refuses new flows unless it has received a heartbeat from the target.
	heartbeatGrace = 1500 * time.Millisecond
	// probeMark is the mark value of probes, which find out whether a restarted target holds a flow. It can't be the
	// address of an entry.
	probeMark = ^uint32(0)
	// handshakeTimeout is how long a flow counts as load after its SYN without another packet from the caller. It is
	// several times the round-trip time to a caller, whose one-way delay is about 3 ms.
	handshakeTimeout = 50 * time.Millisecond
	// bounceTimeout is the longest time that a target takes to bounce a packet. A target that has not bounced the
	// packet by then holds the flow or held it before.
	bounceTimeout = 60 * time.Millisecond
	// membersTimeout is how long after its start an agent does not report which hosts it knows. It lists the members up to
	// 0.6 s after its start, from data that may be out of date, and exchanges them with an entry every 0.4 s.
	membersTimeout = time.Second
	// closedTimeout is how long a flow is remembered that ended at the target or whose state is unknown.
	closedTimeout = 3 * time.Second
)

// Agent makes the forwarding decisions for one target. Set the exported fields before the first call. Its methods must
// not be called concurrently.
type Agent struct {
	// Self is the address at which the agent receives packets.
	Self    netip.AddrPort
	Service string
	// Target is the address at which the target receives packets.
	Target netip.AddrPort
	Codec  Codec
	// Contention makes the agent decide about waiting flows by the priorities of their routes and by the time that remains of
	// their objective. Without it, only the wait itself counts.
	Contention bool
	// ObserveServiceTime, if not nil, is called with the time from each request to its answer, in seconds. The time of a
	// flow's first request is measured from the flow's SYN.
	ObserveServiceTime func(seconds float64)
	// ColdLimits bounds the new flows that the target gets while it is cold.
	ColdLimits ColdLimits
	// Paced limits the target's concurrent requests after its start or recovery.
	Paced bool
	// Scored makes the agent score the target's answers for Health.
	Scored bool

	plan *plan.Plan
	// target is the latest known state of the target; lastHeartbeat is when the target itself last reported it.
	target        *facts.Target
	lastHeartbeat time.Time
	started       time.Time
	// leaving is set by RefuseNewFlows.
	leaving bool
	// evacuated is set while the host's data centre is evacuated.
	evacuated bool
	// sawAllSYNs is set if the agent has seen every SYN that the target's present incarnation has received, so that the
	// target holds no other flows than the agent tracks.
	sawAllSYNs bool
	liveness   liveness
	cold       coldGate
	pace       pace.Pace[gue.Endpoint]
	// lastTargetPacket is when the target last sent a packet.
	lastTargetPacket time.Time
	// group is the service's group, as known to this agent, or nil. digest and hostsDigest hold the low 32 bits of its
	// digests, and 0 within membersTimeout of the start.
	group       *Group
	digest      uint32
	hostsDigest uint32
	flows       *simplelru.LRU[gue.Flow, *agentFlow]
	// trackedRoutes holds the addresses of all flows that were tracked since none last was.
	trackedRoutes map[gue.Endpoint]bool
	// busyCount is the number of flows that count as load: those with an unfinished handshake or an unanswered request.
	busyCount int
	// responseTime is the exponential moving average of the time from a request to the first byte of its answer.
	responseTime time.Duration
	// handshakes holds the recently opened flows, oldest first.
	handshakes []handshake
	// occupancy tells which busy flows have a slot. serviceTimes holds for how long they have it.
	occupancy    occupancy
	serviceTimes serviceTimes
	// competition holds what the routes of the service want by their priority.
	competition competition
	health      targetHealth
}

// agentFlow is an agent's state for one flow.
type agentFlow struct {
	state agentState
	// synAckSequence is the sequence number of the target's SYN+ACK. It is valid if synAckSeen is set.
	synAckSequence uint32
	synAckSeen     bool
	// busy is set if the flow counts as load. It has done so since busySince, which is the time of the SYN or of the first
	// packet of a later request.
	busy      bool
	busySince time.Time
	// serving is set while the flow has a slot of the target, which it has had since servedSince.
	serving     bool
	servedSince time.Time
	// unscored is since when a request has no answer, or zero if the request is answered or already scored. lastScored is when
	// a request of the flow last was.
	unscored, lastScored time.Time
	// queued is set while the flow is in occupancy.waiting.
	queued bool
	// requested is set once the caller has sent data.
	requested bool
	// nextSequence is the sequence number after the caller's latest data. It is valid if requested is set.
	nextSequence uint32
	lastPacket   time.Time
	// lastAck is the acknowledgement number of the caller's latest packet.
	lastAck uint32
	// callerClosed is set once the caller has sent a FIN, or either end has reset the flow.
	callerClosed bool
	// locatingEntry is the entry that waits for an answer whether the target holds the flow. It is the zero Addr if no
	// entry waits.
	locatingEntry  netip.Addr
	locateReceived time.Time
	// requestID is the ID of the latest request seen on the flow.
	requestID string
	// probePacket is a copy of the caller's latest packet without data. It is sent again to probe whether a restarted
	// target holds the flow.
	probePacket []byte
}

// agentState is the state of a flow at its target, as far as the agent knows.
type agentState uint8

const (
	// stateUnknown is the state of a flow whose SYN the agent has not seen, until the target sends data.
	stateUnknown agentState = iota
	// stateOpening is the state of a flow until the handshake completes.
	stateOpening
	stateOpen
	stateClosed
)

// SetPlan replaces the plan unless the new one is older than the current one.
func (a *Agent) SetPlan(p *plan.Plan) {
	if a.plan == nil || p.Version >= a.plan.Version {
		a.plan = p
		a.cold.setPlan(p, a.Service)
		a.serviceTimes.keep(func(route gue.Endpoint) bool { return p.Find(route) != nil })
		a.competition.setPlan(p, a.Service)
	}
}

// SetDirectory updates the digests that the agent reports with its answers.
func (a *Agent) SetDirectory(now time.Time, d *Directory) {
	a.group = d.Group(a.Service)
	a.updateDigests(now)
}

func (a *Agent) updateDigests(now time.Time) {
	a.digest, a.hostsDigest = 0, 0
	if a.group != nil && now.Sub(a.started) >= membersTimeout {
		a.digest, a.hostsDigest = uint32(a.group.Digest), uint32(a.group.HostsDigest)
	}
}

// UpdateTarget updates the target's state; fromTarget is set if the target itself reported it. If the target has
// restarted, the agent probes all open flows.
func (a *Agent) UpdateTarget(now time.Time, t facts.Target, fromTarget bool, out *Output) {
	a.ensureInitialized(now)
	restarted := a.target != nil && !a.target.SameIncarnation(t)
	if fromTarget && (restarted || a.lastHeartbeat.IsZero()) && !a.liveness.absent {
		a.sawAllSYNs = a.sawStartOf(now, t)
	}
	started := restarted || a.target == nil || fromTarget && a.liveness.absent
	a.target = &t
	if started {
		a.noteTargetStart(now, out)
	}
	if fromTarget {
		a.lastHeartbeat = now
		a.noteTargetPresent()
	}
	if restarted {
		a.probeOpenFlows(now, out)
	}
}

// SetEvacuated tells the agent whether its data centre is evacuated. While it is, the agent refuses all new flows. After
// that, it takes the host as cold until a later announcement says that it is not, because the target may have become cold
// while it got no flows.
func (a *Agent) SetEvacuated(now time.Time, evacuated bool) {
	if a.evacuated && !evacuated {
		a.cold.restart(now)
	}
	a.evacuated = evacuated
}

// RefuseNewFlows makes the agent refuse all new flows from now on.
func (a *Agent) RefuseNewFlows() {
	a.leaving = true
}

// BusyFlowCount returns the number of the target's flows that are being opened or wait for an answer.
func (a *Agent) BusyFlowCount() int {
	return a.busyCount
}

// FlowCount returns the number of tracked flows.
func (a *Agent) FlowCount() int {
	if a.flows == nil {
		return 0
	}
	return a.flows.Len()
}

// Start records when the agent's process started. Without it, the first call of another method counts as the start.
func (a *Agent) Start(now time.Time) {
	a.ensureInitialized(now)
}

func (a *Agent) ensureInitialized(now time.Time) {
	if a.flows == nil {
		a.started = now
		a.cold.restart(now)
		a.flows, _ = simplelru.NewLRU[gue.Flow, *agentFlow](maxTargetFlows, a.onEvict)
	}
}

// HandleEntryPacket handles a packet from an entry.
func (a *Agent) HandleEntryPacket(now time.Time, from netip.AddrPort, packet []byte, out *Output) {
	a.ensureInitialized(now)
	packet, trailer := a.Codec.SplitTrailer(packet)
	hdr, reason := a.Codec.Parse(packet)
	if reason != gue.ReasonNone {
		out.DropReason = reason
		return
	}
	if hdr.SYNACK || hdr.Bounced {
		out.DropReason = gue.ReasonTag
		return
	}
	if hdr.Mark.Code == CodeAsk {
		a.handleQuestion(from, packet, hdr.Mark.Value, out)
		return
	}
	f := hdr.FlowFromCaller()
	if hdr.SYN {
		a.handleSYN(now, from, f, trailer, packet, &hdr, out)
		return
	}
	a.handleEstablished(now, from, f, packet, &hdr, out)
}

// handleEstablished forwards a packet other than a SYN to the target. It does so even if the agent does not know the flow
// but has not seen all SYNs: the target bounces packets of flows that it does not hold.
func (a *Agent) handleEstablished(now time.Time, from netip.AddrPort, f gue.Flow, packet []byte, hdr *Header, out *Output) {
	af, known := a.flows.Get(f)
	if known && af.state == stateOpening && af.synAckSeen && hdr.Acknowledged-af.synAckSequence > 1 {
		// The caller completed the handshake with another host that accepted a transmission of the same SYN.
		a.returnToEntry(from, packet, out)
		return
	}
	if !known && a.sawAllSYNs {
		a.returnToEntry(from, packet, out)
		return
	}
	if !known {
		af = &agentFlow{busySince: now}
		a.track(f, af)
	}
	if af.state == stateUnknown && !af.locatingEntry.IsValid() {
		af.locatingEntry, af.locateReceived = from.Addr(), now
	}
	af.lastPacket = now
	af.lastAck = hdr.Acknowledged
	a.updateFlow(now, f, af, packet, hdr, out)
	if hdr.Mark.Code == CodeLocate && known && af.state != stateUnknown {
		af.locatingEntry = from.Addr()
		a.answerLocate(f, af, CodeHere, out)
	}
	a.sendToTarget(from.Addr(), packet, out)
}

// updateFlow updates a flow's state and load from a caller's packet.
func (a *Agent) updateFlow(now time.Time, f gue.Flow, af *agentFlow, packet []byte, hdr *Header, out *Output) {
	if af.state == stateOpening && af.synAckSeen {
		af.state = stateOpen
	}
	switch {
	case hdr.RST:
		a.scoreAbandoned(now, f, af)
		a.setIdle(af)
		af.state, af.callerClosed = stateClosed, true
	case hdr.FIN:
		a.scoreAbandoned(now, f, af)
		af.callerClosed = true
	case hdr.Length > 0:
		// Flows that have ended, or whose holder is only being located, do not count as load.
		if af.state == stateOpening || af.state == stateOpen {
			if af.takesNewData(hdr) {
				a.setBusy(af, now)
				a.scoreRequest(now, af)
			}
			a.recordRequest(now, f, af, packet, out)
		}
	default:
		af.probePacket = append(af.probePacket[:0], packet...)
	}
}

// takesNewData records the end of the data in a caller's packet. It returns false for a retransmission: a request that was
// answered does not become load again.
func (af *agentFlow) takesNewData(hdr *Header) bool {
	next := hdr.Sequence + uint32(hdr.Length)
	if af.requested && int32(next-af.nextSequence) <= 0 {
		return false
	}
	af.requested, af.nextSequence = true, next
	return true
}

// recordRequest records the ID of the request that begins in a packet, if any.
func (a *Agent) recordRequest(now time.Time, f gue.Flow, af *agentFlow, packet []byte, out *Output) {
	id := a.Codec.RequestID(packet)
	if id == nil || string(id) == af.requestID {
		return
	}
	af.requestID = string(id)
	out.record(Decision{
		Action: ActionRequestForwarded, Flow: f, Request: af.requestID, PlanVersion: a.planVersion(), Count: a.busyCount, AgeMs: now.Sub(af.busySince).Milliseconds(),
	})
}

// returnToEntry returns a packet to the entry because the target does not hold the flow.
func (a *Agent) returnToEntry(to netip.AddrPort, packet []byte, out *Output) {
	a.Codec.SetMark(packet, Mark{Code: CodeNotHere, Value: a.digest})
	out.send(to, packet)
}

// sendToTarget sends a packet to the target. The mark holds the entry's address, to which the packet is returned if
// the target bounces it.
func (a *Agent) sendToTarget(entry netip.Addr, packet []byte, out *Output) {
	b := entry.Unmap().As4()
	a.Codec.SetMark(packet, Mark{Value: binary.BigEndian.Uint32(b[:])})
	out.send(a.Target, packet)
}

// entryAddress returns the address of the entry named by a mark value.
func (a *Agent) entryAddress(value uint32) netip.AddrPort {
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

// setBusy starts counting a flow as load.
func (a *Agent) setBusy(af *agentFlow, now time.Time) {
	if !af.busy {
		af.busy, af.busySince = true, now
		a.busyCount++
		a.occupancy.add(now, af, a.busyCount, a.slots())
	}
}

// setIdle stops counting a flow as load.
func (a *Agent) setIdle(af *agentFlow) {
	if af.busy {
		af.busy = false
		a.busyCount--
		a.occupancy.remove(af)
	}
}

// onEvict releases the load of a flow that is removed from the cache.
func (a *Agent) onEvict(_ gue.Flow, af *agentFlow) {
	a.setIdle(af)
}

// callerAddress returns the address for packets to a flow's caller: the caller's IP address and the port on which all
// instances and callers receive packets.
func callerAddress(f gue.Flow, self netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.Caller.Address), self.Port())
}
