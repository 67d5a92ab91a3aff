package plan

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// maxRecordServices bounds the services in a record, which travels in one message of some 10 KB at most. After a change of
// more routes the receiver has no history, and asks the hosts of all services.
const maxRecordServices = 128

// maxRecordAge bounds the ages in a record from a peer, so that no value can overflow a duration.
const maxRecordAge = 24 * time.Hour

// HistoryRecord is the encoding of a history for another instance. It holds ages, because the clocks of instances differ.
// The time that the record takes to arrive makes all ages appear smaller, which only makes the history look less complete
// and remember services for longer.
type HistoryRecord struct {
	SinceAgeMs    int64           `json:"sinceAgeMs"`
	OldestVersion uint64          `json:"oldestVersion"`
	Earlier       []EarlierRecord `json:"earlier,omitempty"`
}

// EarlierRecord is the encoding of an EarlierService with its address.
type EarlierRecord struct {
	Address gue.Endpoint `json:"address"`
	Service string       `json:"service"`
	AgeMs   int64        `json:"ageMs"`
}

// Record encodes the history at now. It returns nil for a nil history and for one of more than maxRecordServices services.
func (h *History) Record(now time.Time) *HistoryRecord {
	if h == nil {
		return nil
	}
	r := &HistoryRecord{SinceAgeMs: now.Sub(h.Since).Milliseconds(), OldestVersion: h.OldestVersion}
	for a, services := range h.Earlier {
		for _, s := range services {
			if age := now.Sub(s.Until); age <= HistoryRetention {
				r.Earlier = append(r.Earlier, EarlierRecord{Address: a, Service: s.Service, AgeMs: age.Milliseconds()})
			}
		}
	}
	if len(r.Earlier) > maxRecordServices {
		return nil
	}
	return r
}

// History decodes a record that arrived at now. It returns nil for a nil record.
func (r *HistoryRecord) History(now time.Time) *History {
	if r == nil {
		return nil
	}
	h := &History{Since: ageToTime(now, r.SinceAgeMs), OldestVersion: r.OldestVersion, Earlier: map[gue.Endpoint][]EarlierService{}}
	for _, e := range r.Earlier {
		h.Earlier[e.Address] = append(h.Earlier[e.Address], EarlierService{Service: e.Service, Until: ageToTime(now, e.AgeMs)})
	}
	return h
}

func ageToTime(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(min(max(ageMs, 0), maxRecordAge.Milliseconds())) * time.Millisecond)
}
