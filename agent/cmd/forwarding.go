package cmd

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/announce"
	"github.com/coltsfootline/coltsfootline/kernel/control"
	"github.com/coltsfootline/coltsfootline/kernel/dataplane"
	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/process"
	"github.com/coltsfootline/coltsfootline/kernel/reload"
)

const (
	// inFlightLimit is how long a stopping agent continues to forward packets of requests in flight.
	inFlightLimit = 1500 * time.Millisecond
	// inFlightPollInterval is how often a stopping agent checks whether any requests are in flight.
	inFlightPollInterval = 20 * time.Millisecond
)

// forwardingAgent is an agent beside a target that terminates its flows itself: it forwards packets between the entries
// and the target.
type forwardingAgent struct {
	settings *Settings
	process  *process.Process
	node     *control.Node
	form     announce.Protocol
	packets  *net.UDPConn
	outbound *net.UDPConn
	reloader *reload.Reloader[*Settings]

	// mutex guards the fields below, which the loops of both sockets, the announcement handler and the control goroutine
	// share.
	mutex    sync.Mutex
	core     *flow.Agent
	tracker  announce.Tracker
	recorder *dataplane.Recorder
	output   flow.Output
}

func runForwarding(ctx context.Context, s *Settings, logs io.Writer) error {
	form, err := announce.Protocols.Get(s.Form)
	if err != nil {
		return err
	}
	parts, err := dataplane.NewComponents(s.Form, s.Store, logs, s.Log, s.Instance)
	if err != nil {
		return err
	}
	logger := parts.Logger
	a := &forwardingAgent{
		settings: s,
		process: &process.Process{
			Admin: s.Admin, Pprof: s.Pprof, Logger: logger, Readiness: s.Readiness, ReadinessPath: s.ReadinessPath,
		},
		form:     form,
		core:     &flow.Agent{Self: s.Packets, Service: s.Service, Target: s.TargetPackets, Codec: parts.Codec},
		tracker:  announce.Tracker{Service: s.Service},
		recorder: dataplane.NewRecorder(logger, metrics.GetDefaultSet()),
	}
	a.reloader = &reload.Reloader[*Settings]{File: reload.FileFromContext(ctx), New: defaults, Logger: logger, Apply: a.apply}
	a.process.Reload = a.reloader.Check
	a.node = &control.Node{
		Self: facts.Member{
			Instance: s.Instance, Role: facts.RoleAgent, DataCentre: s.DataCentre, Service: s.Service,
			Packets: s.Packets, Control: s.Control, State: facts.StateServing,
		},
		Routes: s.ControlRoutes, Store: parts.Store, Format: parts.Format, Logger: logger, Seeds: s.Entries,
		OnMembers: a.onMembers, OnPlan: a.onPlan, OnRestore: a.restore,
	}
	dataplane.Gauge("coltsfootline_flows", func() float64 {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		return float64(a.core.FlowCount())
	})
	a.core.ObserveServiceTime = metrics.GetOrCreateHistogram("coltsfootline_agent_service_seconds").Update
	return a.process.Run(ctx, a.serve)
}

func (a *forwardingAgent) serve(ctx context.Context) error {
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var err error
	if a.packets, err = dataplane.Listen(a.settings.Packets); err != nil {
		return err
	}
	if a.outbound, err = dataplane.Listen(a.settings.Outbound); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", a.settings.Announcements.String())
	if err != nil {
		return errors.WithStack(&process.ListenError{Address: a.settings.Announcements.String(), Cause: err})
	}
	if err := a.node.Start(lifetime, map[string]peer.Handler{
		peer.MethodStatus: peer.Handle(a.status), dataplane.MethodFind: dataplane.FindHandler(a.find),
	}); err != nil {
		return err
	}
	a.reloader.Start(lifetime)
	server := &announcementServer{listener: listener, handler: a.form.Handler(a), logger: a.process.Logger}
	context.AfterFunc(lifetime, func() { _ = listener.Close() })
	go server.run()
	(&dataplane.Loop{Socket: a.packets, Handler: entryPacketHandler{a}, Logger: a.process.Logger}).Start(lifetime)
	(&dataplane.Loop{Socket: a.outbound, Handler: targetPacketHandler{a}, Logger: a.process.Logger}).Start(lifetime)
	<-ctx.Done()
	a.shutDown(lifetime)
	return nil
}

// apply applies changed settings and returns the keys that need a restart. The entries and the log level need none.
func (a *forwardingAgent) apply(s *Settings) []string {
	events.SetLevel(s.Log.Level)
	a.node.Gossip.Do(context.Background(), func(time.Time) { a.node.Gossip.SetSeeds(s.Entries) })
	applied := *a.settings
	applied.Entries, applied.Log = s.Entries, s.Log
	restart := reload.ChangedKeys(applied, *s)
	a.settings.Entries, a.settings.Log = s.Entries, s.Log
	return restart
}

