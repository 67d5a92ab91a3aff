package story

import (
	"fmt"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// Outcome is how a request or flow ended, as far as the records tell.
type Outcome string

// The outcomes.
const (
	OutcomeLate     Outcome = "late"
	OutcomeReset    Outcome = "reset"
	OutcomeUnplaced Outcome = "unplaced"
	OutcomeLost     Outcome = "lost"
	OutcomeCarried  Outcome = "carried"
)

// Cause is an outcome with the record that shows it.
type Cause struct {
	Outcome Outcome `json:"outcome"`
	Text    string  `json:"text"`
	// Incomplete says that records of instances involved were left out, so that a missing line proves nothing.
	Incomplete bool `json:"incomplete,omitempty"`
}

// causeOf judges the last decision about the request; what happened to the instance that had it explains a loss.
func causeOf(s *Story) Cause {
	f := findings{}
	for i := range s.Records {
		f.see(s, &s.Records[i])
	}
	c := f.judge()
	c.Incomplete = f.leftOut
	return c
}

// findings are the records that decide about an outcome.
type findings struct {
	carried, late, reset, unplaced, reborn *Record
	slots                                  map[string]int
	leftOut                                bool
}

func (f *findings) see(s *Story, r *Record) {
	switch r.Event {
	case events.RequestCarried.Number:
		if s.Request == "" || r.Request == s.Request {
			f.carried, f.reborn, f.reset = r, nil, nil
		}
	case events.AnswerLate.Number:
		if s.Request == "" || r.Request == s.Request {
			f.late = r
		}
	case events.FlowReset.Number:
		f.reset = r
	case events.FlowUnplaced.Number:
		f.unplaced = r
	case events.FlowPlaced.Number, events.FlowPlacedAgain.Number:
		f.unplaced = nil
	case events.TargetChanged.Number:
		f.seeTarget(r)
	case events.Started.Number:
		f.seeStart(r)
	case events.RecordsLeftOut.Number:
		f.leftOut = true
	}
}

func (f *findings) seeTarget(r *Record) {
	if f.slots == nil {
		f.slots = map[string]int{}
	}
	f.slots[r.Instance] = r.Slots
	if f.carried != nil && r.Instance == f.carried.Instance && r.BornMs > f.carried.Time.UnixMilli() && f.reborn == nil {
		f.reborn = r
	}
}

func (f *findings) seeStart(r *Record) {
	if f.carried != nil && r.Instance == f.carried.Instance && f.reborn == nil {
		f.reborn = r
	}
}

func (f *findings) judge() Cause {
	switch {
	case f.reset != nil:
		return Cause{Outcome: OutcomeReset, Text: f.resetText()}
	case f.late != nil:
		return Cause{Outcome: OutcomeLate, Text: f.lateText()}
	case f.carried != nil && f.reborn != nil:
		return Cause{Outcome: OutcomeLost, Text: fmt.Sprintf("%s had the request at %s and started anew at %s: the request ended there",
			f.carried.Instance, clock(f.carried), clock(f.reborn))}
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
	if f.carried != nil && f.reborn != nil {
		text += fmt.Sprintf(": %s had the request at %s and started anew at %s", f.carried.Instance, clock(f.carried), clock(f.reborn))
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

func clock(r *Record) string {
	return r.Time.UTC().Format("15:04:05.000")
}
