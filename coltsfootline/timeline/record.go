// Package timeline reconstructs what happened to a request or flow from the log records of several instances.
package timeline

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// Record is a log record of an instance.
type Record struct {
	Time        time.Time `json:"time"`
	Instance    string    `json:"instance"`
	Event       int       `json:"event"`
	EventName   string    `json:"eventName"`
	Flow        string    `json:"flow,omitempty"`
	To          string    `json:"to,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	Request     string    `json:"request,omitempty"`
	PlanVersion uint64    `json:"planVersion,omitempty"`
	Count       int       `json:"count,omitempty"`
	AgeMs       int64     `json:"ageMs,omitempty"`
	Target      string    `json:"target,omitempty"`
	BornMs      int64     `json:"bornMs,omitempty"`
	State       string    `json:"state,omitempty"`
	Slots       int       `json:"slots,omitempty"`
	Member      string    `json:"member,omitempty"`
	Dependency  string    `json:"dependency,omitempty"`
	Of          string    `json:"of,omitempty"`
	Error       string    `json:"error,omitempty"`
}

// Parse decodes a log line. It ignores text before the record, such as the prefix of a log collector, and returns false
// if the line is not a record of an event.
func Parse(line []byte) (Record, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Record{}, false
	}
	var r Record
	if err := json.Unmarshal(line[start:], &r); err != nil || r.Event == 0 {
		return Record{}, false
	}
	return r, true
}

// concernsInstance reports whether the record is about an instance as a whole and not about a single flow.
func (r *Record) concernsInstance() bool {
	switch r.Event {
	case events.Started.Number, events.Stopping.Number, events.Stopped.Number, events.StopForced.Number,
		events.MemberSilent.Number, events.SelfRefuted.Number, events.RecordsLeftOut.Number,
		events.DependencyLost.Number, events.DependencyRegained.Number, events.ReadyChanged.Number, events.Woke.Number,
		events.PlanTaken.Number, events.PlanRefused.Number, events.FlowsProbed.Number, events.TargetChanged.Number,
		events.AnnouncementRefused.Number, events.SettingsReloaded.Number:
		return true
	}
	return false
}
