// Package story puts the log records of several instances together into what happened to one request.
package story

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// Record is one log record of an instance.
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

// Parse reads one line of a log; whatever stands before the record, such as a collector's prefix, is ignored.
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

// changesInstance says that the record tells of the instance as a whole, not of one flow.
func (r *Record) changesInstance() bool {
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
