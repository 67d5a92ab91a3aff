package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/announce"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/platform"
)

// Packets are retransmitted after 200 ms, and the interval doubles up to 1.6 s. A host gives up after 8 retransmissions.
const (
	firstRetransmission = 200 * time.Millisecond
	maxRetransmission   = 1600 * time.Millisecond
	maxRetransmissions  = 8
)

// workTime is how long a host works on a request.
const workTime = 34 * time.Millisecond

var codec platform.PacketCodec

// flowID names a flow by the addresses and ports of its client and its route.
type flowID = gue.Flow

// host is an application host of the platform beside an agent.
type host struct {
	world   *world
	index   int
	service string
	machine int
	socket  *net.UDPConn

	mutex    sync.Mutex
	listener net.Listener
	id       string
	born     int64
	sequence uint64
	state    facts.TargetState
	flows    map[flowID]*hostFlow
	// down is set while the host's process does not exist.
	down bool
	// drainAcked is when the first heartbeat with the state draining was acknowledged.
	drainAcked time.Time
}

// hostFlow is a host's end of a flow.
type hostFlow struct {
	initial, next, expected uint32
	open                    bool
	acked                   uint32
	syn                     time.Time
}

func (w *world) startHost(index int, service string, machine int) (*host, error) {
	now := time.Now()
	h := &host{
		world: w, index: index, service: service, machine: machine, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: now.UnixMilli(),
		state: facts.TargetReady, flows: map[flowID]*hostFlow{},
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(w.address(machine, portApp)))
	if err != nil {
		return nil, err
	}
	h.socket = socket
	if err := h.listen(); err != nil {
		return nil, err
	}
	go h.receive()
	go h.announce()
	return h, nil
}

// listen serves the host's health over TCP. The listener ends with the host's process.
func (h *host) listen() error {
	listener, err := net.Listen("tcp4", h.world.address(h.machine, portApp).String())
	if err != nil {
		return err
	}
	h.listener = listener
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(r http.ResponseWriter, _ *http.Request) {
			h.mutex.Lock()
			defer h.mutex.Unlock()
			if h.state != facts.TargetReady {
				r.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
	}()
	return nil
}

// announce sends a heartbeat each heartbeatPeriod.
func (h *host) announce() {
	caller := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		h.heartbeat(caller)
		time.Sleep(heartbeatPeriod)
	}
}

func (h *host) heartbeat(caller *http.Client) {
	h.mutex.Lock()
	if h.down {
		h.mutex.Unlock()
		return
	}
	h.sequence++
	a := announce.Announcement{
		Service: h.service, Sequence: h.sequence,
		Target: facts.Target{ID: h.id, StartedMs: h.born, State: h.state, Slots: 5},
		Warmup: announce.Warmup{Known: true},
	}
	h.mutex.Unlock()
	ctx, cancel := withTimeout(time.Second)
	defer cancel()
	r, err := platform.AnnouncementProtocol{}.Announcement(ctx, "http://"+h.world.address(h.machine, portControl).String(), h.world.address(h.machine, portApp).String(), a)
	if err != nil {
		return
	}
	response, err := caller.Do(r)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if response.StatusCode/100 == 2 && a.Target.State == facts.TargetDraining && h.drainAcked.IsZero() {
		h.drainAcked = time.Now()
		h.world.note("host %s on %s: its agent acknowledged that it is draining", h.id, h.world.sides[h.index].name)
	}
}

// drain makes the host say that it is draining, at once and with each later heartbeat.
func (h *host) drain() {
	h.mutex.Lock()
	h.state = facts.TargetDraining
	h.mutex.Unlock()
	h.world.note("host %s on %s starts to drain", h.id, h.world.sides[h.index].name)
	h.heartbeat(&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}})
}

