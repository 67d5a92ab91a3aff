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
	// inProgressTimeout is how long an agent that shuts down waits for requests in progress and forwards their packets.
	inProgressTimeout = 1500 * time.Millisecond
	// inProgressPollInterval is how often an agent that shuts down checks whether requests are in progress.
	inProgressPollInterval = 20 * time.Millisecond
)

// passthroughAgent is an agent for a target that terminates callers' TCP connections itself. It forwards packets
// between the entries and the target. Package flow decides where they go.
type passthroughAgent struct {
	settings *Settings
	process  *process.Process
	node     *control.Node
	protocol announce.Protocol
	packets  *net.UDPConn
	outbound *net.UDPConn
	reloader *reload.Reloader[*Settings]

	// mutex guards the fields below. They are shared by the loops of both sockets, the announcement handler, the control
	// goroutine and the metrics server.
	mutex     sync.Mutex
	flowAgent *flow.Agent
	tracker   announce.Tracker
	recorder  *dataplane.Recorder
	output    flow.Output
	// published is the last state of the target that was given to publishTarget, or nil.
	published *facts.Target
}

// runPassthrough runs an agent for a target that terminates callers' TCP connections itself.
func runPassthrough(ctx context.Context, s *Settings, logs io.Writer) error {
	protocol, err := announce.Protocols.Get(s.Form)
	if err != nil {
		return err
	}
	components, err := dataplane.NewComponents(s.Form, s.Store, logs, s.Log, s.Instance)
	if err != nil {
		return err
	}
	logger := components.Logger
	a := &passthroughAgent{
		settings: s,
		process: &process.Process{
			Admin: s.Admin, Pprof: s.Pprof, Logger: logger, Readiness: s.Readiness, ReadinessPath: s.ReadinessPath,
		},
		protocol: protocol,
		flowAgent: &flow.Agent{
			Self: s.Packets, Service: s.Service, Target: s.TargetPackets, Codec: components.Codec,
			ColdLimits: flow.ColdLimits{Overshoot: s.ColdOvershoot, Slack: s.ColdSlack}, Paced: s.Pace, Contention: s.Contention, Scored: s.Ejection,
		},
		tracker:  announce.Tracker{Service: s.Service},
		recorder: dataplane.NewRecorder(logger, metrics.GetDefaultSet()),
	}
	a.flowAgent.Start(time.Now())
	a.reloader = &reload.Reloader[*Settings]{File: reload.FileFromContext(ctx), New: defaultSettings, Logger: logger, Apply: a.applySettings}
	a.process.Reload = a.reloader.Check
	a.node = &control.Node{
		Self: facts.Member{
			Instance: s.Instance, Role: facts.RoleAgent, DataCentre: s.DataCentre, Service: s.Service,
			Packets: s.Packets, Control: s.Control, State: facts.StateServing, SynTrailer: true, RouteQuestions: true,
		},
		Routes: s.ControlRoutes, Store: components.Store, Format: components.Format, Logger: logger, Seeds: s.Entries,
		Selection:         peer.Selection{SpanDataCentres: s.TolerateDataCentres > 0},
		FollowEvacuations: s.Evacuations,
		OnMembers:         a.onMembers, OnPlan: a.onPlan, OnRestore: a.restore,
	}
	dataplane.RegisterGauge("coltsfootline_flows", func() float64 {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		return float64(a.flowAgent.FlowCount())
	})
	dataplane.RegisterGauge("coltsfootline_agent_pace", func() float64 {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		return float64(a.flowAgent.PaceLimit())
	})
	dataplane.RegisterGauge("coltsfootline_agent_cold", func() float64 {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		if a.flowAgent.IsCold(time.Now()) {
			return 1
		}
		return 0
	})
	a.flowAgent.ObserveServiceTime = metrics.GetOrCreateHistogram("coltsfootline_agent_service_seconds").Update
	return a.process.Run(ctx, a.serve)
}

// serve runs until ctx is done, then shuts down. Everything that it starts runs until the shutdown is complete.
func (a *passthroughAgent) serve(ctx context.Context) error {
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
	a.mutex.Lock()
	a.checkTarget(time.Now())
	a.mutex.Unlock()
	server := &announcementServer{listener: listener, handler: a.protocol.Handler(a), logger: a.process.Logger}
	context.AfterFunc(lifetime, func() { _ = listener.Close() })
	go server.run()
	(&dataplane.Loop{Socket: a.packets, Handler: entryPacketHandler{a}, Logger: a.process.Logger}).Start(lifetime)
	(&dataplane.Loop{Socket: a.outbound, Handler: targetPacketHandler{a}, Logger: a.process.Logger}).Start(lifetime)
	<-ctx.Done()
	a.shutDown(lifetime)
	return nil
}

// applySettings applies reloaded settings and returns the keys whose changes need a restart. Entries and the log level
// take effect without one.
func (a *passthroughAgent) applySettings(s *Settings) []string {
	events.SetLevel(s.Log.Level)
	a.node.Gossip.Do(context.Background(), func(time.Time) { a.node.Gossip.SetSeeds(s.Entries) })
	effective := *a.settings
	effective.Entries, effective.Log = s.Entries, s.Log
	needRestart := reload.ChangedKeys(effective, *s)
	a.settings.Entries, a.settings.Log = s.Entries, s.Log
	return needRestart
}

