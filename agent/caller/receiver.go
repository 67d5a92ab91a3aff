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

// receiver reads what entries and other agents send.
type receiver struct {
	owner *Terminator
}

func (r *receiver) run(ctx context.Context) {
	b := make([]byte, datagramBytes)
	for {
		n, _, err := r.owner.Socket.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			events.PacketReadFailed.Log(r.owner.Logger, events.Failure(err))
			continue
		}
		r.owner.receive(b[:n], time.Now())
	}
}

// arrival is one checked packet with the datagram that carried it.
type arrival struct {
	datagram []byte
	header   gue.Header
	packet   gue.Packet
	inner    []byte
}

func (t *Terminator) receive(datagram []byte, now time.Time) {
	t.Counters.Received.Inc()
	h, inner, reason := gue.ParseHeader(datagram, t.Keys.Packet)
	if reason != gue.ReasonNone {
		t.Counters.drop(reason)
		return
	}
	p, reason := gue.Parse(inner)
	if reason == gue.ReasonNone {
		reason = t.admit(h, p)
	}
	if reason != gue.ReasonNone {
		t.Counters.drop(reason)
		return
	}
	if h.Hops == 0 {
		t.lastDirect.Store(now.UnixNano())
	}
	t.deliver(arrival{datagram: datagram, header: h, packet: p, inner: inner}, now)
}

// admit is the second check that a packet is meant for this agent's service.
func (t *Terminator) admit(h gue.Header, p gue.Packet) gue.Reason {
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

func (t *Terminator) deliver(a arrival, now time.Time) {
	hash := a.packet.Flow.Hash(t.Keys.Hash)
	for {
		f, found := t.flows.findOrAdd(a.packet.Flow, hash)
		if found {
			f.mutex.Lock()
		}
		if f.state == stateGone {
			f.mutex.Unlock()
			continue
		}
		f.lastSeen = now
		if found {
			t.next(f, a, now)
		} else {
			t.first(f, a, now)
		}
		f.mutex.Unlock()
		return
	}
}

// first handles a packet of a flow that this agent knows nothing of.
func (t *Terminator) first(f *flow, a arrival, now time.Time) {
	switch {
	case a.packet.Flags.Contains(header.TCPFlagRst):
		t.flows.remove(f)
	case a.packet.IsOpening():
		t.place(f, a, now)
	default:
		t.ask(f, a, nil, now)
	}
}

// place decides which agent a new flow goes to.
func (t *Terminator) place(f *flow, a arrival, now time.Time) {
	route := t.route.Load()
	owner, ok := route.OwnerOf(f.hash)
	placedHere := a.header.Flags&gue.FlagPlaced != 0
	if ok && owner.Packets != t.Self.Packets && !placedHere {
		f.state = stateForeign
		f.peer = owner.Packets
		t.forward(f, a)
		return
	}
	if former := t.formerOwners(f.hash, now); len(former) > 0 {
		t.ask(f, a, former, now)
		return
	}
	t.acceptNew(f, a)
}

// formerOwners lists the agents that owned the hash lately and may have answered the same SYN.
func (t *Terminator) formerOwners(hash uint64, now time.Time) []facts.Member {
	former := t.former.Load()
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
		if m, ok := current.Member(o.Packets); ok {
			owners = append(owners, m)
		}
	}
	return owners
}

func (t *Terminator) acceptNew(f *flow, a arrival) {
	f.state = stateLocal
	f.epoch = 1
	f.begin(a.packet)
	t.stack.Load().InjectInbound(a.inner[:len(a.packet.IP)])
}

// next handles a packet of a flow that this agent has an entry for.
func (t *Terminator) next(f *flow, a arrival, now time.Time) {
	switch f.state {
	case stateLocal:
		t.toStack(f, a, now)
	case stateForeign:
		if a.packet.IsOpening() && f.epoch == 0 {
			t.place(f, a, now)
			return
		}
		t.forward(f, a)
	default:
		if !f.hold(a.inner[:len(a.packet.IP)]) {
			t.Counters.drop(gue.ReasonQueue)
		}
		if f.state == statePending && now.Sub(f.asked) > askAgain {
			t.askHeld(f, now)
		}
	}
}

func (t *Terminator) toStack(f *flow, a arrival, now time.Time) {
	if f.finished() && (a.packet.IsOpening() || !f.late(a.packet)) {
		t.recycle(f)
		t.first(f, a, now)
		return
	}
	f.fromCaller(a.packet)
	t.stack.Load().InjectInbound(a.inner[:len(a.packet.IP)])
	if f.ending && f.conn != nil {
		f.conn.cancelRequest()
	}
}

// recycle clears a finished flow whose caller uses the same port again.
func (t *Terminator) recycle(f *flow) {
	if f.conn != nil {
		f.conn.abort()
	}
	f.conn = nil
	f.closed = time.Time{}
	f.state = statePending
	f.epoch = 0
}

// forward sends a packet on to the agent that holds its flow.
func (t *Terminator) forward(f *flow, a arrival) {
	h := a.header
	if h.Hops >= gue.MaxHops {
		t.Counters.drop(gue.ReasonHops)
		t.flows.remove(f)
		return
	}
	h.Hops++
	h.Put(a.datagram, t.Keys.Packet)
	t.send(a.datagram[:gue.HeaderLength+len(a.packet.IP)], f.peer)
	t.Counters.Forwarded.Inc()
}

// forwardHeld sends on the packets that waited while a flow was found or moved.
func (t *Terminator) forwardHeld(f *flow) {
	r := t.route.Load()
	for _, inner := range f.takeHeld() {
		b := make([]byte, gue.HeaderLength+len(inner))
		copy(b[gue.HeaderLength:], inner)
		headerOf(r).Put(b, t.Keys.Packet)
		t.send(b, f.peer)
		t.Counters.Forwarded.Inc()
	}
}

func headerOf(r *services.Route) gue.Header {
	return gue.Header{Hops: 1, Service: r.Service.ID, Generation: r.Service.Generation, TableVersion: r.Version}
}

// replayHeld hands the packets that waited to the flow as if they arrived now.
func (t *Terminator) replayHeld(f *flow, now time.Time) {
	for _, inner := range f.takeHeld() {
		b := make([]byte, gue.HeaderLength+len(inner))
		copy(b[gue.HeaderLength:], inner)
		p, reason := gue.Parse(b[gue.HeaderLength:])
		if reason != gue.ReasonNone {
			t.Counters.drop(reason)
			continue
		}
		a := arrival{datagram: b, header: headerOf(t.route.Load()), packet: p, inner: b[gue.HeaderLength:]}
		t.next(f, a, now)
	}
}

func (t *Terminator) send(datagram []byte, to netip.AddrPort) {
	if _, err := t.Socket.WriteToUDPAddrPort(datagram, to); err != nil {
		t.Counters.drop(gue.ReasonQueue)
	}
}

// toCaller sends a packet to the fabric, which brings it to the caller.
func (t *Terminator) toCaller(packet []byte) {
	t.send(packet, t.Fabric)
	t.Counters.Sent.Inc()
}
