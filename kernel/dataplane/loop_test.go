package dataplane

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// panickingHandler panics on the packet "bad" and passes on the others.
type panickingHandler struct{ packets chan string }

func (h panickingHandler) Packet(_ time.Time, _ netip.AddrPort, packet []byte) {
	if string(packet) == "bad" {
		panic("no host")
	}
	h.packets <- string(packet)
}

func (panickingHandler) Tick(time.Time, bool) {}

func (panickingHandler) Resumed(time.Time, time.Duration, int) {}

// A packet for which a decision panicked once ended every entry that got it, again after each restart.
func TestPanicOnOnePacketDoesNotEndTheLoop(t *testing.T) {
	socket, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := panickingHandler{packets: make(chan string, 1)}
	(&Loop{Socket: socket, Handler: h, Logger: slog.New(slog.DiscardHandler)}).Start(ctx)
	sender, err := net.Dial("udp4", socket.LocalAddr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, sender.Close()) }()
	require.Eventually(t, func() bool {
		_, err := sender.Write([]byte("bad"))
		require.NoError(t, err)
		_, err = sender.Write([]byte("good"))
		require.NoError(t, err)
		select {
		case packet := <-h.packets:
			return packet == "good"
		case <-time.After(50 * time.Millisecond):
			return false
		}
	}, 10*time.Second, 10*time.Millisecond)
}