// shutDown tells the entries to place new flows on other agents and waits up to inFlightLimit for requests in flight. If
// the target is gone, it removes the instance from the store and returns at once.
func (a *forwardingAgent) shutDown(ctx context.Context) {
	a.mutex.Lock()
	a.core.RefuseNewFlows()
	target, known := a.tracker.Target()
	a.mutex.Unlock()
	gone := known && target.State == facts.TargetGone
	state := facts.StateDraining
	if gone {
		state = facts.StateLeft
	}
	a.node.Gossip.Do(ctx, func(now time.Time) { a.node.Gossip.SetState(now, state) })
	if gone {
		a.node.Registrar.Remove(ctx, a.settings.Instance)
		return
	}
	for end := time.Now().Add(inFlightLimit); time.Now().Before(end); time.Sleep(inFlightPollInterval) {
		a.mutex.Lock()
		busy := a.core.BusyFlowCount()
		a.mutex.Unlock()
		if busy == 0 {
			return
		}
	}
}

// Accept handles an announcement of the target.
func (a *forwardingAgent) Accept(now time.Time, n announce.Announcement) bool {
	a.mutex.Lock()
	target, verdict := a.tracker.Apply(n)
	if verdict == announce.ResultUnchanged || verdict == announce.ResultChanged {
		a.step(now, func(out *flow.Output) { a.core.UpdateTarget(now, target, true, out) })
	}
	a.mutex.Unlock()
	switch verdict {
	case announce.ResultUnchanged:
		return true
	case announce.ResultChanged:
		a.targetChanged(target, "announcement", n.Sequence)
		return true
	case announce.ResultStale:
		a.RecordRefusal(now, "late")
		// Report success, so that the sender does not repeat an announcement that is already out of date.
		return true
	}
	a.RecordRefusal(now, "otherService")
	return false
}

// RecordRefusal counts and logs a rejected announcement.
func (a *forwardingAgent) RecordRefusal(_ time.Time, reason string) {
	metrics.GetOrCreateCounter(`coltsfootline_agent_announcements_refused_total{reason="` + reason + `"}`).Inc()
	events.AnnouncementRefused.Log(a.process.Logger, slog.String("reason", reason))
}

// targetChanged logs a changed target and publishes it to the other instances.
func (a *forwardingAgent) targetChanged(t facts.Target, source string, sequence uint64) {
	events.TargetChanged.Log(a.process.Logger, slog.String("target", t.ID), slog.Int64("bornMs", t.StartedMs),
		slog.String("state", string(t.State)), slog.Int("slots", t.Slots), slog.String("source", source),
		slog.Uint64("sequence", sequence))
	a.node.Gossip.Do(context.Background(), func(now time.Time) { a.node.Gossip.SetTarget(now, t) })
}

// onMembers updates the directory of hosts after a change of the members. It runs on the control goroutine.
func (a *forwardingAgent) onMembers(_ time.Time, members []facts.Member) {
	d := flow.NewDirectory(members)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.core.SetDirectory(d)
}

// restore uses the state of the target that the store holds from before the start. It does nothing if the target has
// already announced itself or if the stored state says that it is gone.
func (a *forwardingAgent) restore(m facts.Member) {
	if m.Target == nil || m.Target.State == facts.TargetGone {
		return
	}
	now := time.Now()
	a.mutex.Lock()
	restored := a.tracker.Restore(*m.Target)
	if restored {
		a.step(now, func(out *flow.Output) { a.core.UpdateTarget(now, *m.Target, false, out) })
	}
	a.mutex.Unlock()
	if restored {
		a.targetChanged(*m.Target, "store", 0)
	}
}

func (a *forwardingAgent) onPlan(p *plan.Plan) {
	a.mutex.Lock()
	a.core.SetPlan(p)
	a.mutex.Unlock()
	a.process.SetReady(true)
}

// step runs decide, sends the packets of its output and records its decisions. The mutex must be held.
func (a *forwardingAgent) step(now time.Time, decide func(out *flow.Output)) {
	a.output.Clear()
	decide(&a.output)
	a.recorder.Record(now, &a.output, a.send(&a.output))
}

// send sends packets to the target from the outbound socket, whose address the target knows, and all others from the
// packet socket. It returns how many packets could not be sent.
func (a *forwardingAgent) send(out *flow.Output) int {
	failed := 0
	for _, s := range out.Packets {
		socket := a.packets
		if s.To == a.settings.TargetPackets {
			socket = a.outbound
		}
		if _, err := socket.WriteToUDPAddrPort(s.Packet, s.To); err != nil {
			failed++
		}
	}
	return failed
}

func (a *forwardingAgent) status(context.Context, peer.StatusRequest) (peer.StatusReply, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return peer.StatusReply{
		Instance: a.settings.Instance, Digest: a.node.Gossip.View().Digest, Open: a.core.FlowCount(), Busy: a.core.BusyFlowCount(),
	}, nil
}

func (a *forwardingAgent) find(_ context.Context, caller gue.Endpoint) []flow.Info {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.core.Find(time.Now(), caller)
}

// announcementServer serves the HTTP endpoint at which the target announces itself.
type announcementServer struct {
	listener net.Listener
	handler  http.Handler
	logger   *slog.Logger
}

func (s *announcementServer) run() {
	err := http.Serve(s.listener, s.handler)
	if !errors.Is(err, net.ErrClosed) {
		events.AdminFailed.Log(s.logger, events.ErrorAttr(err))
	}
}
