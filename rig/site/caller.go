package site

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/platform"
)

// Outcome is the result of opening a flow or of a request.
type Outcome string

// Outcomes of opening a flow or of a request.
const (
	// OutcomeServed means that the flow was opened or that the answer arrived within the latency objective.
	OutcomeServed Outcome = "served"
	// OutcomeLate means that the answer arrived after the latency objective.
	OutcomeLate Outcome = "late"
	// OutcomeReset means that a reset arrived.
	OutcomeReset Outcome = "reset"
	// OutcomeSilent means that no response arrived in time.
	OutcomeSilent Outcome = "silent"
	// OutcomeRefused means that the answer says that the request did not run.
	OutcomeRefused Outcome = "refused"
)

const (
	// openTimeout limits an attempt to open a flow.
	openTimeout = 1400 * time.Millisecond
	// requestTimeout limits a request, including its retransmissions.
	requestTimeout = 3 * time.Second
	// firstCallerPort is the lowest source port of a caller's flows.
	firstCallerPort = 1024
)

// synRetransmitTimes are the times after the first SYN at which a caller retransmits it. At the last of them the caller
// gives up instead.
var synRetransmitTimes = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, openTimeout}

// Caller opens flows from one address.
type Caller struct {
	Router  *Router
	Checker *Checker

	address  netip.AddrPort
	socket   *net.UDPConn
	mutex    sync.Mutex
	random   *rand.Rand
	lastPort uint16
	lossRate float64
	// flows maps each flow in use to the channel for its received packets.
	flows map[gue.Flow]chan packet
}

// packet is a received packet.
type packet struct {
	header  flow.Header
	payload string
}

// Start receives packets until ctx ends.
func (c *Caller) Start(ctx context.Context) error {
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.address))
	if err != nil {
		return errors.WithStack(err)
	}
	c.socket, c.lastPort, c.flows = s, firstCallerPort, map[gue.Flow]chan packet{}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go c.receiveLoop(ctx)
	return nil
}

// SetLoss sets the fraction of packets that are lost in each direction.
func (c *Caller) SetLoss(rate float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lossRate = rate
}

func (c *Caller) receiveLoop(ctx context.Context) {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		hdr, reason := platform.PacketCodec{}.Parse(buffer[:max(n, 0)])
		if err != nil || reason != gue.ReasonNone {
			c.Checker.report("unreadablePacket", "a caller received a malformed packet")
			continue
		}
		if hdr.Mark != (flow.Mark{}) {
			c.Checker.report("markShown", "a caller received a packet with an internal mark")
		}
		p := packet{header: hdr, payload: string(buffer[platform.PacketCodec{}.HeaderLength():n])}
		c.mutex.Lock()
		receiver, lost := c.flows[hdr.FlowFromTarget()], c.random.Float64() < c.lossRate
		c.mutex.Unlock()
		if receiver == nil || lost {
			continue
		}
		select {
		case receiver <- p:
		default: // The flow's channel is full, so the packet is dropped.
		}
	}
}

// Connection is the caller's end of one flow. It must not be used by several goroutines at once.
type Connection struct {
	caller           *Caller
	flow             gue.Flow
	packets          chan packet
	nextSequence     uint32
	expectedSequence uint32
}

// Open opens a flow to a route. If the flow is not opened, it returns a nil connection and OutcomeReset or OutcomeSilent.
func (c *Caller) Open(to gue.Endpoint) (*Connection, Outcome) {
	c.mutex.Lock()
	if c.lastPort++; c.lastPort < firstCallerPort {
		c.lastPort = firstCallerPort
	}
	conn := &Connection{caller: c, packets: make(chan packet, 64), nextSequence: c.random.Uint32()}
	conn.flow = gue.Flow{Caller: gue.Endpoint{Address: c.address.Addr().As4(), Port: c.lastPort}, Service: to}
	c.flows[conn.flow] = conn.packets
	c.mutex.Unlock()
	begin := time.Now()
	for i, retransmitTime := range synRetransmitTimes {
		conn.send(flow.Header{SYN: true, Sequence: conn.nextSequence, Attempt: uint32(i)}, nil)
		p, received := conn.receive(begin.Add(retransmitTime), func(p packet) bool {
			return p.header.RST || p.header.SYNACK && p.header.Acknowledged == conn.nextSequence+1
		})
		switch {
		case !received:
			continue
		case p.header.RST:
			conn.unregister()
			return nil, OutcomeReset
		}
		conn.nextSequence++
		conn.expectedSequence = p.header.Sequence + 1
		conn.send(flow.Header{Sequence: conn.nextSequence, Acknowledged: conn.expectedSequence}, nil)
		return conn, OutcomeServed
	}
	conn.unregister()
	return nil, OutcomeSilent
}

