package caller

import (
	"context"
	"net/netip"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/services"
)

const datagramBytes = 2048

// receiver reads the packets that entries and other agents send.
type receiver struct {
	terminator *Terminator
}

func (r *receiver) run(ctx context.Context) {
	b := make([]byte, datagramBytes)
	for {
		n, _, err := r.terminator.Socket.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			events.PacketReadFailed.Log(r.terminator.Logger, events.ErrorAttr(err))
			continue
		}
		r.terminator.receive(b[:n], time.Now())
	}
}

// inboundPacket is a validated packet with the datagram that carried it.
type inboundPacket struct {
	datagram []byte
	header   gue.Header
	packet   gue.Packet
	inner    []byte
}

func (t *Terminator) receive(datagram []byte, now time.Time) {
	t.Counters.Received.Inc()
	h, inner, reason := gue.ParseHeader(datagram, t.Keys.Packet)
	if reason != gue.ReasonNone {
		t.Counters.countDrop(reason)
		return
	}
	p, reason := gue.Parse(inner)
	if reason == gue.ReasonNone {
		reason = t.checkService(h, p)
	}
	if reason != gue.ReasonNone {
		t.Counters.countDrop(reason)
		return
	}
	if h.Hops == 0 {
		t.lastFromEntry.Store(now.UnixNano())
	}
	t.handlePacket(inboundPacket{datagram: datagram, header: h, packet: p, inner: inner}, now)
}

// checkService checks again, after the entry, that a packet is meant for this agent's service.
func (t *Terminator) checkService(h gue.Header, p gue.Packet) gue.Reason {
	r := t.route.Load()
	switch {
	case r == nil || h.Service != r.Service.ID:
		return gue.ReasonService
	case h.Generation != r.Service.Generation:
		return gue.ReasonGeneration
	case p.Flow.Service != gue.EndpointOf(r.Service.Address):
		return gue.ReasonUnknownAddress
	default:
		return gue.ReasonNone
	}
}

func (t *Terminator) handlePacket(a inboundPacket, now time.Time) {
	hash := a.packet.Flow.Hash(t.Keys.Hash)
	for {
		f, found := t.flows.findOrAdd(a.packet.Flow, hash)
		if found {
			f.mutex.Lock()
		}
		if f.state == stateRemoved {
			f.mutex.Unlock()
			continue
		}
		f.lastSeen = now
		if found {
			t.handleKnownFlow(f, a, now)
		} else {
			t.handleUnknownFlow(f, a, now)
		}
		f.mutex.Unlock()
		return
	}
}

// handleUnknownFlow handles a packet of a flow that was not in the table.
func (t *Terminator) handleUnknownFlow(f *flow, a inboundPacket, now time.Time) {
	switch {
	case a.packet.Flags.Contains(header.TCPFlagRst):
		t.flows.remove(f)
	case a.packet.IsOpening():
		t.placeNewFlow(f, a, now)
	default:
		t.lookUpHolder(f, a, nil, now)
	}
}

// placeNewFlow forwards a new flow to its owner, or accepts it if this agent is the owner or an entry placed the flow
// here. Before accepting, it asks the agents that owned the flow until recently whether they hold it.
func (t *Terminator) placeNewFlow(f *flow, a inboundPacket, now time.Time) {
	route := t.route.Load()
	owner, ok := route.OwnerOf(f.hash)
	placedHere := a.header.Flags&gue.FlagPlaced != 0
	if ok && owner.Packets != t.Self.Packets && !placedHere {
		f.state = stateRemote
		f.peer = owner.Packets
		t.forward(f, a)
		return
	}
	if former := t.formerOwners(f.hash, now); len(former) > 0 {
		t.lookUpHolder(f, a, former, now)
		return
	}
	t.acceptNewFlow(f, a)
}

// formerOwners lists the agents that owned the hash until recently and may already have answered the same SYN.
func (t *Terminator) formerOwners(hash uint64, now time.Time) []facts.Member {
	former := t.formerRoutes.Load()
	if former == nil {
		return nil
	}
	current := t.route.Load()
	var owners []facts.Member
	seen := map[netip.AddrPort]bool{t.Self.Packets: true}
	for _, r := range *former {
		if !now.Before(r.until) {
			continue
		}
		o, ok := r.route.OwnerOf(hash)
		if !ok || seen[o.Packets] {
			continue
		}
		seen[o.Packets] = true
		if m, ok := current.MemberByAddress(o.Packets); ok {
			owners = append(owners, m)
		}
	}
	return owners
}

