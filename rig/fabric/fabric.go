// Package fabric emulates the network fabric, which sends each packet of a caller to a randomly drawn entry.
package fabric

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	batchSize         = 64
	maxPacketBytes    = 2048
	socketBufferBytes = 8 << 20
)

// Fabric forwards packets between callers, entries and agents. Set the exported fields before use.
type Fabric struct {
	Socket *net.UDPConn
	Random *rand.Rand

	mutex   sync.Mutex
	state   State
	tracker FlowTracker
	callers map[[4]byte]netip.AddrPort
}

// NewSocket opens the fabric's socket.
func NewSocket(address netip.AddrPort) (*net.UDPConn, error) {
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = s.SetReadBuffer(socketBufferBytes)
	_ = s.SetWriteBuffer(socketBufferBytes)
	return s, nil
}

// SetState replaces the entries, their weights and the faults.
func (f *Fabric) SetState(s State) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.state = s
}

// Handler returns the control interface: PUT /state replaces the State, PUT /track starts to track flows, and PUT
// /forget makes the fabric drop the packets of the flows tracked so far. The body of PUT /forget is a boolean:
// FlowTracker.OneWay.
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /state", func(w http.ResponseWriter, r *http.Request) {
		var s State
		if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		f.SetState(s)
	})
	mux.HandleFunc("PUT /track", func(http.ResponseWriter, *http.Request) { f.update(func() { f.tracker.Track = true }) })
	mux.HandleFunc("PUT /forget", func(w http.ResponseWriter, r *http.Request) {
		var oneWay bool
		if err := json.NewDecoder(r.Body).Decode(&oneWay); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		f.update(func() {
			f.tracker.OneWay = oneWay
			f.tracker.Forget()
		})
	})
	return mux
}

// update calls a function while it holds the mutex.
func (f *Fabric) update(apply func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	apply()
}

// Run forwards packets until ctx is cancelled.
func (f *Fabric) Run(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = f.Socket.Close() })
	f.callers = make(map[[4]byte]netip.AddrPort)
	packets := ipv4.NewPacketConn(f.Socket)
	incoming := make([]ipv4.Message, batchSize)
	for i := range incoming {
		incoming[i].Buffers = [][]byte{make([]byte, maxPacketBytes)}
	}
	outgoing := make([]ipv4.Message, 0, 2*batchSize)
	for {
		n, err := packets.ReadBatch(incoming, 0)
		if err != nil {
			return
		}
		outgoing = outgoing[:0]
		f.mutex.Lock()
		for i := range n {
			outgoing = f.forward(outgoing, incoming[i])
		}
		f.mutex.Unlock()
		writeAll(packets, outgoing)
	}
}

// writeAll sends all packets and skips those that cannot be sent.
func writeAll(packets *ipv4.PacketConn, all []ipv4.Message) {
	for len(all) > 0 {
		n, err := packets.WriteBatch(all, 0)
		if err != nil {
			n = max(n, 0) + 1
		}
		all = all[min(n, len(all)):]
	}
}

// forward appends the copies of a packet that are sent at once to outgoing, and schedules those that are delayed.
func (f *Fabric) forward(outgoing []ipv4.Message, m ipv4.Message) []ipv4.Message {
	b := m.Buffers[0][:m.N]
	p, reason := gue.Parse(b)
	if reason != gue.ReasonNone {
		return outgoing
	}
	to, ok := f.route(p, m.Addr)
	if !ok {
		return outgoing
	}
	for _, delay := range f.state.Faults.DrawDelays(f.Random) {
		if delay == 0 {
			outgoing = append(outgoing, ipv4.Message{Buffers: [][]byte{b}, Addr: net.UDPAddrFromAddrPort(to)})
			continue
		}
		d := &delayedPacket{socket: f.Socket, packet: append([]byte(nil), b...), to: to}
		time.AfterFunc(delay, d.send)
	}
	return outgoing
}

// delayedPacket is a packet that is sent after a delay.
type delayedPacket struct {
	socket *net.UDPConn
	packet []byte
	to     netip.AddrPort
}

func (d *delayedPacket) send() {
	_, _ = d.socket.WriteToUDPAddrPort(d.packet, d.to)
}

// route returns where a packet goes: to the caller that has its destination address, otherwise to a randomly drawn
// entry. It reports false if the packet is dropped. The address of a caller is learned from the packets it sends.
func (f *Fabric) route(p gue.Packet, from net.Addr) (netip.AddrPort, bool) {
	if to, ok := f.callers[p.Flow.Service.Address]; ok {
		return to, !f.tracker.DropsToCaller(p.ReverseFlow())
	}
	sender := from.(*net.UDPAddr).AddrPort()
	f.callers[p.Flow.Caller.Address] = sender
	if f.tracker.DropsFromCaller(p.Flow, p.IsSYN()) || len(f.state.Entries) == 0 {
		return netip.AddrPort{}, false
	}
	return f.state.Entries[f.pickEntry()], true
}

// pickEntry draws the index of an entry by the weights, or uniformly unless there is a weight for each entry.
func (f *Fabric) pickEntry() int {
	if len(f.state.Weights) != len(f.state.Entries) {
		return f.Random.IntN(len(f.state.Entries))
	}
	var total float64
	for _, w := range f.state.Weights {
		total += w
	}
	remaining := f.Random.Float64() * total
	for i, w := range f.state.Weights {
		remaining -= w
		if remaining < 0 {
			return i
		}
	}
	return len(f.state.Entries) - 1
}
