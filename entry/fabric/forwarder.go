package fabric

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/process"
	"github.com/coltsfootline/coltsfootline/kernel/services"
)

const (
	batchLength       = 64
	bufferBytes       = 2048
	socketBufferBytes = 4 << 20
)

// Forwarder moves packets from the fabric to agents on several sockets that share one address.
type Forwarder struct {
	Listen   netip.AddrPort
	Workers  int
	Keys     Keys
	Counters *Counters
	Logger   *slog.Logger

	routes atomic.Pointer[services.Routes]
}

// SetRoutes publishes new routes to the traffic threads.
func (f *Forwarder) SetRoutes(r *services.Routes) {
	f.routes.Store(r)
}

// Routes returns the routes in force, or nil before the first.
func (f *Forwarder) Routes() *services.Routes {
	return f.routes.Load()
}

// Start opens the sockets and forwards until ctx ends.
func (f *Forwarder) Start(ctx context.Context) error {
	f.routes.CompareAndSwap(nil, &services.Routes{})
	for range f.Workers {
		socket, err := ListenShared(ctx, f.Listen)
		if err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { _ = socket.Close() })
		w := newWorker(f, socket)
		go w.run(ctx)
	}
	return nil
}

// ListenShared opens a UDP socket that others may open on the same address too.
func ListenShared(ctx context.Context, address netip.AddrPort) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return errors.CombineErrors(err, failure)
	}}
	c, err := config.ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return nil, errors.WithStack(&process.ListenError{Address: address.String(), Cause: err})
	}
	socket := c.(*net.UDPConn)
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	return socket, nil
}

type worker struct {
	owner    *Forwarder
	packets  *ipv4.PacketConn
	buffers  [batchLength][]byte
	incoming [batchLength]ipv4.Message
	outgoing [batchLength]ipv4.Message
}

func newWorker(owner *Forwarder, socket *net.UDPConn) *worker {
	w := &worker{owner: owner, packets: ipv4.NewPacketConn(socket)}
	for i := range w.incoming {
		w.buffers[i] = make([]byte, bufferBytes)
		w.incoming[i].Buffers = [][]byte{w.buffers[i][gue.HeaderLength:]}
		w.outgoing[i].Buffers = make([][]byte, 1)
	}
	return w
}

func (w *worker) run(ctx context.Context) {
	for {
		n, err := w.packets.ReadBatch(w.incoming[:], 0)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			events.PacketReadFailed.Log(w.owner.Logger, events.Failure(err))
			continue
		}
		w.send(w.decideAll(n))
	}
}

func (w *worker) decideAll(n int) int {
	routes := w.owner.routes.Load()
	ready := 0
	for i := range n {
		buffer := w.buffers[i][:gue.HeaderLength+w.incoming[i].N]
		length, to, reason := Decide(buffer, routes, w.owner.Keys)
		if reason != gue.ReasonNone {
			w.owner.Counters.Drop(reason)
			continue
		}
		w.outgoing[ready].Buffers[0] = buffer[:length]
		w.outgoing[ready].Addr = to
		ready++
	}
	return ready
}

// send skips the packet that a write failed at: the caller's TCP sends it again.
func (w *worker) send(ready int) {
	for done := 0; done < ready; {
		n, err := w.packets.WriteBatch(w.outgoing[done:ready], 0)
		done += max(n, 0)
		w.owner.Counters.Forwarded.Add(max(n, 0))
		if err != nil {
			w.owner.Counters.Drop(gue.ReasonQueue)
			done++
		}
	}
}