func (t *Terminator) acceptNewFlow(f *flow, a inboundPacket) {
	f.state = stateLocal
	f.epoch = 1
	f.trackSYN(a.packet)
	t.stack.Load().InjectInbound(a.inner[:len(a.packet.IP)])
}

// handleKnownFlow handles a packet of a flow that was already in the table.
func (t *Terminator) handleKnownFlow(f *flow, a inboundPacket, now time.Time) {
	switch f.state {
	case stateLocal:
		t.deliverToStack(f, a, now)
	case stateRemote:
		if a.packet.IsOpening() && f.epoch == 0 {
			t.placeNewFlow(f, a, now)
			return
		}
		t.forward(f, a)
	default:
		if !f.buffer(a.inner[:len(a.packet.IP)]) {
			t.Counters.countDrop(gue.ReasonQueue)
		}
		if f.state == statePending && now.Sub(f.lookupAt) > locateRetryInterval {
			t.repeatLookup(f, now)
		}
	}
}

func (t *Terminator) deliverToStack(f *flow, a inboundPacket, now time.Time) {
	if f.finished() && (a.packet.IsOpening() || !f.isLate(a.packet)) {
		t.recycleFinished(f)
		t.handleUnknownFlow(f, a, now)
		return
	}
	f.translateFromCaller(a.packet)
	t.stack.Load().InjectInbound(a.inner[:len(a.packet.IP)])
	if f.closing && f.conn != nil {
		f.conn.cancelRequest()
	}
}

// recycleFinished clears a finished flow so that its entry can be used for a new connection of the same 4-tuple.
func (t *Terminator) recycleFinished(f *flow) {
	if f.conn != nil {
		f.conn.abort()
	}
	f.conn = nil
	f.closedAt = time.Time{}
	f.state = statePending
	f.epoch = 0
}

// forward sends a packet to the agent that holds its flow.
func (t *Terminator) forward(f *flow, a inboundPacket) {
	h := a.header
	if h.Hops >= gue.MaxHops {
		t.Counters.countDrop(gue.ReasonHops)
		t.flows.remove(f)
		return
	}
	h.Hops++
	h.Put(a.datagram, t.Keys.Packet)
	t.sendDatagram(a.datagram[:gue.HeaderLength+len(a.packet.IP)], f.peer)
	t.Counters.Forwarded.Inc()
}

// forwardBuffered forwards the packets that were buffered while a flow was looked up or moved.
func (t *Terminator) forwardBuffered(f *flow) {
	r := t.route.Load()
	for _, inner := range f.takeBuffered() {
		b := make([]byte, gue.HeaderLength+len(inner))
		copy(b[gue.HeaderLength:], inner)
		forwardHeader(r).Put(b, t.Keys.Packet)
		t.sendDatagram(b, f.peer)
		t.Counters.Forwarded.Inc()
	}
}

func forwardHeader(r *services.Route) gue.Header {
	return gue.Header{Hops: 1, Service: r.Service.ID, Generation: r.Service.Generation, TableVersion: r.Version}
}

// replayBuffered handles the buffered packets as if they had just arrived.
func (t *Terminator) replayBuffered(f *flow, now time.Time) {
	for _, inner := range f.takeBuffered() {
		b := make([]byte, gue.HeaderLength+len(inner))
		copy(b[gue.HeaderLength:], inner)
		p, reason := gue.Parse(b[gue.HeaderLength:])
		if reason != gue.ReasonNone {
			t.Counters.countDrop(reason)
			continue
		}
		a := inboundPacket{datagram: b, header: forwardHeader(t.route.Load()), packet: p, inner: b[gue.HeaderLength:]}
		t.handleKnownFlow(f, a, now)
	}
}

func (t *Terminator) sendDatagram(datagram []byte, to netip.AddrPort) {
	if _, err := t.Socket.WriteToUDPAddrPort(datagram, to); err != nil {
		t.Counters.countDrop(gue.ReasonQueue)
	}
}

// sendToCaller sends a packet to the fabric, which delivers it to the caller.
func (t *Terminator) sendToCaller(packet []byte) {
	t.sendDatagram(packet, t.Fabric)
	t.Counters.Sent.Inc()
}
