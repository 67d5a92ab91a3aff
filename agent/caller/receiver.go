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

// inboundPacket is a validated packet with the datagram that carried it. inner is the datagram without its header.
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

func (t *Terminator) handlePacket(in inboundPacket, now time.Time) {
	hash := in.packet.Flow.Hash(t.Keys.Hash)
	for {
		f, found := t.flows.findOrAdd(in.packet.Flow, hash)
		if found {
			f.mutex.Lock()
		}
		if f.state == stateRemoved {
			f.mutex.Unlock()
			continue
		}
		f.lastSeen = now
		if found {
			t.handleKnownFlow(f, in, now)
		} else {
			t.handleUnknownFlow(f, in, now)
		}
		f.mutex.Unlock()
		return
	}
}

// handleUnknownFlow handles a packet of a flow that was not in the table.
func (t *Terminator) handleUnknownFlow(f *flow, in inboundPacket, now time.Time) {
	switch {
	case in.packet.Flags.Contains(header.TCPFlagRst):
		t.flows.remove(f)
	case in.packet.IsSYN():
		t.placeNewFlow(f, in, now)
	default:
		t.lookUpHolder(f, in, nil, now)
	}
}

// placeNewFlow forwards a new flow to its owner, or accepts it if this agent is the owner or an entry placed the flow
// here. Before accepting, it asks the agents that owned the flow until recently whether they hold it.
func (t *Terminator) placeNewFlow(f *flow, in inboundPacket, now time.Time) {
	route := t.route.Load()
	owner, ok := route.OwnerOf(f.hash)
	placedHere := in.header.Flags&gue.FlagPlaced != 0
	if ok && owner.Packets != t.Self.Packets && !placedHere {
		f.state = stateRemote
		f.peer = owner.Packets
		t.forward(f, in)
		return
	}
	if former := t.formerOwners(f.hash, now); len(former) > 0 {
		t.lookUpHolder(f, in, former, now)
		return
	}
	t.acceptNewFlow(f, in)
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

// acceptNewFlow makes this agent the holder of a flow and passes its SYN to the stack.
func (t *Terminator) acceptNewFlow(f *flow, in inboundPacket) {
	f.state = stateLocal
	f.epoch = f.earlierEpoch + 1
	f.trackSYN(in.packet)
	t.stack.Load().InjectInbound(in.inner[:len(in.packet.IP)])
}

// handleKnownFlow handles a packet of a flow that was already in the table.
func (t *Terminator) handleKnownFlow(f *flow, in inboundPacket, now time.Time) {
	switch f.state {
	case stateLocal:
		t.deliverToStack(f, in, now)
	case stateRemote:
		switch {
		case !in.packet.IsSYN():
			t.forward(f, in)
		case f.epoch == 0:
			t.placeNewFlow(f, in, now)
		default:
			t.checkHolder(f, in, now)
		}
	default:
		if !f.buffer(in.inner[:len(in.packet.IP)]) {
			t.Counters.countDrop(gue.ReasonQueue)
		}
		if f.state == statePending && now.Sub(f.lookupAt) > locateRetryInterval {
			t.repeatLookup(f, now)
		}
	}
}

func (t *Terminator) deliverToStack(f *flow, in inboundPacket, now time.Time) {
	if f.finished() && (in.packet.IsSYN() || !f.isLate(in.packet)) {
		t.recycleFinished(f)
		t.handleUnknownFlow(f, in, now)
		return
	}
	if f.endsBeforeAccept(in.packet) {
		f.closedAt = now
	}
	f.translateFromCaller(in.packet)
	t.stack.Load().InjectInbound(in.inner[:len(in.packet.IP)])
	if f.closing && f.conn != nil {
		f.conn.cancelRequest()
	}
}

// recycleFinished resets a finished flow, so that its table entry can hold a new connection of the same 4-tuple.
func (t *Terminator) recycleFinished(f *flow) {
	if f.conn != nil {
		f.conn.abort()
	}
	f.conn = nil
	f.closedAt = time.Time{}
	f.state = statePending
	f.endEarlierConnection()
}

// forward sends a packet to the peer of its flow. A packet that has reached gue.MaxHops is dropped together with the
// flow's table entry, so that the next packet is handled as one of an unknown flow.
func (t *Terminator) forward(f *flow, in inboundPacket) {
	h := in.header
	if h.Hops >= gue.MaxHops {
		t.Counters.countDrop(gue.ReasonHops)
		t.flows.remove(f)
		return
	}
	h.Hops++
	h.Put(in.datagram, t.Keys.Packet)
	t.sendDatagram(in.datagram[:gue.HeaderLength+len(in.packet.IP)], f.peer)
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
		in := inboundPacket{datagram: b, header: forwardHeader(t.route.Load()), packet: p, inner: b[gue.HeaderLength:]}
		t.handleKnownFlow(f, in, now)
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
