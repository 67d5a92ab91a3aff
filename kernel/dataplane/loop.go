// Package dataplane is the packet I/O layer. It reads packets from UDP sockets and passes them to the state machines of
// package flow. It sends the packets that these return, and logs and counts their decisions.
package dataplane

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/process"
)

const (
	// TickPeriod is the interval between two calls of Handler.Tick.
	TickPeriod = 100 * time.Millisecond
	// packetBufferBytes is the size of the read buffer. No packet form has longer packets.
	packetBufferBytes = 2048
	// socketBufferBytes is the requested socket buffer size. It holds the packets that one core processes in half a
	// second.
	socketBufferBytes = 1 << 20
)

// maxPause is the longest pause after which a loop still processes the packets queued in its socket. After a longer
// pause, it drops them: callers retransmit after 200 ms, and flows opened by outdated packets would only use capacity
// that live flows need.
const maxPause = 400 * time.Millisecond

// readRetryDelay is the pause after a failed read. Without it, a socket that keeps failing would use the whole core.
const readRetryDelay = 10 * time.Millisecond

// minIdleShare is the share of a tick that a loop must spend waiting for packets. Below it, the loop counts as
// overloaded.
const minIdleShare = 0.1

// Handler processes the packets and ticks of a Loop. The loop calls its methods from a single goroutine.
type Handler interface {
	// Packet processes one received packet. The buffer is reused after the call.
	Packet(now time.Time, from netip.AddrPort, packet []byte)
	// Tick is called once per TickPeriod. overloaded reports whether the loop has spent almost no time waiting for packets
	// since the last tick.
	Tick(now time.Time, overloaded bool)
	// Resumed is called when the process resumes after a pause longer than maxPause, for example because the machine was
	// suspended. dropped is the number of queued packets that the loop discarded.
	Resumed(now time.Time, paused time.Duration, dropped int)
}

// Loop reads packets from a socket and passes them to a Handler, one at a time.
type Loop struct {
	Socket  *net.UDPConn
	Handler Handler
	Logger  *slog.Logger

	suspensions suspensionClock
}

// Listen opens an IPv4 UDP socket and requests larger buffers for it.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.WithStack(&process.ListenError{Address: address.String(), Cause: err})
	}
	_ = c.SetReadBuffer(socketBufferBytes)
	_ = c.SetWriteBuffer(socketBufferBytes)
	return c, nil
}

// Start runs the loop in a new goroutine until ctx is done, then closes the socket.
func (l *Loop) Start(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = l.Socket.Close() })
	go l.run(ctx)
}

// run reads packets and calls the handler until ctx is done.
func (l *Loop) run(ctx context.Context) {
	buffer := make([]byte, packetBufferBytes)
	l.suspensions.advance()
	previous := time.Now()
	nextTick := previous
	var idle time.Duration
	for {
		now := time.Now()
		if paused := l.suspensions.pauseBetween(previous, now); paused > maxPause {
			l.Handler.Resumed(now, paused, l.discardPending(buffer))
		}
		previous = now
		if !now.Before(nextTick) {
			elapsed := TickPeriod + now.Sub(nextTick)
			l.Handler.Tick(now, idle < time.Duration(minIdleShare*float64(elapsed)))
			idle, nextTick = 0, now.Add(TickPeriod)
			_ = l.Socket.SetReadDeadline(nextTick)
		}
		n, from, err := l.Socket.ReadFromUDPAddrPort(buffer)
		arrived := time.Now()
		idle += arrived.Sub(now)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
		case err != nil:
			events.PacketReadFailed.Log(l.Logger, events.ErrorAttr(err))
			time.Sleep(readRetryDelay)
		case l.suspensions.pauseBetween(previous, arrived) > maxPause:
			// Drop this packet. The next iteration discards the rest of the socket's queue.
		default:
			l.handle(arrived, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
		}
	}
}

// handle passes a packet to the handler. If that panics, it drops the packet: one packet must not end the process, and
// after its restart the next one.
func (l *Loop) handle(now time.Time, from netip.AddrPort, packet []byte) {
	defer events.RecoverInput(l.Logger, "packet")
	l.Handler.Packet(now, from, packet)
}

// discardPending reads and discards the packets in the socket's receive queue, for at most 1 ms, and returns their
// number.
func (l *Loop) discardPending(buffer []byte) int {
	dropped := 0
	_ = l.Socket.SetReadDeadline(time.Now().Add(time.Millisecond))
	for {
		if _, _, err := l.Socket.ReadFromUDPAddrPort(buffer); err != nil {
			break
		}
		dropped++
	}
	_ = l.Socket.SetReadDeadline(time.Now().Add(TickPeriod))
	return dropped
}

// SendAll sends the packets of an output and returns the number that could not be sent.
func SendAll(socket *net.UDPConn, out *flow.Output) int {
	failed := 0
	for _, s := range out.Packets {
		if _, err := socket.WriteToUDPAddrPort(s.Packet, s.To); err != nil {
			failed++
		}
	}
	return failed
}
