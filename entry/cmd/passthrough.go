package cmd

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
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

// passthroughEntry is an entry for targets that terminate callers' TCP connections themselves. Package flow decides
// where its packets go.
type passthroughEntry struct {
	settings  *Settings
	process   *process.Process
	node      *control.Node
	flowEntry *flow.Entry
	socket    *net.UDPConn
	recorder  *dataplane.Recorder
	output    flow.Output
	// directory and plan are the latest ones. The control goroutine writes them and the packet loop reads them.
	directory atomic.Pointer[flow.Directory]
	plan      atomic.Pointer[plan.Plan]
	// addressHolders maps the agents that lost their address to the ones that hold it. Only the control goroutine accesses
	// it.
	addressHolders map[string]string
	// current is what flowEntry uses. Only the packet loop accesses it.
	current      snapshot
	shuttingDown atomic.Bool
	// readyMutex makes the last call of updateReady win, which two goroutines call.
	readyMutex sync.Mutex
	tasks      *dataplane.TaskQueue
	// flowCount is the size of the flow table as of the last tick. Only the packet loop may access the table itself.
	flowCount atomic.Int64
	reloader  *reload.Reloader[*Settings]
	ejections ejectionReport
}

// snapshot is a directory and a plan that are used together.
type snapshot struct {
	directory *flow.Directory
	plan      *plan.Plan
}

// runPassthrough runs an entry for targets that terminate callers' TCP connections themselves.
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
		flowEntry: &flow.Entry{Self: s.Packets, DataCentre: s.DataCentre, Codec: components.Codec, Policy: policy, LinkMbps: s.LinkMbps, FlowLifetime: s.FlowLifetime, Contention: s.Contention, Ejection: s.Ejection},
		recorder:  dataplane.NewRecorder(logger, metrics.GetDefaultSet()),
		tasks:     dataplane.NewTaskQueue(),
	}
	e.reloader = &reload.Reloader[*Settings]{File: reload.FileFromContext(ctx), New: defaultSettings, Logger: logger, Apply: e.applySettings}
	e.process.Reload = e.reloader.Check
	e.node = &control.Node{
		Self: facts.Member{
			Instance: s.Instance, Role: facts.RoleEntry, DataCentre: s.DataCentre,
			Packets: s.Packets, Control: s.Control, State: facts.StateServing, LinkMbps: s.LinkMbps,
		},
		Routes: s.ControlRoutes, Seeds: s.Peers, Store: components.Store, Format: components.Format, Logger: logger,
		Selection:         peer.Selection{SpanDataCentres: s.TolerateDataCentres > 0},
		FollowEvacuations: s.Evacuations,
		OnMembers:         e.onMembers, OnPlan: e.onPlan,
	}
	dataplane.RegisterGauge("coltsfootline_flows", func() float64 { return float64(e.flowCount.Load()) })
	return e.process.Run(ctx, e.serve)
}

// serve runs until ctx is done, then shuts down. Everything that it starts runs until the shutdown is complete.
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
		dataplane.MethodWhere: dataplane.WhereHandler(e.where),
	}); err != nil {
		return err
	}
	e.reloader.Start(lifetime)
	loop := &dataplane.Loop{Socket: socket, Handler: e, Logger: e.process.Logger}
	loop.Start(lifetime)
	<-ctx.Done()
	e.shutDown(lifetime)
	return nil
}

// applySettings applies reloaded settings and returns the keys whose changes need a restart. Peers and the log level
// take effect without one.
func (e *passthroughEntry) applySettings(s *Settings) []string {
	events.SetLevel(s.Log.Level)
	e.node.Gossip.Do(context.Background(), func(time.Time) { e.node.Gossip.SetSeeds(s.Peers) })
	effective := *e.settings
	effective.Peers, effective.Log = s.Peers, s.Log
	needRestart := reload.ChangedKeys(effective, *s)
	e.settings.Peers, e.settings.Log = s.Peers, s.Log
	return needRestart
}

// shutDown reports not ready, keeps forwarding until the network has stopped sending packets to this entry, and removes
// the entry from the membership and the store.
func (e *passthroughEntry) shutDown(ctx context.Context) {
	e.shuttingDown.Store(true)
	e.process.SetStopping()
	time.Sleep(deregistrationDelay)
	e.node.Gossip.Leave(ctx)
	e.node.Registrar.Remove(ctx)
}

// Packet processes one received packet. It runs on the packet loop's goroutine.
func (e *passthroughEntry) Packet(now time.Time, from netip.AddrPort, packet []byte) {
	e.applyUpdates(now)
	e.output.Clear()
	e.flowEntry.HandlePacket(now, from, packet, &e.output)
	e.recorder.Record(now, &e.output, dataplane.SendAll(e.socket, &e.output))
}

