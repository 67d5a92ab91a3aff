// Package carrier moves packets between sockets and the decisions of package flow.
package carrier

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
	// TickPeriod is the time between two sweeps of the flows.
	TickPeriod = 100 * time.Millisecond
	// bufferBytes holds the longest packet of any form.
	bufferBytes = 2048
	// socketBufferBytes is asked of the kernel: half a second of a core's packets.
	socketBufferBytes = 1 << 20
)

// staleAfter is how long a loop may stand still before what waits in its socket is dropped: callers repeat their
// packets after 200 ms, and flows opened by the old ones would only take room from live ones.
const staleAfter = 400 * time.Millisecond

// leastIdle is the share of its time that a loop waits for packets unless it is behind.
const leastIdle = 0.1

// Stepper decides about what a loop reads. Its methods are called by the loop alone.
type Stepper interface {
	Packet(now time.Time, from netip.AddrPort, packet []byte)
	// Tick is called once in a TickPeriod. Behind says that the loop hardly waited for packets since the last time.
	Tick(now time.Time, behind bool)
	// Woke tells that the process stood still for a while and how many packets were dropped.
	Woke(now time.Time, still time.Duration, dropped int)
}

// Loop reads packets from a socket, one after the other.
type Loop struct {
	Socket  *net.UDPConn
	Stepper Stepper
	Logger  *slog.Logger
}

// Listen opens a UDP socket.
func Listen(a netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.WithStack(&process.ListenError{Address: a.String(), Cause: err})
	}
	_ = c.SetReadBuffer(socketBufferBytes)
	_ = c.SetWriteBuffer(socketBufferBytes)
	return c, nil
}

// Start reads until ctx ends.
func (l *Loop) Start(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = l.Socket.Close() })
	go l.run(ctx)
}

func (l *Loop) run(ctx context.Context) {
	buffer := make([]byte, bufferBytes)
	last := time.Now()
	next := last
	var idle time.Duration
	for {
		now := time.Now()
		if still := stillFor(last, now); still > staleAfter {
			l.Stepper.Woke(now, still, l.discard(buffer))
		}
		last = now
		if !now.Before(next) {
			elapsed := TickPeriod + now.Sub(next)
			l.Stepper.Tick(now, idle < time.Duration(leastIdle*float64(elapsed)))
			idle, next = 0, now.Add(TickPeriod)
			_ = l.Socket.SetReadDeadline(next)
		}
		n, from, err := l.Socket.ReadFromUDPAddrPort(buffer)
		arrived := time.Now()
		idle += arrived.Sub(now)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
		case err != nil:
			events.PacketReadFailed.Log(l.Logger, events.Failure(err))
		case stillFor(last, arrived) > staleAfter:
			// The next round drops the rest.
		default:
			l.Stepper.Packet(arrived, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
		}
	}
}

// stillFor is the time between two moments. A suspended machine's steady clock stands still, but its time of day does not.
func stillFor(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// discard reads what waits in the socket and returns the number of packets.
func (l *Loop) discard(buffer []byte) int {
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

// Deliver sends what a step decided and returns how many packets a socket did not take.
func Deliver(socket *net.UDPConn, out *flow.Output) int {
	failed := 0
	for _, s := range out.Packets {
		if _, err := socket.WriteToUDPAddrPort(s.Packet, s.To); err != nil {
			failed++
		}
	}
	return failed
}
