package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeatInterval = 770 * time.Millisecond
	serviceTime       = 20 * time.Millisecond
)

// host is a stand-in of a host. It drains on SIGUSR1 and writes what it sees to standard output, one line an event.
type host struct {
	id, service, control string
	app, outbound        netip.AddrPort
	born                 int64
	slots                int

	socket   *net.UDPConn
	mutex    sync.Mutex
	draining bool
	sequence int
	flows    map[[2]netip.AddrPort]*hostFlow
}

type hostFlow struct {
	initial, next, expected uint32
	open, closed            bool
	answer                  []byte
}

func runHost(args []string) error {
	h := &host{flows: map[[2]netip.AddrPort]*hostFlow{}}
	f := flag.NewFlagSet("host", flag.ExitOnError)
	f.StringVar(&h.id, "id", "", "id of the host")
	f.StringVar(&h.service, "service", "", "service of the host")
	f.StringVar(&h.control, "control", "", "address that takes heartbeats")
	app, outbound := f.String("app", "", "address of the host"), f.String("outbound", "", "address that takes the host's packets")
	f.IntVar(&h.slots, "slots", 4, "slots")
	clockAhead := f.Duration("clock-ahead", 0, "how far the time of day of the host's machine is ahead")
	_ = f.Parse(args)
	h.app, h.outbound = netip.MustParseAddrPort(*app), netip.MustParseAddrPort(*outbound)
	h.born = time.Now().Add(*clockAhead).UnixMilli()
	var err error
	if h.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.app)); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", *app)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(h.health)) }()
	drain := make(chan os.Signal, 1)
	signal.Notify(drain, syscall.SIGUSR1)
	go h.receive()
	event("start", "host %s service %s born %d", h.id, h.service, h.born)
	h.heartbeat()
	ticker := time.NewTicker(heartbeatInterval)
	for {
		select {
		case <-drain:
			h.mutex.Lock()
			h.draining = true
			h.mutex.Unlock()
		case <-ticker.C:
		}
		h.heartbeat()
	}
}

// event writes one line: Unix time in milliseconds, kind and text.
func event(kind, format string, v ...any) {
	fmt.Printf("%d %s %s\n", time.Now().UnixMilli(), kind, fmt.Sprintf(format, v...))
}

func (h *host) health(w http.ResponseWriter, _ *http.Request) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *host) heartbeat() {
	h.mutex.Lock()
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": h.service, "address": h.app.String(), "zone": "z", "version": "v1", "slots": h.slots, "state": state, "warmupLeftMs": 0,
		"sequence": h.sequence, "born": h.born,
	})
	h.mutex.Unlock()
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+h.control+"/Instances.Heartbeat/"+h.id, "application/json", bytes.NewReader(body))
	if err != nil {
		event("heartbeat", "%s %s failed", h.id, state)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	event("heartbeat", "%s %s answered %d", h.id, state, response.StatusCode)
}

func (h *host) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		h.handle(buffer[:n])
	}
}

func (h *host) handle(b []byte) {
	p, ok := decode(b)
	if !ok || !hasValidChecksum(b) {
		event("forged", "%s got a packet that its sender did not write: %x", h.id, b)
		return
	}
	key := [2]netip.AddrPort{p.source, p.destination}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	f := h.flows[key]
	if p.flags&(flagSYN|flagACK) == flagSYN {
		if f == nil {
			f = &hostFlow{initial: rand.Uint32(), expected: p.sequence + 1}
			f.next = f.initial + 1
			h.flows[key] = f
			event("syn", "%s takes the flow %s>%s", h.id, p.source, p.destination)
		}
		h.send(key, packet{flags: flagSYN | flagACK, sequence: f.initial, ack: f.expected})
		return
	}
	if f == nil || !f.open && p.ack-f.initial != 1 {
		b[30] |= flagBounced
		b[31] = 0
		_, _ = h.socket.WriteToUDPAddrPort(b, h.outbound)
		return
	}
	if !f.open {
		event("open", "%s holds the flow %s>%s", h.id, p.source, p.destination)
	}
	f.open = true
	switch {
	case f.closed && p.flags&flagFIN != 0:
		h.send(key, packet{flags: flagACK, sequence: f.next + 1, ack: p.sequence + 1})
	case f.closed && len(p.data) > 0:
		h.send(key, packet{flags: flagRST | flagACK, sequence: f.next + 1, ack: p.sequence})
	case f.closed:
	case p.flags&flagRST != 0:
		delete(h.flows, key)
	case p.flags&flagFIN != 0:
		h.send(key, packet{flags: flagACK | flagFIN, sequence: f.next, ack: p.sequence + 1})
		f.closed = true
	case len(p.data) > 0 && p.sequence == f.expected:
		f.expected += uint32(len(p.data))
		id := requestID(p.data)
		event("run", "%s runs request %s", h.id, id)
		time.AfterFunc(serviceTime, func() { h.answer(key, f, id) })
	case len(p.data) > 0 && f.answer != nil:
		h.send(key, packet{flags: flagACK, sequence: f.next - uint32(len(f.answer)), ack: f.expected, data: f.answer})
	}
}

func (h *host) answer(key [2]netip.AddrPort, f *hostFlow, id string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	body := id + " " + h.service
	f.answer = []byte("HTTP/1.1 200 OK\r\nResponse-Signature: " + h.id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	h.send(key, packet{flags: flagACK, sequence: f.next, ack: f.expected, data: f.answer})
	f.next += uint32(len(f.answer))
}

// send sends a packet of a flow, whose key is caller and service, to the caller.
func (h *host) send(key [2]netip.AddrPort, p packet) {
	p.source, p.destination = key[1], key[0]
	_, _ = h.socket.WriteToUDPAddrPort(p.encode(), h.outbound)
}

var requestIDPattern = regexp.MustCompile(`\r\nRequest-Id: ([^\r]*)\r`)

func requestID(data []byte) string {
	m := requestIDPattern.FindSubmatch(data)
	if m == nil {
		return ""
	}
	return string(m[1])
}
