// Package timeline reconstructs what happened to a request or flow from the log records of several instances.
package timeline

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// Record is a log record of an instance. Its fields are the attributes that a timeline or its cause uses.
type Record struct {
	Time      time.Time `json:"time"`
	Instance  string    `json:"instance"`
	Event     int       `json:"event"`
	EventName string    `json:"eventName"`
	Flow      string    `json:"flow,omitempty"`
	// To is the host that the event concerns, such as the one that a flow was placed on.
	To          string `json:"to,omitempty"`
	Reason      string `json:"reason,omitempty"`
	Request     string `json:"request,omitempty"`
	PlanVersion uint64 `json:"planVersion,omitempty"`
	// Count and AgeMs have a meaning for each event, which its message in the catalogue describes.
	Count  int    `json:"count,omitempty"`
	AgeMs  int64  `json:"ageMs,omitempty"`
	Target string `json:"target,omitempty"`
	// TargetStartedMs is when the target started, in milliseconds of Unix time.
	TargetStartedMs int64  `json:"bornMs,omitempty"`
	State           string `json:"state,omitempty"`
	Slots           int    `json:"slots,omitempty"`
	Member          string `json:"member,omitempty"`
	Dependency      string `json:"dependency,omitempty"`
	// SuppressedEvent is the name of the event whose records the rate limit suppressed.
	SuppressedEvent string `json:"of,omitempty"`
	Error           string `json:"error,omitempty"`
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

// concernsInstance reports whether the record's event is about an instance as a whole, and may explain what happened to
// the flows that it handled.
func (r *Record) concernsInstance() bool {
	switch r.Event {
	case events.Started.Number, events.Stopping.Number, events.Stopped.Number, events.StopForced.Number,
		events.MemberSilent.Number, events.SelfRefuted.Number, events.RecordsLeftOut.Number,
		events.DependencyLost.Number, events.DependencyRegained.Number, events.ReadyChanged.Number, events.Woke.Number,
		events.PlanTaken.Number, events.PlanRefused.Number, events.FlowsProbed.Number, events.TargetChanged.Number,
		events.AnnouncementRefused.Number, events.SettingsReloaded.Number, events.TargetAbsent.Number,
		events.InputPanicked.Number, events.AddressTaken.Number, events.MemberRetired.Number:
		return true
	}
	return false
}
