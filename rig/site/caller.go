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

// Outcome is how a caller's attempt ended.
type Outcome string

// The outcomes.
const (
	OutcomeServed Outcome = "served"
	OutcomeLate   Outcome = "late"
	OutcomeReset  Outcome = "reset"
	OutcomeSilent Outcome = "silent"
	// OutcomeRefused is an answer that says the request did not run.
	OutcomeRefused Outcome = "refused"
)

const (
	// openingLimit is when a caller gives an attempt to open a flow up.
	openingLimit = 1400 * time.Millisecond
	// requestLimit is a request's deadline.
	requestLimit = 3 * time.Second
	firstPort    = 1024
)

// copyTimes are when a caller repeats its opening packet.
var copyTimes = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, openingLimit}

// Caller opens flows from one address.
type Caller struct {
	Router *Router
	Judge  *Judge

	address netip.AddrPort
	socket  *net.UDPConn
	mutex   sync.Mutex
	random  *rand.Rand
	port    uint16
	loss    float64
	flows   map[gue.Flow]chan packet
}

type packet struct {
	view flow.Header
	data string
}

// Start takes answers until ctx ends.
func (c *Caller) Start(ctx context.Context) error {
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.address))
	if err != nil {
		return errors.WithStack(err)
	}
	c.socket, c.port, c.flows = s, firstPort, map[gue.Flow]chan packet{}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go c.run(ctx)
	return nil
}

// SetLoss makes the network lose a share of the packets, both ways.
func (c *Caller) SetLoss(share float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.loss = share
}

func (c *Caller) run(ctx context.Context) {
	buffer := make([]byte, maxPacket)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		v, reason := platform.PacketCodec{}.Parse(buffer[:max(n, 0)])
		if err != nil || reason != gue.ReasonNone {
			c.Judge.broken("unreadablePacket", "a caller got a packet that can't be read")
			continue
		}
		if v.Mark != (flow.Mark{}) {
			c.Judge.broken("markShown", "a caller got a packet with a mark of ours")
		}
		p := packet{view: v, data: string(buffer[platform.PacketCodec{}.HeaderLength():n])}
		c.mutex.Lock()
		waiting, lost := c.flows[v.FlowFromTarget()], c.random.Float64() < c.loss
		c.mutex.Unlock()
		if waiting == nil || lost {
			continue
		}
		select {
		case waiting <- p:
		default:
		}
	}
}

// Connection is one flow at its caller's end. It is used by one goroutine.
type Connection struct {
	caller   *Caller
	flow     gue.Flow
	packets  chan packet
	next     uint32
	expected uint32
}

// Open opens a flow to a route.
func (c *Caller) Open(to gue.Endpoint) (*Connection, Outcome) {
	c.mutex.Lock()
	if c.port++; c.port < firstPort {
		c.port = firstPort
	}
	n := &Connection{caller: c, packets: make(chan packet, 64), next: c.random.Uint32()}
	n.flow = gue.Flow{Caller: gue.Endpoint{Address: c.address.Addr().As4(), Port: c.port}, Service: to}
	c.flows[n.flow] = n.packets
	c.mutex.Unlock()
	begin := time.Now()
	for i, until := range copyTimes {
		n.send(flow.Header{SYN: true, Sequence: n.next, Attempt: uint32(i)}, nil)
		p, got := n.receive(begin.Add(until), func(p packet) bool {
			return p.view.RST || p.view.SYNACK && p.view.Acknowledged == n.next+1
		})
		switch {
		case !got:
			continue
		case p.view.RST:
			n.forget()
			return nil, OutcomeReset
		}
		n.next++
		n.expected = p.view.Sequence + 1
		n.send(flow.Header{Sequence: n.next, Acknowledged: n.expected}, nil)
		return n, OutcomeServed
	}
	n.forget()
	return nil, OutcomeSilent
}

// Request sends a request and waits for its answer, repeating what is not acknowledged.
func (n *Connection) Request(id string) Outcome {
	begin := time.Now()
	data := platform.PacketCodec{}.Request(id)
	v := flow.Header{Sequence: n.next, Acknowledged: n.expected}
	n.next += uint32(len(data))
	n.caller.Judge.sent(id)
	again := repeatAfter
	for at := begin; ; at = at.Add(again) {
		n.send(v, data)
		until := at.Add(again)
		if deadline := begin.Add(requestLimit); until.After(deadline) {
			until = deadline
		}
		p, got := n.receive(until, func(p packet) bool {
			return p.view.RST || p.view.Length > 0 && p.view.Sequence == n.expected
		})
		switch {
		case got && p.view.RST:
			n.caller.Judge.reset(n.flow)
			n.forget()
			return OutcomeReset
		case got:
			return n.answered(id, p, time.Since(begin))
		case time.Since(begin) >= requestLimit:
			return OutcomeSilent
		}
		again = min(2*again, repeatMost)
	}
}

func (n *Connection) answered(id string, p packet, took time.Duration) Outcome {
	n.expected += uint32(p.view.Length)
	n.send(flow.Header{Sequence: n.next, Acknowledged: n.expected}, nil)
	word, of, _ := strings.Cut(p.data, " ")
	if of != id {
		n.caller.Judge.broken("crossedAnswer", "request "+id+" got the answer of "+of)
	}
	switch {
	case word != string(OutcomeServed):
		return OutcomeRefused
	case took > objective:
		return OutcomeLate
	}
	return OutcomeServed
}

// Close ends the flow.
func (n *Connection) Close() {
	n.caller.Judge.closed(n.flow)
	n.send(flow.Header{FIN: true, Sequence: n.next, Acknowledged: n.expected}, nil)
	n.forget()
}

func (n *Connection) forget() {
	n.caller.mutex.Lock()
	defer n.caller.mutex.Unlock()
	delete(n.caller.flows, n.flow)
}

func (n *Connection) receive(until time.Time, wanted func(packet) bool) (packet, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case p := <-n.packets:
			if wanted(p) {
				return p, true
			}
		case <-timer.C:
			return packet{}, false
		}
	}
}

func (n *Connection) send(v flow.Header, data []byte) {
	n.caller.mutex.Lock()
	lost := n.caller.random.Float64() < n.caller.loss
	n.caller.mutex.Unlock()
	if lost {
		return
	}
	v.Source, v.Destination = n.flow.Caller, n.flow.Service
	_, _ = n.caller.socket.WriteToUDPAddrPort(platform.PacketCodec{}.Encode(v, data), n.caller.Router.Route(n.flow))
}
