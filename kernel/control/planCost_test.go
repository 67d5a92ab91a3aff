package control

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
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
	for _, p := range []*plan.Plan{routesPlan(1, 50), next} {
		serving.apply(time.Now(), "", 0, func(*plan.Plan) *plan.Plan { return p })
	}
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
