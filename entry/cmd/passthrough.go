package cmd

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/dataplane"
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

// deregistrationDelay is how long an entry keeps serving after it reports not ready, because the network still sends
// packets to it: the network probes twice a second and removes an entry after two failed probes. The rest is a margin
// for packets in flight.
const deregistrationDelay = 2200 * time.Millisecond

// searchBudget limits the time per tick that is spent on searches to 5%, which leaves time to read the replies.
const searchBudget = dataplane.TickPeriod / 20

// passthroughEntry is an entry for targets that terminate TCP connections themselves. Package flow decides
// where its packets go.
type passthroughEntry struct {
	settings *Settings
	process  *process.Process
	node     *control.Node
	core     *flow.Entry
	socket   *net.UDPConn
	recorder *dataplane.Recorder
	output   flow.Output
	// directory and plan are written by the control thread and read by the traffic thread.
	directory atomic.Pointer[flow.Directory]
	plan      atomic.Pointer[plan.Plan]
	applied   appliedState
	leaving   atomic.Bool
	tasks     *dataplane.TaskQueue
	// flows is the size of the traffic thread's flow table, published for the metric.
	flows    atomic.Int64
	reloader *reload.Reloader[*Settings]
}

// appliedState is the directory and plan that the traffic thread currently uses.
type appliedState struct {
	directory *flow.Directory
	plan      *plan.Plan
}

func runPassthrough(ctx context.Context, s *Settings, logs io.Writer) error {
	policy, err := placement.FlowPolicies.Get(s.Policy)
	if err != nil {
		return err
	}
	components, err := dataplane.NewComponents(s.Form, s.Store, logs, s.Log, s.Instance)
	if err != nil {
		return err
	}
	logger := components.Logger
	e := &passthroughEntry{
		settings: s,
		process: &process.Process{
			Admin: s.Admin, Pprof: s.Pprof, Logger: logger, Readiness: s.Readiness, ReadinessPath: s.ReadinessPath,
		},
		core:     &flow.Entry{Self: s.Packets, DataCentre: s.DataCentre, Codec: components.Codec, Policy: policy},
		recorder: dataplane.NewRecorder(logger, metrics.GetDefaultSet()),
		tasks:    dataplane.NewTaskQueue(),
	}
	e.reloader = &reload.Reloader[*Settings]{File: reload.FileFromContext(ctx), New: defaultSettings, Logger: logger, Apply: e.applySettings}
	e.process.Reload = e.reloader.Check
	e.node = &control.Node{
		Self: facts.Member{
			Instance: s.Instance, Role: facts.RoleEntry, DataCentre: s.DataCentre,
			Packets: s.Packets, Control: s.Control, State: facts.StateServing,
		},
		Routes: s.ControlRoutes, Seeds: s.Peers, Store: components.Store, Format: components.Format, Logger: logger,
		OnMembers: e.onMembers, OnPlan: e.onPlan,
	}
	dataplane.Gauge("coltsfootline_flows", func() float64 { return float64(e.flows.Load()) })
	return e.process.Run(ctx, e.serve)
}

func (e *passthroughEntry) serve(ctx context.Context) error {
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	socket, err := dataplane.Listen(e.settings.Packets)
	if err != nil {
		return err
	}
	e.socket = socket
	if err := e.node.Start(lifetime, map[string]peer.Handler{
		peer.MethodStatus: peer.Handle(e.status), dataplane.MethodFind: dataplane.FindHandler(e.find),
	}); err != nil {
		return err
	}
	e.reloader.Start(lifetime)
	loop := &dataplane.Loop{Socket: socket, Handler: e, Logger: e.process.Logger}
	loop.Start(lifetime)
	<-ctx.Done()
	e.leave(lifetime)
	return nil
}

// applySettings applies reloaded settings and returns the keys whose changes need a restart. Peers and the log level
// take effect without one.
func (e *passthroughEntry) applySettings(s *Settings) []string {
	events.SetLevel(s.Log.Level)
	e.node.Gossip.Do(context.Background(), func(time.Time) { e.node.Gossip.SetSeeds(s.Peers) })
	current := *e.settings
	current.Peers, current.Log = s.Peers, s.Log
	restart := reload.ChangedKeys(current, *s)
	e.settings.Peers, e.settings.Log = s.Peers, s.Log
	return restart
}

// leave reports not ready, keeps serving until the network has stopped using this entry, and removes it from the
// membership.
func (e *passthroughEntry) leave(ctx context.Context) {
	e.leaving.Store(true)
	e.process.SetReady(false)
	time.Sleep(deregistrationDelay)
	e.node.Gossip.Do(ctx, func(now time.Time) { e.node.Gossip.SetState(now, facts.StateLeft) })
	e.node.Registrar.Remove(ctx, e.settings.Instance)
}

// Packet processes one received packet. It runs on the traffic thread.
func (e *passthroughEntry) Packet(now time.Time, from netip.AddrPort, packet []byte) {
	e.applyUpdates(now)
	e.output.Clear()
	e.core.HandlePacket(now, from, packet, &e.output)
	e.recorder.Record(now, &e.output, dataplane.SendAll(e.socket, &e.output))
}

// Tick expires flows, runs one queued task and continues searches. It runs on the traffic thread.
func (e *passthroughEntry) Tick(now time.Time, behind bool) {
	e.applyUpdates(now)
	e.core.Sweep(now)
	e.tasks.RunOne(now)
	e.flows.Store(int64(e.core.FlowCount()))
	dataplane.RepeatWithin(searchBudget, func() bool {
		e.output.Clear()
		more := e.core.ContinueSearches(now, behind, &e.output)
		e.recorder.Record(now, &e.output, dataplane.SendAll(e.socket, &e.output))
		return more
	})
	e.recorder.Tick(now)
}

// Resumed logs that the process resumed after a pause. It runs on the traffic thread.
func (e *passthroughEntry) Resumed(_ time.Time, paused time.Duration, dropped int) {
	e.recorder.Resumed(paused, dropped)
}

// applyUpdates passes a new directory or plan to the core, if there is one.
func (e *passthroughEntry) applyUpdates(now time.Time) {
	latest := appliedState{directory: e.directory.Load(), plan: e.plan.Load()}
	if latest == e.applied {
		return
	}
	e.applied = latest
	e.core.Update(now, latest.plan, latest.directory)
}

func (e *passthroughEntry) onMembers(_ time.Time, members []facts.Member) {
	e.directory.Store(flow.NewDirectory(members))
	e.updateReady()
}

func (e *passthroughEntry) onPlan(p *plan.Plan) {
	e.plan.Store(p)
	e.updateReady()
}

func (e *passthroughEntry) updateReady() {
	d := e.directory.Load()
	e.process.SetReady(!e.leaving.Load() && e.plan.Load() != nil && d != nil && d.PlaceableCount() > 0)
}

func (e *passthroughEntry) status(context.Context, peer.StatusRequest) (peer.StatusReply, error) {
	v := e.node.Gossip.View()
	return peer.StatusReply{Instance: e.settings.Instance, Digest: v.Digest, Members: len(v.Members)}, nil
}

func (e *passthroughEntry) find(ctx context.Context, caller gue.Endpoint) []flow.Info {
	var all []flow.Info
	e.tasks.Do(ctx, func(now time.Time) { all = e.core.Find(now, caller) })
	return all
}
