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
	// finishLimit is how long an agent that stops carries the requests in flight.
	finishLimit = 1500 * time.Millisecond
	// finishStep is how often it looks whether they are done.
	finishStep = 20 * time.Millisecond
)

// carrierAgent is an agent beside a target that ends its flows itself.
type carrierAgent struct {
	settings *Settings
	process  *process.Process
	node     *control.Node
	form     announce.Form
	packets  *net.UDPConn
	outbound *net.UDPConn
	reloader *reload.Reloader[*Settings]

	// mutex guards what the two sockets' loops and the announcements share.
	mutex    sync.Mutex
	core     *flow.Agent
	tracker  announce.Tracker
	recorder *dataplane.Recorder
	output   flow.Output
}

func runCarrier(ctx context.Context, s *Settings, logs io.Writer) error {
	form, err := announce.Forms.Get(s.Form)
	if err != nil {
		return err
	}
	parts, err := dataplane.NewComponents(s.Form, s.Store, logs, s.Log, s.Instance)
	if err != nil {
		return err
	}
	logger := parts.Logger
	a := &carrierAgent{
		settings: s,
		process: &process.Process{
			Admin: s.Admin, Pprof: s.Pprof, Logger: logger, Readiness: s.Readiness, ReadinessPath: s.ReadinessPath,
		},
		form:     form,
		core:     &flow.Agent{Self: s.Packets, Service: s.Service, Target: s.TargetPackets, Codec: parts.Codec},
		tracker:  announce.Tracker{Service: s.Service},
		recorder: dataplane.NewRecorder(logger, metrics.GetDefaultSet()),
	}
	a.reloader = &reload.Reloader[*Settings]{File: reload.FileOf(ctx), New: defaults, Logger: logger, Apply: a.apply}
	a.process.Reload = a.reloader.Check
	a.node = &control.Node{
		Self: facts.Member{
			Instance: s.Instance, Role: facts.RoleAgent, DataCentre: s.DataCentre, Service: s.Service,
			Packets: s.Packets, Control: s.Control, State: facts.StateServing,
		},
		Routes: s.ControlRoutes, Store: parts.Store, Format: parts.Format, Logger: logger, Seeds: s.Entries,
		OnMembers: a.onMembers, OnPlan: a.onPlan, OnOwn: a.restore,
	}
	dataplane.Gauge("coltsfootline_flows", func() float64 {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		return float64(a.core.Flows())
	})
	a.core.Served = metrics.GetOrCreateHistogram("coltsfootline_agent_service_seconds").Update
	return a.process.Run(ctx, a.serve)
}

func (a *carrierAgent) serve(ctx context.Context) error {
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
	server := &announceServer{listener: listener, handler: a.form.Handler(a), logger: a.process.Logger}
	context.AfterFunc(lifetime, func() { _ = listener.Close() })
	go server.run()
	(&dataplane.Loop{Socket: a.packets, Handler: entrySide{a}, Logger: a.process.Logger}).Start(lifetime)
	(&dataplane.Loop{Socket: a.outbound, Handler: targetSide{a}, Logger: a.process.Logger}).Start(lifetime)
	<-ctx.Done()
	a.leave(lifetime)
	return nil
}

// apply takes changed settings up; seeds and the log level need no restart.
func (a *carrierAgent) apply(s *Settings) []string {
	events.SetLevel(s.Log.Level)
	a.node.Spread.Do(context.Background(), func(time.Time) { a.node.Spread.SetSeeds(s.Entries) })
	held := *a.settings
	held.Entries, held.Log = s.Entries, s.Log
	restart := reload.Changed(held, *s)
	a.settings.Entries, a.settings.Log = s.Entries, s.Log
	return restart
}

// leave tells the entries that new flows go elsewhere and lets requests in flight finish.
func (a *carrierAgent) leave(ctx context.Context) {
	a.mutex.Lock()
	a.core.Leave()
	target, known := a.tracker.Target()
	a.mutex.Unlock()
	gone := known && target.State == facts.TargetGone
	state := facts.StateDraining
	if gone {
		state = facts.StateLeft
	}
	a.node.Spread.Do(ctx, func(now time.Time) { a.node.Spread.SetState(now, state) })
	if gone {
		a.node.Register.Remove(ctx, a.settings.Instance)
		return
	}
	for end := time.Now().Add(finishLimit); time.Now().Before(end); time.Sleep(finishStep) {
		a.mutex.Lock()
		busy := a.core.Busy()
		a.mutex.Unlock()
		if busy == 0 {
			return
		}
	}
}

