package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// caller is a stand-in of a client. It sends each request on a flow of its own, from a new port. The router in front of
// the entries is part of it.
type caller struct {
	address netip.AddrPort
	record  *record
	// entries are the addresses at which entries receive packets, in rotation.
	entries func() []netip.AddrPort

	socket *net.UDPConn
	mutex  sync.Mutex
	port   uint16
	flows  map[netip.AddrPort]chan packet
}

func (c *caller) start() error {
	c.flows, c.port = map[netip.AddrPort]chan packet{}, 20000
	var err error
	if c.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.address)); err != nil {
		return err
	}
	go c.receive()
	return nil
}

func (c *caller) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok || p.flags&flagRST == 0 && !hasValidChecksum(buffer[:n]) {
			c.record.add("caller", "forged %x", buffer[:n])
			continue
		}
		c.mutex.Lock()
		flow := c.flows[p.destination]
		c.mutex.Unlock()
		select {
		case flow <- p:
		default:
		}
	}
}

// route returns the entry for the packets of a port.
func (c *caller) route(port uint16) netip.AddrPort {
	all := c.entries()
	return all[int(port)%len(all)]
}

// flow is the caller's end of a flow.
type flow struct {
	caller         *caller
	source, to     netip.AddrPort
	packets        chan packet
	next, expected uint32
}

func (f *flow) send(p packet) {
	p.source, p.destination = f.source, f.to
	_, _ = f.caller.socket.WriteToUDPAddrPort(p.encode(), f.caller.route(f.source.Port()))
}

// await returns the next packet that matches, or false if there is none until the given time.
func (f *flow) await(until time.Time, matches func(packet) bool) (packet, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case p := <-f.packets:
			if matches(p) {
				return p, true
			}
		case <-timer.C:
			return packet{}, false
		}
	}
}

// request sends a request on a new flow and returns the answer's outcome: the body, reset or silent.
func (c *caller) request(to netip.AddrPort, id string) string {
	f := c.open(to)
	if f == nil {
		c.record.add("caller", "request %s: the flow did not open", id)
		return ""
	}
	defer f.close()
	data := []byte("GET /r HTTP/1.1\r\nHost: r\r\nRequest-Id: " + id + "\r\n\r\n")
	c.record.add("caller", "request %s sent on the flow %s>%s", id, f.source, to)
	begin, wait := time.Now(), 200*time.Millisecond
	for time.Since(begin) < 1500*time.Millisecond {
		f.send(packet{flags: flagACK, sequence: f.next, ack: f.expected, data: data})
		p, got := f.await(time.Now().Add(wait), func(p packet) bool { return p.flags&flagRST != 0 || len(p.data) > 0 && p.sequence == f.expected })
		wait *= 2
		if !got {
			continue
		}
		if p.flags&flagRST != 0 {
			c.record.add("caller", "request %s: reset", id)
			return "reset"
		}
		f.next += uint32(len(data))
		f.expected += uint32(len(p.data))
		_, body, _ := strings.Cut(string(p.data), "\r\n\r\n")
		c.record.add("caller", "request %s answered: %s", id, body)
		return body
	}
	c.record.add("caller", "request %s: no answer", id)
	return "silent"
}

// open opens a flow, or returns nil if that fails.
func (c *caller) open(to netip.AddrPort) *flow {
	c.mutex.Lock()
	c.port++
	f := &flow{caller: c, source: netip.AddrPortFrom(c.address.Addr(), c.port), to: to, packets: make(chan packet, 64), next: rand.Uint32()}
	c.flows[f.source] = f.packets
	c.mutex.Unlock()
	begin := time.Now()
	for i, until := range []time.Duration{200, 600, 1400} {
		f.send(packet{flags: flagSYN, sequence: f.next, ack: uint32(i)})
		p, got := f.await(begin.Add(until*time.Millisecond), func(p packet) bool {
			return p.flags&flagRST != 0 || p.flags&(flagSYN|flagACK) == flagSYN|flagACK && p.ack == f.next+1
		})
		if !got {
			continue
		}
		if p.flags&flagRST != 0 {
			break
		}
		f.next++
		f.expected = p.sequence + 1
		f.send(packet{flags: flagACK, sequence: f.next, ack: f.expected})
		return f
	}
	f.forget()
	return nil
}

func (f *flow) close() {
	f.send(packet{flags: flagACK | flagFIN, sequence: f.next, ack: f.expected})
	f.await(time.Now().Add(100*time.Millisecond), func(p packet) bool { return p.flags&flagFIN != 0 })
	f.send(packet{flags: flagACK, sequence: f.next + 1, ack: f.expected + 1})
	f.forget()
}

func (f *flow) forget() {
	f.caller.mutex.Lock()
	delete(f.caller.flows, f.source)
	f.caller.mutex.Unlock()
}

// requestInterval is the time between two requests.
const requestInterval = 100 * time.Millisecond

// sendRequests sends requests to the first service until stop is closed.
func sendRequests(c *caller, s *site, stop chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			running.Go(func() { c.request(s.route(0), fmt.Sprintf("q-%d", i)) })
		}
	}
}

// rotation returns the entries as the router uses them: all, since all stay ready.
func rotation(s *site) func() []netip.AddrPort { return func() []netip.AddrPort { return s.entries } }