func (h *host) receive() {
	buffer := make([]byte, 4096)
	outbound := h.world.address(h.machine, portOutbound)
	for {
		n, _, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		packet := append([]byte(nil), buffer[:n]...)
		hdr, reason := codec.Parse(packet)
		if reason != gue.ReasonNone {
			h.world.note("host %s got a packet that nobody wrote so: %x", h.id, packet)
			continue
		}
		h.mutex.Lock()
		if !h.down {
			h.handle(&hdr, packet, outbound)
		}
		h.mutex.Unlock()
	}
}

// handle handles one packet. The mutex must be held.
func (h *host) handle(hdr *flow.Header, packet []byte, outbound netip.AddrPort) {
	f := hdr.FlowFromCaller()
	hf := h.flows[f]
	if hdr.SYN {
		if hf != nil && hf.open {
			return
		}
		if hf == nil {
			hf = &hostFlow{initial: rand.Uint32(), expected: hdr.Sequence + 1, syn: time.Now()}
			hf.next, hf.acked = hf.initial+1, hf.initial
			h.flows[f] = hf
			h.world.onSYN(h, f)
		}
		h.send(f, flow.Header{SYNACK: true, Sequence: hf.initial, Acknowledged: hf.expected}, nil)
		return
	}
	if hf == nil || !hf.open && hdr.Acknowledged != hf.initial+1 {
		bounced := *hdr
		bounced.Bounced, bounced.Mark.Code = true, flow.CodeNone
		_, _ = h.socket.WriteToUDPAddrPort(codec.Encode(bounced, codec.Data(packet)), outbound)
		return
	}
	if !hf.open {
		hf.open = true
		h.world.onOpen(h, f)
	}
	if hdr.RST {
		delete(h.flows, f)
		return
	}
	if int32(hdr.Acknowledged-hf.acked) > 0 {
		hf.acked = hdr.Acknowledged
	}
	switch {
	case hdr.FIN:
		if hdr.Sequence == hf.expected {
			hf.expected++
		}
		h.send(f, flow.Header{FIN: true, Sequence: hf.next, Acknowledged: hf.expected}, nil)
		delete(h.flows, f)
	case hdr.Length > 0 && hdr.Sequence == hf.expected:
		hf.expected += uint32(hdr.Length)
		id := string(codec.RequestID(packet))
		h.world.onRun(h, f, id)
		time.AfterFunc(workTime, func() {
			h.mutex.Lock()
			defer h.mutex.Unlock()
			if h.flows[f] == hf {
				text := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
				first := hf.next
				hf.next += uint32(len(text))
				h.answer(f, hf, first, []byte(text), firstRetransmission, 0)
			}
		})
	case hdr.Length > 0:
		h.send(f, flow.Header{Sequence: hf.next, Acknowledged: hf.expected}, nil)
	}
}

// answer sends data until it is acknowledged. The mutex must be held.
func (h *host) answer(f flowID, hf *hostFlow, first uint32, data []byte, wait time.Duration, sent int) {
	if h.flows[f] != hf || int32(hf.acked-first) >= int32(len(data)) || sent > maxRetransmissions {
		return
	}
	h.send(f, flow.Header{Sequence: first, Acknowledged: hf.expected}, data)
	time.AfterFunc(wait, func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.answer(f, hf, first, data, min(2*wait, maxRetransmission), sent+1)
	})
}

// send sends a packet of the host's own to the agent.
func (h *host) send(f flowID, hdr flow.Header, data []byte) {
	hdr.Source, hdr.Destination = f.Service, f.Caller
	_, _ = h.socket.WriteToUDPAddrPort(seal(codec.Encode(hdr, data)), h.world.address(h.machine, portOutbound))
}

// seal writes a sum that is not 0, by which a packet of a client or a host differs from a reset of the system's own.
func seal(packet []byte) []byte {
	copy(packet[26:30], "seal")
	return packet
}

// isSystemReset reports whether a packet is a reset of the system's own.
func isSystemReset(packet []byte) bool {
	return string(packet[26:30]) == "\x00\x00\x00\x00"
}

func shortID(f flowID) string {
	return strings.ReplaceAll(f.String(), "127.", "")
}