// Tick expires flows, runs one queued task and continues searches. It runs on the packet loop's goroutine.
func (e *passthroughEntry) Tick(now time.Time, overloaded bool) {
	e.applyUpdates(now)
	e.releaseHeld(now)
	e.flowEntry.Sweep(now)
	e.updateEjections(now)
	e.tasks.RunOne(now)
	e.flowCount.Store(int64(e.flowEntry.FlowCount()))
	dataplane.RepeatWithin(searchBudget, func() bool {
		e.output.Clear()
		more := e.flowEntry.ContinueSearches(now, overloaded, &e.output)
		e.recorder.Record(now, &e.output, dataplane.SendAll(e.socket, &e.output))
		return more
	})
	e.recorder.LogSuppressed(now)
}

// Resumed logs that the process resumed after a pause and how many queued packets were dropped. It runs on the packet
// loop's goroutine.
func (e *passthroughEntry) Resumed(_ time.Time, paused time.Duration, dropped int) {
	e.recorder.LogResumed(paused, dropped)
}

// applyUpdates passes the latest directory and plan to the flow entry if either has changed.
func (e *passthroughEntry) applyUpdates(now time.Time) {
	e.flowEntry.NewestPlan = e.node.Plans.NewestVersion()
	latest := snapshot{directory: e.directory.Load(), plan: e.plan.Load()}
	if latest == e.current {
		return
	}
	e.current = latest
	e.flowEntry.Update(now, latest.plan, latest.directory)
	e.releaseHeld(now)
}

// releaseHeld places the SYNs that waited for the first host of their service.
func (e *passthroughEntry) releaseHeld(now time.Time) {
	e.output.Clear()
	e.flowEntry.ReleaseHeld(now, &e.output)
	e.recorder.Record(now, &e.output, dataplane.SendAll(e.socket, &e.output))
}

// onMembers replaces the directory of hosts after a change of members or evacuations. It runs on the control goroutine.
func (e *passthroughEntry) onMembers(_ time.Time, members []facts.Member, evacuations facts.Evacuations) {
	d := flow.NewDirectoryWithEvacuations(members, evacuations)
	d.Listed = e.node.Registrar.Listed()
	e.logConflicts(d.Conflicts)
	e.directory.Store(d)
	e.updateReady()
}

// logConflicts logs the agents that lost their address since the previous call. It runs on the control goroutine.
func (e *passthroughEntry) logConflicts(conflicts []facts.AddressConflict) {
	current := make(map[string]string, len(conflicts))
	for _, c := range conflicts {
		current[c.Loser.Instance] = c.Holder.Instance
		if e.addressHolders[c.Loser.Instance] != c.Holder.Instance {
			events.AddressTaken.Log(e.process.Logger, slog.String("member", c.Loser.Instance), slog.String("to", c.Holder.Instance),
				slog.String("address", c.Holder.Packets.Addr().String()), slog.String("state", string(c.Loser.State)))
		}
	}
	e.addressHolders = current
}

// onPlan replaces the plan unless the new one is older than the current one. Two goroutines may call it, in any order of
// versions.
func (e *passthroughEntry) onPlan(p *plan.Plan) {
	for {
		current := e.plan.Load()
		if !current.Precedes(p) {
			return
		}
		if e.plan.CompareAndSwap(current, p) {
			break
		}
	}
	e.updateReady()
}

// updateReady reports ready if there is a plan and a host that can take new flows, unless the entry shuts down. If all
// hosts are evacuated, the entry is ready, too: it forwards their open flows and refuses new ones.
func (e *passthroughEntry) updateReady() {
	e.readyMutex.Lock()
	defer e.readyMutex.Unlock()
	d := e.directory.Load()
	hasHosts := d != nil && d.PlaceableCount()+d.EvacuatedCount() > 0
	e.process.SetReady(!e.shuttingDown.Load() && e.plan.Load() != nil && hasHosts)
}

func (e *passthroughEntry) status(context.Context, peer.StatusRequest) (peer.StatusReply, error) {
	v := e.node.Gossip.View()
	return peer.StatusReply{Instance: e.settings.Instance, Digest: v.Digest, Members: len(v.Members), Ejected: e.ejections.ejected()}, nil
}

// find returns the flows of a caller that this entry has in its flow table.
func (e *passthroughEntry) find(ctx context.Context, caller gue.Endpoint) []flow.Info {
	var all []flow.Info
	e.tasks.Do(ctx, func(now time.Time) { all = e.flowEntry.Find(now, caller) })
	return all
}

// where explains where a new flow would go now.
func (e *passthroughEntry) where(ctx context.Context, f gue.Flow) (flow.Where, error) {
	var w flow.Where
	if !e.tasks.Do(ctx, func(now time.Time) { w = e.flowEntry.Where(now, f) }) {
		return w, ctx.Err()
	}
	w.Instance, w.Policy = e.settings.Instance, e.settings.Policy
	return w, nil
}
