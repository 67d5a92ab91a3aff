package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// copyTimes is when a client sends the copies of a SYN, and openLimit when it gives up.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const openLimit = 1400 * time.Millisecond

// client is the machine of some clients.
type client struct {
	world   *world
	machine int
	socket  *net.UDPConn

	mutex sync.Mutex
	flows map[uint16]*clientFlow
}

// clientFlow is a client's end of a flow.
type clientFlow struct {
	client *client
	id     flowID
	events chan clientEvent

	mutex          sync.Mutex
	next, expected uint32
	open           bool
	opened         time.Time
	lastUse        time.Time
}

type clientEvent struct {
	hdr  flow.Header
	data []byte
	// system is set for a reset of the system's own.
	system bool
}

// outcome is how a request or the opening of a flow ended.
type outcome string

const (
	served      outcome = "served"
	resetSystem outcome = "reset by the system"
	resetHost   outcome = "reset by the host"
	deadline    outcome = "deadline"
	opened      outcome = "opened"
)

func (w *world) addClient(i int) (*client, error) {
	c := &client{world: w, machine: hostClients + i, flows: map[uint16]*clientFlow{}}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(w.address(c.machine, portPackets)))
	if err != nil {
		return nil, err
	}
	c.socket = socket
	go c.receive()
	w.clients = append(w.clients, c)
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		packet := append([]byte(nil), buffer[:n]...)
		hdr, reason := codec.Parse(packet)
		if reason != gue.ReasonNone {
			c.world.note("a client got a packet that nobody wrote so: %x", packet)
			continue
		}
		c.mutex.Lock()
		cf := c.flows[hdr.Destination.Port]
		c.mutex.Unlock()
		if cf == nil || cf.id.Service != hdr.Source {
			continue
		}
		select {
		case cf.events <- clientEvent{hdr: hdr, data: codec.Data(packet), system: hdr.RST && isSystemReset(packet)}:
		default:
		}
	}
}

// send takes a packet of a client to the entry that the router chooses now. It returns the entry's name.
func (cf *clientFlow) send(hdr flow.Header, data []byte) string {
	n := cf.client.world.router.entryFor(cf.id)
	if n == nil {
		return "none"
	}
	hdr.Source, hdr.Destination = cf.id.Caller, cf.id.Service
	_, _ = cf.client.socket.WriteToUDPAddrPort(seal(codec.Encode(hdr, data)), cf.client.world.address(n.machine, portPackets))
	return n.name
}

// newFlow makes a flow from a port of the client.
func (c *client) newFlow(port uint16, route gue.Endpoint) *clientFlow {
	cf := &clientFlow{client: c, events: make(chan clientEvent, 64), next: rand.Uint32()}
	cf.id = flowID{Caller: gue.Endpoint{Address: c.world.address(c.machine, 0).Addr().As4(), Port: port}, Service: route}
	c.mutex.Lock()
	c.flows[port] = cf
	c.mutex.Unlock()
	return cf
}

// connect opens the flow.
func (cf *clientFlow) connect() outcome {
	return cf.connectOnce(openLimit)
}

// connectOnce opens the flow, but gives up after the limit.
func (cf *clientFlow) connectOnce(limit time.Duration) outcome {
	start, copies := time.Now(), 0
	initial := cf.next
	for time.Since(start) < limit {
		wait := limit - time.Since(start)
		if copies < len(copyTimes) {
			if left := copyTimes[copies] - time.Since(start); left <= 0 {
				cf.send(flow.Header{SYN: true, Sequence: initial, Attempt: uint32(copies)}, nil)
				copies++
				continue
			} else {
				wait = left
			}
		}
		select {
		case e := <-cf.events:
			switch {
			case e.hdr.RST && e.system:
				return resetSystem
			case e.hdr.RST:
				return resetHost
			case e.hdr.SYNACK && e.hdr.Acknowledged == initial+1:
				cf.next, cf.expected = initial+1, e.hdr.Sequence+1
				cf.open, cf.opened, cf.lastUse = true, time.Now(), time.Now()
				cf.send(flow.Header{Sequence: cf.next, Acknowledged: cf.expected}, nil)
				return opened
			}
		case <-time.After(wait):
		}
	}
	return deadline
}

// request sends a request on the open flow, waits for its answer, and records all three.
func (cf *clientFlow) request(id string, limit time.Duration) outcome {
	sent := time.Since(cf.client.world.started)
	result := cf.exchange(id, limit)
	cf.client.world.note("request %s on flow %s: sent at %.3f, %s, %s", id, shortID(cf.id), sent.Seconds(), whereRan(id), result)
	return result
}

func (cf *clientFlow) exchange(id string, limit time.Duration) outcome {
	data := []byte("POST /confirm HTTP/1.1\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	first := cf.next
	cf.next += uint32(len(data))
	start, interval := time.Now(), firstRetransmission
	sendNow := time.Now()
	answer := ""
	for time.Since(start) < limit {
		if !time.Now().Before(sendNow) && answer == "" {
			cf.send(flow.Header{Sequence: first, Acknowledged: cf.expected}, data)
			sendNow = time.Now().Add(interval)
			interval = min(2*interval, maxRetransmission)
		}
		select {
		case e := <-cf.events:
			switch {
			case e.hdr.RST && e.system && within(e.hdr.Sequence, cf.expected):
				return resetSystem
			case e.hdr.RST && !e.system:
				return resetHost
			case e.hdr.Length > 0 && e.hdr.Sequence == cf.expected:
				cf.expected += uint32(e.hdr.Length)
				cf.send(flow.Header{Sequence: cf.next, Acknowledged: cf.expected}, nil)
				cf.lastUse = time.Now()
				if !strings.Contains(string(e.data), id) {
					return outcome(fmt.Sprintf("foreign answer %q", e.data))
				}
				return served
			case e.hdr.Length > 0:
				cf.send(flow.Header{Sequence: cf.next, Acknowledged: cf.expected}, nil)
			}
		case <-time.After(min(20*time.Millisecond, limit)):
		}
	}
	return deadline
}

// closeFlow closes the flow with a FIN.
func (cf *clientFlow) closeFlow() {
	cf.send(flow.Header{FIN: true, Sequence: cf.next, Acknowledged: cf.expected}, nil)
}

// within reports whether a reset's sequence number is within 76,800 of the client's last acknowledgement.
func within(a, b uint32) bool {
	d := int32(a - b)
	return d >= -76800 && d <= 76800
}