// Accept takes an announcement of the target.
func (a *carrierAgent) Accept(now time.Time, n announce.Announcement) bool {
	a.mutex.Lock()
	target, verdict := a.tracker.Judge(n)
	if verdict == announce.VerdictSame || verdict == announce.VerdictNews {
		a.step(now, func(out *flow.Output) { a.core.UseTarget(now, target, true, out) })
	}
	a.mutex.Unlock()
	switch verdict {
	case announce.VerdictSame:
		return true
	case announce.VerdictNews:
		a.targetChanged(target, "announcement", n.Sequence)
		return true
	case announce.VerdictLate:
		a.Refused(now, "late")
		// The sender needs no other answer: what it says is already out of date.
		return true
	}
	a.Refused(now, "otherService")
	return false
}

// Refused logs an announcement that was not taken.
func (a *carrierAgent) Refused(_ time.Time, reason string) {
	metrics.GetOrCreateCounter(`coltsfootline_agent_announcements_refused_total{reason="` + reason + `"}`).Inc()
	events.AnnouncementRefused.Log(a.process.Logger, slog.String("reason", reason))
}

func (a *carrierAgent) targetChanged(t facts.Target, source string, sequence uint64) {
	events.TargetChanged.Log(a.process.Logger, slog.String("target", t.ID), slog.Int64("bornMs", t.BornMs),
		slog.String("state", string(t.State)), slog.Int("slots", t.Slots), slog.String("source", source),
		slog.Uint64("sequence", sequence))
	a.node.Spread.Do(context.Background(), func(now time.Time) { a.node.Spread.SetTarget(now, t) })
}

// onMembers runs on the control thread.
func (a *carrierAgent) onMembers(_ time.Time, members []facts.Member) {
	d := flow.NewDirectory(members)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.core.UseDirectory(d)
}

// restore takes what the store kept about the own target, unless the target itself spoke first.
func (a *carrierAgent) restore(m facts.Member) {
	if m.Target == nil || m.Target.State == facts.TargetGone {
		return
	}
	now := time.Now()
	a.mutex.Lock()
	restored := a.tracker.Restore(*m.Target)
	if restored {
		a.step(now, func(out *flow.Output) { a.core.UseTarget(now, *m.Target, false, out) })
	}
	a.mutex.Unlock()
	if restored {
		a.targetChanged(*m.Target, "store", 0)
	}
}

func (a *carrierAgent) onPlan(p *plan.Plan) {
	a.mutex.Lock()
	a.core.UsePlan(p)
	a.mutex.Unlock()
	a.process.SetReady(true)
}

// step runs a decision and sends what it decided; the mutex must be held.
func (a *carrierAgent) step(now time.Time, decide func(out *flow.Output)) {
	a.output.Clear()
	decide(&a.output)
	a.recorder.Record(now, &a.output, a.deliver(&a.output))
}

// deliver sends packets for the target from the socket that the target knows, and all others from the own address.
func (a *carrierAgent) deliver(out *flow.Output) int {
	failed := 0
	for _, s := range out.Sends {
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

func (a *carrierAgent) status(context.Context, peer.StatusRequest) (peer.StatusReply, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return peer.StatusReply{
		Instance: a.settings.Instance, Digest: a.node.Spread.View().Digest, Open: a.core.Flows(), Busy: a.core.Busy(),
	}, nil
}

func (a *carrierAgent) find(_ context.Context, caller gue.Endpoint) []flow.Held {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.core.Find(time.Now(), caller)
}

type announceServer struct {
	listener net.Listener
	handler  http.Handler
	logger   *slog.Logger
}

func (s *announceServer) run() {
	err := http.Serve(s.listener, s.handler)
	if !errors.Is(err, net.ErrClosed) {
		events.AdminFailed.Log(s.logger, events.Failure(err))
	}
}