// Request sends a request and waits for its answer, for at most requestTimeout. It retransmits the request until an
// answer or a reset arrives.
func (c *Connection) Request(id string) Outcome {
	begin := time.Now()
	data := platform.PacketCodec{}.Request(id)
	hdr := flow.Header{Sequence: c.nextSequence, Acknowledged: c.expectedSequence}
	c.nextSequence += uint32(len(data))
	c.caller.Checker.recordSent(id)
	interval := firstRetransmitInterval
	for sentAt := begin; ; sentAt = sentAt.Add(interval) {
		c.send(hdr, data)
		until := sentAt.Add(interval)
		if deadline := begin.Add(requestTimeout); until.After(deadline) {
			until = deadline
		}
		p, received := c.receive(until, func(p packet) bool {
			return p.header.RST || p.header.Length > 0 && p.header.Sequence == c.expectedSequence
		})
		switch {
		case received && p.header.RST:
			c.caller.Checker.checkReset(c.flow)
			c.unregister()
			return OutcomeReset
		case received:
			return c.handleAnswer(id, p, time.Since(begin))
		case time.Since(begin) >= requestTimeout:
			return OutcomeSilent
		}
		interval = min(2*interval, maxRetransmitInterval)
	}
}

// handleAnswer acknowledges the answer and returns its outcome.
func (c *Connection) handleAnswer(id string, p packet, elapsed time.Duration) Outcome {
	c.expectedSequence += uint32(p.header.Length)
	c.send(flow.Header{Sequence: c.nextSequence, Acknowledged: c.expectedSequence}, nil)
	status, answeredID, _ := strings.Cut(p.payload, " ")
	if answeredID != id {
		c.caller.Checker.report("crossedAnswer", "request "+id+" received the answer to "+answeredID)
	}
	switch {
	case status != string(OutcomeServed):
		return OutcomeRefused
	case elapsed > latencyObjective:
		return OutcomeLate
	}
	return OutcomeServed
}

// Close sends a FIN and unregisters the flow. It does not wait for the acknowledgement.
func (c *Connection) Close() {
	c.caller.Checker.recordClose(c.flow)
	c.send(flow.Header{FIN: true, Sequence: c.nextSequence, Acknowledged: c.expectedSequence}, nil)
	c.unregister()
}

// unregister removes the flow. Packets of it that arrive later are dropped.
func (c *Connection) unregister() {
	c.caller.mutex.Lock()
	defer c.caller.mutex.Unlock()
	delete(c.caller.flows, c.flow)
}

// receive returns the next packet that matches, or false if none arrives until the given time. It drops all others.
func (c *Connection) receive(until time.Time, matches func(packet) bool) (packet, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case p := <-c.packets:
			if matches(p) {
				return p, true
			}
		case <-timer.C:
			return packet{}, false
		}
	}
}

// send sends a packet to the entry that the router selects. With the loss rate as its probability, the packet is lost.
func (c *Connection) send(hdr flow.Header, data []byte) {
	c.caller.mutex.Lock()
	lost := c.caller.random.Float64() < c.caller.lossRate
	c.caller.mutex.Unlock()
	if lost {
		return
	}
	hdr.Source, hdr.Destination = c.flow.Caller, c.flow.Service
	_, _ = c.caller.socket.WriteToUDPAddrPort(platform.PacketCodec{}.Encode(hdr, data), c.caller.Router.Route(c.flow))
}
