package control

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// BenchmarkFetch measures what a fetch of a plan of 1,450 routes over the loopback interface costs both processes together,
// by the replies of older builds and in pieces. cpu-ms contains the process time of the connection.
func BenchmarkFetch(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	address := l.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(b, l.Close())
	next := routesPlan(2, 1450)
	serving := &Plans{Logger: slog.New(slog.DiscardHandler), LinkMbps: 100_000, OnPlan: func(*plan.Plan) {}}
	serving.prepare()
	serving.apply(routesPlan(1, 50), "", 0)
	serving.apply(next, "", 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := &peer.Server{Address: address, Handlers: serving.Handlers(), Logger: serving.Logger}
	require.NoError(b, server.Start(ctx))
	pool := &peer.Pool{}
	defer pool.Close()
	measure := func(name string, fetch func(p *Plans) *plan.Plan) {
		b.Run(name, func(b *testing.B) {
			p := &Plans{Pool: pool, Logger: serving.Logger, Self: netip.AddrPort{}}
			before := cpuTime()
			for b.Loop() {
				require.Equal(b, uint64(2), fetch(p).Version)
			}
			b.ReportMetric((cpuTime()-before).Seconds()*1000/float64(b.N), "cpu-ms/op")
		})
	}
	measure("whole", func(p *Plans) *plan.Plan {
		var reply PlanReply
		require.NoError(b, p.Pool.Call(ctx, address, MethodPlan, PlanRequest{}, &reply))
		reply.Plan.Index()
		return &reply.Plan
	})
	base := routesPlan(1, 50)
	measure("pieces", func(p *Plans) *plan.Plan {
		d, err := p.download(ctx, address, base)
		require.NoError(b, err)
		return d.plan
	})
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTimerDelay measures by how much a goroutine that wakes every millisecond is late while plans are decoded on the
// same core, in one piece and in steps.
func BenchmarkTimerDelay(b *testing.B) {
	text, _, err := plan.EncodeUpdate(nil, routesPlan(2, 1450), nil)
	require.NoError(b, err)
	for name, steps := range map[string]*plan.Steps{"onePiece": nil, "inSteps": {}} {
		b.Run(name, func(b *testing.B) {
			benchmarkTimerDelay(b, text, steps)
		})
	}
}

func benchmarkTimerDelay(b *testing.B, text []byte, steps *plan.Steps) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	done := make(chan struct{})
	latest := make(chan []time.Duration)
	go func() {
		var delays []time.Duration
		for {
			started := time.Now()
			time.Sleep(time.Millisecond)
			select {
			case <-done:
				latest <- delays
				return
			default:
				delays = append(delays, time.Since(started)-time.Millisecond)
			}
		}
	}()
	for b.Loop() {
		_, err := plan.DecodeUpdate(bytes.NewReader(text), nil, steps)
		require.NoError(b, err)
		time.Sleep(20 * time.Millisecond)
	}
	close(done)
	delays := <-latest
	slices.Sort(delays)
	b.ReportMetric(float64(delays[len(delays)*99/100].Microseconds())/1000, "p99-ms")
}