// shutDown tells the entries to place new flows on other agents and waits up to inProgressTimeout for requests in
// progress. If the target has terminated, it instead removes the instance from the membership and the store and returns at
// once. Entries would otherwise wait for its denials until they found it silent.
func (a *passthroughAgent) shutDown(ctx context.Context) {
	a.mutex.Lock()
	a.flowAgent.RefuseNewFlows()
	target, known := a.latestTarget()
	a.mutex.Unlock()
	// The port of a draining target may refuse connections while a request is in progress.
	gone := known && target.State == facts.TargetGone || target.State != facts.TargetDraining && a.targetRefusesConnections()
	if gone {
		a.node.Gossip.Leave(ctx)
		a.node.Registrar.Remove(ctx)
		return
	}
	a.node.Gossip.Do(ctx, func(now time.Time) { a.node.Gossip.SetState(now, facts.StateDraining) })
	for end := time.Now().Add(inProgressTimeout); time.Now().Before(end); time.Sleep(inProgressPollInterval) {
		a.mutex.Lock()
		inProgress := a.flowAgent.BusyFlowCount()
		a.mutex.Unlock()
		if inProgress == 0 {
			return
		}
	}
}

// Accept processes an announcement of the target and reports whether it was taken into account. It implements
// announce.Sink.
func (a *passthroughAgent) Accept(now time.Time, announcement announce.Announcement) bool {
	a.mutex.Lock()
	previous, _ := a.tracker.Target()
	target, result := a.tracker.Apply(now, announcement)
	if result.Accepted() && result != announce.ResultNoted {
		a.step(now, func(out *flow.Output) {
			a.flowAgent.UpdateTarget(now, target, true, out)
			if target.State != facts.TargetGone {
				a.flowAgent.ObserveWarmup(now, announcement.Warmup.Left, announcement.Warmup.Known, out)
			}
		})
	}
	a.mutex.Unlock()
	switch {
	case result.Accepted():
		if target.StartedMs < previous.StartedMs {
			events.EarlierStartTaken.Log(a.process.Logger, slog.String("target", target.ID),
				slog.Int64("bornMs", target.StartedMs), slog.Int64("previousBornMs", previous.StartedMs))
		}
		a.publishTarget("announcement", announcement.Sequence)
		return true
	case result == announce.ResultUnproven:
		a.RecordRefusal(now, "unproven")
	case result == announce.ResultStale:
		a.RecordRefusal(now, "late")
	case result == announce.ResultIncomplete:
		a.RecordRefusal(now, "incomplete")
	default:
		a.RecordRefusal(now, "otherService")
	}
	return false
}

// RecordRefusal counts and logs a rejected announcement. It implements announce.Sink.
func (a *passthroughAgent) RecordRefusal(_ time.Time, reason string) {
	metrics.GetOrCreateCounter(`coltsfootline_agent_announcements_refused_total{reason="` + reason + `"}`).Inc()
	events.AnnouncementRefused.Log(a.process.Logger, slog.String("reason", reason))
}

// onMembers replaces the directory of hosts after a change of members or evacuations. It runs on the control goroutine.
func (a *passthroughAgent) onMembers(now time.Time, members []facts.Member, evacuations facts.Evacuations) {
	d := flow.NewDirectory(members)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.flowAgent.SetDirectory(now, d)
	a.flowAgent.SetEvacuated(now, evacuations.Active[a.settings.DataCentre])
}

// restore takes over the state of the target that the store holds from before the agent's start. It does nothing if the
// target has already announced itself or if it had terminated according to the store.
func (a *passthroughAgent) restore(m facts.Member) {
	if m.Target == nil || m.Target.State == facts.TargetGone {
		return
	}
	now := time.Now()
	a.mutex.Lock()
	a.flowAgent.NoteStoredTarget(*m.Target)
	restored := a.tracker.Restore(*m.Target)
	if restored {
		target, _ := a.tracker.Target()
		a.step(now, func(out *flow.Output) { a.flowAgent.UpdateTarget(now, target, false, out) })
	}
	a.mutex.Unlock()
	a.publishTarget("store", 0)
}

// onPlan replaces the plan. The agent is ready from its first plan on.
func (a *passthroughAgent) onPlan(p *plan.Plan) {
	a.mutex.Lock()
	a.flowAgent.SetPlan(p)
	a.mutex.Unlock()
	a.process.SetReady(true)
}

// step runs decide, sends the resulting packets and records the decisions. The caller must hold the mutex.
func (a *passthroughAgent) step(now time.Time, decide func(out *flow.Output)) {
	a.output.Clear()
	decide(&a.output)
	a.recorder.Record(now, &a.output, a.send(&a.output))
}

// send sends packets to the target from the outbound socket, to whose address the target sends its own packets, and all
// others from the packet socket. It returns the number of packets that could not be sent.
func (a *passthroughAgent) send(out *flow.Output) int {
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

func (a *passthroughAgent) status(context.Context, peer.StatusRequest) (peer.StatusReply, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return peer.StatusReply{
		Instance: a.settings.Instance,
		Digest:   a.node.Gossip.View().Digest,
		Open:     a.flowAgent.FlowCount(),
		Busy:     a.flowAgent.BusyFlowCount(),
		Pace:     a.flowAgent.PaceLimit(),
		Cold:     a.flowAgent.IsCold(time.Now()),
	}, nil
}

// find returns the flows of a caller that this agent has in its flow table.
func (a *passthroughAgent) find(_ context.Context, caller gue.Endpoint) []flow.Info {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.flowAgent.Find(time.Now(), caller)
}

// announcementServer is the HTTP server that receives the target's announcements.
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
