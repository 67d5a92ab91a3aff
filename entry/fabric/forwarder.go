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
	// batchSize is the maximum number of packets per system call.
	batchSize = 64
	// packetBufferBytes is the size of the buffer for one packet and the header in front of it.
	packetBufferBytes = 2048
	// socketBufferBytes is the requested size of a socket's receive and send buffers.
	socketBufferBytes = 4 << 20
)

// Forwarder forwards packets from the fabric to the agents that own their flows. Each worker has its own socket; all
// sockets share ListenAddress.
type Forwarder struct {
	ListenAddress netip.AddrPort
	Workers       int
	Keys          Keys
	Counters      *Counters
	Logger        *slog.Logger

	routes atomic.Pointer[services.Routes]
}

// SetRoutes replaces the routes that the workers use.
func (f *Forwarder) SetRoutes(r *services.Routes) {
	f.routes.Store(r)
}

// Routes returns the current routes, or nil before the first call of Start or SetRoutes.
func (f *Forwarder) Routes() *services.Routes {
	return f.routes.Load()
}

// Start opens the sockets and starts the workers. They run until ctx is done.
func (f *Forwarder) Start(ctx context.Context) error {
	f.routes.CompareAndSwap(nil, &services.Routes{})
	for range f.Workers {
		socket, err := listenReusePort(ctx, f.ListenAddress)
		if err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { _ = socket.Close() })
		w := newWorker(f, socket)
		go w.run(ctx)
	}
	return nil
}

// listenReusePort opens a UDP socket with SO_REUSEPORT, so that the sockets of all workers can share one address.
func listenReusePort(ctx context.Context, address netip.AddrPort) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return errors.CombineErrors(err, optionErr)
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

// worker forwards the packets of one socket in batches.
type worker struct {
	forwarder *Forwarder
	packets   *ipv4.PacketConn
	buffers   [batchSize][]byte
	incoming  [batchSize]ipv4.Message
	outgoing  [batchSize]ipv4.Message
}

// newWorker returns a worker whose receive buffers have space for a header in front of each packet.
func newWorker(forwarder *Forwarder, socket *net.UDPConn) *worker {
	w := &worker{forwarder: forwarder, packets: ipv4.NewPacketConn(socket)}
	for i := range w.incoming {
		w.buffers[i] = make([]byte, packetBufferBytes)
		w.incoming[i].Buffers = [][]byte{w.buffers[i][gue.HeaderLength:]}
		w.outgoing[i].Buffers = make([][]byte, 1)
	}
	return w
}

// run forwards packets until ctx is done.
func (w *worker) run(ctx context.Context) {
	for {
		n, err := w.packets.ReadBatch(w.incoming[:], 0)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			events.PacketReadFailed.Log(w.forwarder.Logger, events.ErrorAttr(err))
			continue
		}
		w.sendBatch(w.encapsulateBatch(n))
	}
}

// encapsulateBatch encapsulates n received packets and returns the number of outgoing packets. It drops and counts the
// others.
func (w *worker) encapsulateBatch(n int) int {
	routes := w.forwarder.routes.Load()
	count := 0
	for i := range n {
		buffer := w.buffers[i][:gue.HeaderLength+w.incoming[i].N]
		length, to, reason := Encapsulate(buffer, routes, w.forwarder.Keys)
		if reason != gue.ReasonNone {
			w.forwarder.Counters.CountDrop(reason)
			continue
		}
		w.outgoing[count].Buffers[0] = buffer[:length]
		w.outgoing[count].Addr = to
		count++
	}
	return count
}

// sendBatch writes the first count outgoing packets. It drops a packet whose write fails, because the caller's TCP
// retransmits it.
func (w *worker) sendBatch(count int) {
	for sent := 0; sent < count; {
		n, err := w.packets.WriteBatch(w.outgoing[sent:count], 0)
		sent += max(n, 0)
		w.forwarder.Counters.Forwarded.Add(max(n, 0))
		if err != nil {
			w.forwarder.Counters.CountDrop(gue.ReasonQueue)
			sent++
		}
	}
}
