package fabric

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/ipv4"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	receiveTimeout        = 5 * time.Second
	maxPacketsInFlight    = 256
	benchmarkPayloadBytes = 100
)

func openSocket(t testing.TB) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	_ = c.SetReadBuffer(socketBufferBytes)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func addressOf(c *net.UDPConn) netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	c := openSocket(t)
	a := addressOf(c)
	require.NoError(t, c.Close())
	return a
}

func startForwarder(t testing.TB, to netip.AddrPort) *Forwarder {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &Forwarder{
		ListenAddress: freeAddress(t),
		Workers:       1,
		Keys:          testKeys,
		Counters:      NewCounters(metrics.NewSet()),
		Logger:        slog.New(slog.DiscardHandler),
	}
	f.SetRoutes(routesTo(to, 2, 7))
	require.NoError(t, f.Start(ctx))
	return f
}

// TestForwarderCountsDrops checks that invalid packets are dropped and counted by reason, and that a valid packet sent
// after them is forwarded unchanged.
func TestForwarderCountsDrops(t *testing.T) {
	agent := openSocket(t)
	f := startForwarder(t, addressOf(agent))
	sender := openSocket(t)
	good := packetFor([4]byte{10, 9, 0, 1}, 1024, 10)[gue.HeaderLength:]
	fragment := append([]byte(nil), good...)
	fragment[6] = 0x20
	unknownService := packetFor([4]byte{10, 9, 7, 7}, 1024, 10)[gue.HeaderLength:]
	for _, p := range [][]byte{fragment, unknownService, good[:10], good} {
		_, err := sender.WriteToUDPAddrPort(p, f.ListenAddress)
		require.NoError(t, err)
	}
	require.NoError(t, agent.SetReadDeadline(time.Now().Add(receiveTimeout)))
	b := make([]byte, packetBufferBytes)
	n, err := agent.Read(b)
	require.NoError(t, err)
	_, inner, reason := gue.ParseHeader(b[:n], testKeys.Packet)
	require.Equal(t, gue.ReasonNone, reason)
	require.Equal(t, good, inner)
	require.Equal(t, uint64(1), f.Counters.Dropped(gue.ReasonFragment))
	require.Equal(t, uint64(1), f.Counters.Dropped(gue.ReasonUnknownAddress))
	require.Equal(t, uint64(1), f.Counters.Dropped(gue.ReasonShort))
}

// relay is the baseline of BenchmarkThroughput. It forwards datagrams in batches without parsing them.
type relay struct {
	packets *ipv4.PacketConn
	to      *net.UDPAddr
}

func (r *relay) run() {
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, packetBufferBytes)}
	}
	out := make([]ipv4.Message, batchSize)
	for i := range out {
		out[i].Buffers = make([][]byte, 1)
		out[i].Addr = r.to
	}
	for {
		n, err := r.packets.ReadBatch(messages, 0)
		if err != nil {
			return
		}
		for i := range n {
			out[i].Buffers[0] = messages[i].Buffers[0][:messages[i].N]
		}
		for done := 0; done < n; {
			sent, err := r.packets.WriteBatch(out[done:n], 0)
			if err != nil {
				return
			}
			done += sent
		}
	}
}

// measureThroughput sends packets to the address under test, which forwards them to sink, with at most
// maxPacketsInFlight outstanding. It reports packets per second.
func measureThroughput(b *testing.B, to netip.AddrPort, sink *net.UDPConn) {
	sender := ipv4.NewPacketConn(openSocket(b))
	receiver := ipv4.NewPacketConn(sink)
	out := make([]ipv4.Message, batchSize)
	for i := range out {
		packet := packetFor([4]byte{10, 9, 0, 1}, uint16(1024+i), benchmarkPayloadBytes)[gue.HeaderLength:]
		out[i] = ipv4.Message{Buffers: [][]byte{packet}, Addr: net.UDPAddrFromAddrPort(to)}
	}
	in := make([]ipv4.Message, batchSize)
	for i := range in {
		in[i].Buffers = [][]byte{make([]byte, packetBufferBytes)}
	}
	sent, received := 0, 0
	b.ResetTimer()
	for received < b.N {
		for sent < b.N && sent-received < maxPacketsInFlight {
			n, err := sender.WriteBatch(out[:min(batchSize, b.N-sent)], 0)
			require.NoError(b, err)
			sent += n
		}
		require.NoError(b, sink.SetReadDeadline(time.Now().Add(receiveTimeout)))
		n, err := receiver.ReadBatch(in, 0)
		require.NoError(b, err)
		received += n
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}

// BenchmarkThroughput compares a forwarder with a plain relay in the same run.
func BenchmarkThroughput(b *testing.B) {
	b.Run("relay", func(b *testing.B) {
		sink := openSocket(b)
		c := openSocket(b)
		go (&relay{packets: ipv4.NewPacketConn(c), to: sink.LocalAddr().(*net.UDPAddr)}).run()
		measureThroughput(b, addressOf(c), sink)
	})
	b.Run("entry", func(b *testing.B) {
		sink := openSocket(b)
		measureThroughput(b, startForwarder(b, addressOf(sink)).ListenAddress, sink)
	})
}
