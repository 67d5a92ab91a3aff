package timeline

import (
	"fmt"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// Outcome is how a request or flow ended according to the records.
type Outcome string

// The outcomes.
const (
	OutcomeLate     Outcome = "late"
	OutcomeReset    Outcome = "reset"
	OutcomeUnplaced Outcome = "unplaced"
	OutcomeLost     Outcome = "lost"
	OutcomeCarried  Outcome = "carried"
)

// Cause is an outcome with its explanation.
type Cause struct {
	Outcome Outcome `json:"outcome"`
	Text    string  `json:"text"`
	// Incomplete is set if the rate limit of logs suppressed records of the instances involved. Then a missing record
	// does not prove that an event did not happen.
	Incomplete bool `json:"incomplete,omitempty"`
}

// causeOf derives the cause from the last decision about the request. A restart of the instance that had the request
// explains its loss.
func causeOf(t *Timeline) Cause {
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
	carried, late, reset, unplaced *Record
	// restarted is the first record of a restart of the instance or its target after the request was passed on.
	restarted *Record
	// slots holds the number of slots of the target of each instance.
	slots      map[string]int
	incomplete bool
}

// add updates the findings with the next record.
func (f *findings) add(t *Timeline, r *Record) {
	switch r.Event {
	case events.RequestCarried.Number:
		if t.Request == "" || r.Request == t.Request {
			f.carried, f.restarted, f.reset = r, nil, nil
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

func (f *findings) addTargetChange(r *Record) {
	if f.slots == nil {
		f.slots = map[string]int{}
	}
	f.slots[r.Instance] = r.Slots
	if f.carried != nil && r.Instance == f.carried.Instance && r.BornMs > f.carried.Time.UnixMilli() && f.restarted == nil {
		f.restarted = r
	}
}

func (f *findings) addStart(r *Record) {
	if f.carried != nil && r.Instance == f.carried.Instance && f.restarted == nil {
		f.restarted = r
	}
}

func (f *findings) cause() Cause {
	switch {
	case f.reset != nil:
		return Cause{Outcome: OutcomeReset, Text: f.resetText()}
	case f.late != nil:
		return Cause{Outcome: OutcomeLate, Text: f.lateText()}
	case f.carried != nil && f.restarted != nil:
		return Cause{Outcome: OutcomeLost, Text: fmt.Sprintf("%s had the request at %s and started anew at %s: the request ended there",
			f.carried.Instance, clock(f.carried), clock(f.restarted))}
	case f.carried != nil:
		return Cause{Outcome: OutcomeCarried, Text: fmt.Sprintf("%s gave it to its target at %s, with %d in flight; no record tells of a failure",
			f.carried.Instance, clock(f.carried), f.carried.Count)}
	case f.unplaced != nil:
		return Cause{Outcome: OutcomeUnplaced, Text: fmt.Sprintf("%s found no host for the flow at %s (%s), after %d tries",
			f.unplaced.Instance, clock(f.unplaced), f.unplaced.Reason, f.unplaced.Count)}
	}
	return Cause{Outcome: OutcomeLost, Text: "no agent saw a request on this flow"}
}

func (f *findings) resetText() string {
	text := fmt.Sprintf("%s reset the flow at %s (%s, %d hosts denied it)", f.reset.Instance, clock(f.reset), f.reset.Reason, f.reset.Count)
	if f.carried != nil && f.restarted != nil {
		text += fmt.Sprintf(": %s had the request at %s and started anew at %s", f.carried.Instance, clock(f.carried), clock(f.restarted))
	}
	return text
}

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

// clock returns the time of day of a record in UTC.
func clock(r *Record) string {
	return r.Time.UTC().Format("15:04:05.000")
}
