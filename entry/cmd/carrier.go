package cmd

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coltsfootline/coltsfootline/kernel/carrier"
	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/process"
	"github.com/coltsfootline/coltsfootline/kernel/reload"
)

// leaveRotation is how long an entry that is not ready any more still gets packets: two misses at two a second, and
// a margin for flows under way.
const leaveRotation = 2200 * time.Millisecond

// searchBudget is how much of each tick may go into searches: a twentieth, since the answers have to be read, too.
const searchBudget = carrier.TickPeriod / 20

// carrierEntry is an entry before targets that end their flows themselves.
type carrierEntry struct {
	settings *Settings
	process  *process.Process
	node     *control.Node
	core     *flow.Entry
	socket   *net.UDPConn
	recorder *carrier.Recorder
	output   flow.Output
	// directory and plan are handed from the control thread to the traffic thread.
	directory atomic.Pointer[flow.Directory]
	plan      atomic.Pointer[plan.Plan]
	used      usedState
	leaving   atomic.Bool
	queries   *carrier.Queries
	// flows is how many flows the traffic thread remembers.
	flows    atomic.Int64
	reloader *reload.Reloader[*Settings]
}

// usedState is what the traffic thread took over last.
type usedState struct {
	directory *flow.Directory
	plan      *plan.Plan
}

func runCarrier(ctx context.Context, s *Settings, logs io.Writer) error {
	policy, err := placement.FlowPolicies.Get(s.Policy)
	if err != nil {
		return err
	}
	parts, err := carrier.NewParts(s.Form, s.Store, logs, s.Log, s.Instance)
	if err != nil {
		return err
	}
	logger := parts.Logger
	e := &carrierEntry{
		settings: s,
		process: &process.Process{
			Admin: s.Admin, Pprof: s.Pprof, Logger: logger, Readiness: s.Readiness, ReadinessPath: s.ReadinessPath,
		},
		core:     &flow.Entry{Self: s.Packets, DataCentre: s.DataCentre, Codec: parts.Codec, Policy: policy},
		recorder: carrier.NewRecorder(logger, metrics.GetDefaultSet()),
		queries:  carrier.NewQueries(),
	}
	e.reloader = &reload.Reloader[*Settings]{File: reload.FileOf(ctx), New: defaults, Logger: logger, Apply: e.apply}
	e.process.Reload = e.reloader.Check
	e.node = &control.Node{
		Self: facts.Member{
			Instance: s.Instance, Role: facts.RoleEntry, DataCentre: s.DataCentre,
			Packets: s.Packets, Control: s.Control, State: facts.StateServing,
		},
		Routes: s.ControlRoutes, Seeds: s.Peers, Store: parts.Store, Format: parts.Format, Logger: logger,
		OnMembers: e.onMembers, OnPlan: e.onPlan,
	}
	carrier.Gauge("coltsfootline_flows", func() float64 { return float64(e.flows.Load()) })
	return e.process.Run(ctx, e.serve)
}

func (e *carrierEntry) serve(ctx context.Context) error {
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	socket, err := carrier.Listen(e.settings.Packets)
	if err != nil {
		return err
	}
	e.socket = socket
	if err := e.node.Start(lifetime, map[string]peer.Handler{
		peer.MethodStatus: peer.Handle(e.status), carrier.MethodFind: carrier.FindHandler(e.find),
	}); err != nil {
		return err
	}
	e.reloader.Start(lifetime)
	loop := &carrier.Loop{Socket: socket, Stepper: e, Logger: e.process.Logger}
	loop.Start(lifetime)
	<-ctx.Done()
	e.leave(lifetime)
	return nil
}

// apply takes changed settings up; seeds and the log level need no restart.
func (e *carrierEntry) apply(s *Settings) []string {
	events.SetLevel(s.Log.Level)
	e.node.Spread.Do(context.Background(), func(time.Time) { e.node.Spread.SetSeeds(s.Peers) })
	held := *e.settings
	held.Peers, held.Log = s.Peers, s.Log
	restart := reload.ChangedKeys(held, *s)
	e.settings.Peers, e.settings.Log = s.Peers, s.Log
	return restart
}

// leave serves on until the network has stopped using this entry.
func (e *carrierEntry) leave(ctx context.Context) {
	e.leaving.Store(true)
	e.process.SetReady(false)
	time.Sleep(leaveRotation)
	e.node.Spread.Do(ctx, func(now time.Time) { e.node.Spread.SetState(now, facts.StateLeft) })
	e.node.Register.Remove(ctx, e.settings.Instance)
}

// Packet decides about one packet; it runs on the traffic thread.
func (e *carrierEntry) Packet(now time.Time, from netip.AddrPort, packet []byte) {
	e.takeOver(now)
	e.output.Clear()
	e.core.Step(now, from, packet, &e.output)
	e.recorder.Record(now, &e.output, carrier.Deliver(e.socket, &e.output))
}

// Tick sweeps the flows; it runs on the traffic thread.
func (e *carrierEntry) Tick(now time.Time, behind bool) {
	e.takeOver(now)
	e.core.Sweep(now)
	e.queries.Run(now)
	e.flows.Store(int64(e.core.Flows()))
	carrier.Spend(searchBudget, func() bool {
		e.output.Clear()
		more := e.core.Search(now, behind, &e.output)
		e.recorder.Record(now, &e.output, carrier.Deliver(e.socket, &e.output))
		return more
	})
	e.recorder.Tick(now)
}

// Woke drops what waited in the socket; it runs on the traffic thread.
func (e *carrierEntry) Woke(_ time.Time, still time.Duration, dropped int) {
	e.recorder.Woke(still, dropped)
}

func (e *carrierEntry) takeOver(now time.Time) {
	u := usedState{directory: e.directory.Load(), plan: e.plan.Load()}
	if u == e.used {
		return
	}
	e.used = u
	e.core.Use(now, u.plan, u.directory)
}

func (e *carrierEntry) onMembers(_ time.Time, members []facts.Member) {
	e.directory.Store(flow.NewDirectory(members))
	e.updateReady()
}

func (e *carrierEntry) onPlan(p *plan.Plan) {
	e.plan.Store(p)
	e.updateReady()
}

func (e *carrierEntry) updateReady() {
	d := e.directory.Load()
	e.process.SetReady(!e.leaving.Load() && e.plan.Load() != nil && d != nil && d.Placeable() > 0)
}

func (e *carrierEntry) status(context.Context, peer.StatusRequest) (peer.StatusReply, error) {
	v := e.node.Spread.View()
	return peer.StatusReply{Instance: e.settings.Instance, Digest: v.Digest, Members: len(v.Members)}, nil
}

func (e *carrierEntry) find(ctx context.Context, caller gue.Endpoint) []flow.Held {
	var all []flow.Held
	e.queries.Do(ctx, func(now time.Time) { all = e.core.Find(now, caller) })
	return all
}
