package timeline

import (
	"fmt"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// Outcome is how a request or flow ended according to the records. The values are part of the JSON output.
type Outcome string

// The outcomes.
const (
	// OutcomeLate means that the target started its response later than the route's objective.
	OutcomeLate Outcome = "late"
	// OutcomeReset means that the flow was reset because no host held it.
	OutcomeReset Outcome = "reset"
	// OutcomeUnplaced means that no host was found for the flow.
	OutcomeUnplaced Outcome = "unplaced"
	// OutcomeLost means that the agent or its target restarted after the request was forwarded to the target, or that no
	// agent logged a request.
	OutcomeLost Outcome = "lost"
	// OutcomeForwarded means that the request was forwarded to the target and that no record reports a failure.
	OutcomeForwarded Outcome = "carried"
)

// Cause is an outcome with its explanation.
type Cause struct {
	Outcome Outcome `json:"outcome"`
	// Text explains the outcome in a sentence for operators.
	Text string `json:"text"`
	// Incomplete is set if the rate limit of logs suppressed records of the instances involved. Then a missing record
	// does not prove that an event did not happen.
	Incomplete bool `json:"incomplete,omitempty"`
}

// findCause derives the cause from the last decisions about the request or flow, and from restarts of the agent that
// forwarded the request, or of its target, which explain the loss of the request.
func findCause(t *Timeline) Cause {
	f := findings{}
	for i := range t.Records {
		f.add(t, &t.Records[i])
	}
	c := f.cause()
	c.Incomplete = f.incomplete
	return c
}

// findings holds the last record of each kind that the cause depends on.
type findings struct {
	forwarded, late, reset, unplaced *Record
	// restarted is the first record of a restart of the agent or its target after the request was forwarded.
	restarted *Record
	// slots holds the number of slots of each instance's target, by instance.
	slots map[string]int
	// incomplete is set if the rate limit of logs suppressed records.
	incomplete bool
}

// add updates the findings with the next record. Records must be added in order of time.
func (f *findings) add(t *Timeline, r *Record) {
	switch r.Event {
	case events.RequestCarried.Number:
		if t.Request == "" || r.Request == t.Request {
			f.forwarded, f.restarted, f.reset = r, nil, nil
		}
	case events.AnswerLate.Number:
		if t.Request == "" || r.Request == t.Request {
			f.late = r
		}
	case events.FlowReset.Number:
		f.reset = r
	case events.FlowUnplaced.Number:
		f.unplaced = r
	case events.FlowPlaced.Number, events.FlowPlacedAgain.Number:
		f.unplaced = nil
	case events.TargetChanged.Number:
		f.addTargetChange(r)
	case events.Started.Number:
		f.addStart(r)
	case events.RecordsLeftOut.Number:
		f.incomplete = true
	}
}

// addTargetChange records the target's slots. A target that started after the request was forwarded counts as a restart.
func (f *findings) addTargetChange(r *Record) {
	if f.slots == nil {
		f.slots = map[string]int{}
	}
	f.slots[r.Instance] = r.Slots
	if f.forwarded != nil && r.Instance == f.forwarded.Instance && r.TargetStartedMs > f.forwarded.Time.UnixMilli() && f.restarted == nil {
		f.restarted = r
	}
}

// addStart records a restart if the instance is the one that forwarded the request.
func (f *findings) addStart(r *Record) {
	if f.forwarded != nil && r.Instance == f.forwarded.Instance && f.restarted == nil {
		f.restarted = r
	}
}

// cause returns the most specific outcome that the findings show. A reset or a late response outweighs a restart.
func (f *findings) cause() Cause {
	switch {
	case f.reset != nil:
		return Cause{Outcome: OutcomeReset, Text: f.resetText()}
	case f.late != nil:
		return Cause{Outcome: OutcomeLate, Text: f.lateText()}
	case f.forwarded != nil && f.restarted != nil:
		return Cause{Outcome: OutcomeLost, Text: fmt.Sprintf("%s had the request at %s and started anew at %s: the request ended there",
			f.forwarded.Instance, timeOfDay(f.forwarded), timeOfDay(f.restarted))}
	case f.forwarded != nil:
		return Cause{Outcome: OutcomeForwarded, Text: fmt.Sprintf("%s gave it to its target at %s, with %d in flight; no record tells of a failure",
			f.forwarded.Instance, timeOfDay(f.forwarded), f.forwarded.Count)}
	case f.unplaced != nil:
		return Cause{Outcome: OutcomeUnplaced, Text: fmt.Sprintf("%s found no host for the flow at %s (%s), after %d tries",
			f.unplaced.Instance, timeOfDay(f.unplaced), f.unplaced.Reason, f.unplaced.Count)}
	}
	return Cause{Outcome: OutcomeLost, Text: "no agent saw a request on this flow"}
}

// reasonTargetAbsent is the reason of a reset by an agent whose target's process is gone.
const reasonTargetAbsent = "targetAbsent"

func (f *findings) resetText() string {
	if f.reset.Reason == reasonTargetAbsent {
		return fmt.Sprintf("%s reset the flow at %s, because its target's process was gone", f.reset.Instance, timeOfDay(f.reset))
	}
	text := fmt.Sprintf("%s reset the flow at %s (%s, %d hosts denied it)", f.reset.Instance, timeOfDay(f.reset), f.reset.Reason, f.reset.Count)
	if f.forwarded != nil && f.restarted != nil {
		text += fmt.Sprintf(": %s had the request at %s and started anew at %s", f.forwarded.Instance, timeOfDay(f.forwarded), timeOfDay(f.restarted))
	}
	return text
}

// lateText compares the requests in flight with the target's slots to tell a request that waited for a slot from a slow
// one. Without a record of the slots it makes no claim.
func (f *findings) lateText() string {
	text := fmt.Sprintf("the target of %s began its answer after %d ms, with %d requests in flight", f.late.Instance, f.late.AgeMs, f.late.Count)
	slots := f.slots[f.late.Instance]
	switch {
	case slots == 0:
	case f.late.Count >= slots:
		text += fmt.Sprintf(" on %d slots: it waited for a slot", slots)
	default:
		text += fmt.Sprintf(" on %d slots: the request itself was slow", slots)
	}
	return text
}

// timeOfDay returns the time of day of a record in UTC.
func timeOfDay(r *Record) string {
	return r.Time.UTC().Format("15:04:05.000")
}
