package dataplane

import (
	"log/slog"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Recorder logs the decisions of package flow and updates its metrics. It is not safe for concurrent use.
type Recorder struct {
	Logger *slog.Logger

	limiter   events.Limiter
	decisions map[decisionKey]*metrics.Counter
	admission map[admissionKey]*metrics.Counter
	sent      *metrics.Counter
	unsent    *metrics.Counter
	dropped   map[gue.Reason]*metrics.Counter
}

// RegisterGauge registers a gauge in the default set. Each scrape calls read to compute its value.
func RegisterGauge(name string, read func() float64) {
	metrics.GetOrCreateGauge(name, read)
}

// decisionKey holds the labels of a decision counter.
type decisionKey struct {
	action flow.Action
	reason string
}

// admissionKey holds the labels of a counter of placements or refusals.
type admissionKey struct {
	placed   bool
	remote   bool
	reason   string
	priority int
}

// NewRecorder returns a Recorder whose packet counters are registered in s. The counters of decisions are registered in
// the default set.
func NewRecorder(l *slog.Logger, s *metrics.Set) *Recorder {
	r := &Recorder{
		Logger:    l,
		decisions: map[decisionKey]*metrics.Counter{},
		admission: map[admissionKey]*metrics.Counter{},
		sent:      s.GetOrCreateCounter("coltsfootline_flow_packets_sent_total"),
		unsent:    s.GetOrCreateCounter("coltsfootline_flow_packets_unsent_total"),
		dropped:   map[gue.Reason]*metrics.Counter{},
	}
	for _, reason := range gue.Reasons() {
		r.dropped[reason] = s.GetOrCreateCounter(`coltsfootline_flow_packets_dropped_total{reason="` + reason.String() + `"}`)
	}
	return r
}

// Record logs and counts the decisions and packets of an output. unsent is the number of its packets that could not be
// sent. The log of decisions is rate-limited, their counters are not.
func (r *Recorder) Record(now time.Time, out *flow.Output, unsent int) {
	r.sent.Add(len(out.Packets) - unsent)
	if unsent > 0 {
		r.unsent.Add(unsent)
	}
	if out.DropReason != gue.ReasonNone {
		r.dropped[out.DropReason].Inc()
	}
	for _, d := range out.Decisions {
		r.countDecision(d)
		r.countAdmission(d)
		e := eventFor(d.Action)
		if !r.limiter.Allow(now, e) {
			continue
		}
		e.Log(r.Logger,
			slog.String("flow", d.Flow.String()), slog.String("to", d.Instance), slog.String("reason", d.Reason), slog.String("request", d.Request),
			slog.Uint64("planVersion", d.PlanVersion), slog.Int("count", d.Count), slog.Int64("ageMs", d.AgeMs))
	}
}

// LogResumed logs that the process resumed after a pause and how many queued packets were dropped.
func (r *Recorder) LogResumed(paused time.Duration, dropped int) {
	events.Woke.Log(r.Logger, slog.Int64("ageMs", paused.Milliseconds()), slog.Int("count", dropped))
}

// LogSuppressed logs how many records the rate limiter suppressed since the last call.
func (r *Recorder) LogSuppressed(now time.Time) {
	for _, s := range r.limiter.Suppressed(now) {
		events.RecordsLeftOut.Log(r.Logger, slog.String("of", s.Event.Name), slog.Int("count", s.Count))
	}
}

func (r *Recorder) countDecision(d flow.Decision) {
	k := decisionKey{action: d.Action, reason: d.Reason}
	c := r.decisions[k]
	if c == nil {
		c = metrics.GetOrCreateCounter(`coltsfootline_flow_decisions_total{action="` + eventFor(d.Action).Name + `",reason="` + d.Reason + `"}`)
		r.decisions[k] = c
	}
	c.Inc()
}

// countAdmission counts placements by data centre, and refusals by reason and by the priority of the route.
func (r *Recorder) countAdmission(d flow.Decision) {
	var k admissionKey
	switch d.Action {
	case flow.ActionPlaced, flow.ActionPlacedAgain:
		k = admissionKey{placed: true, remote: d.Remote}
	case flow.ActionRefused, flow.ActionUnplaced:
		k = admissionKey{reason: d.Reason, priority: d.Priority}
	case flow.ActionRefusedAtOnce:
		k = admissionKey{reason: "atOnce", priority: d.Priority}
	default:
		return
	}
	c := r.admission[k]
	if c == nil {
		name := `coltsfootline_flow_refusals_total{reason="` + k.reason + `",priority="` + strconv.Itoa(k.priority) + `"}`
		if k.placed {
			name = `coltsfootline_flow_placements_total{otherDataCentre="` + strconv.FormatBool(k.remote) + `"}`
		}
		c = metrics.GetOrCreateCounter(name)
		r.admission[k] = c
	}
	c.Inc()
}

// actionEvents holds the events that log decisions, by action.
var actionEvents = map[flow.Action]events.Event{
	flow.ActionPlaced:           events.FlowPlaced,
	flow.ActionPlacedAgain:      events.FlowPlacedAgain,
	flow.ActionUnplaced:         events.FlowUnplaced,
	flow.ActionSearched:         events.FlowSearched,
	flow.ActionFound:            events.FlowFound,
	flow.ActionReset:            events.FlowReset,
	flow.ActionUncertain:        events.FlowUncertain,
	flow.ActionRefused:          events.FlowRefused,
	flow.ActionBounced:          events.FlowBounced,
	flow.ActionRequestForwarded: events.RequestCarried,
	flow.ActionAnswerLate:       events.AnswerLate,
	flow.ActionProbed:           events.FlowsProbed,
	flow.ActionRefusedAtOnce:    events.FlowRefusedAtOnce,
	flow.ActionTargetAbsent:     events.TargetAbsent,
	flow.ActionCold:             events.HostCold,
	flow.ActionWarm:             events.HostWarm,
	flow.ActionPaceChanged:      events.PaceChanged,
	flow.ActionHostEjected:      events.HostEjected,
	flow.ActionHostReturned:     events.HostReturned,
}

// eventFor returns the event that logs decisions with an action.
func eventFor(a flow.Action) events.Event {
	if e, found := actionEvents[a]; found {
		return e
	}
	return events.FlowDropped
}
