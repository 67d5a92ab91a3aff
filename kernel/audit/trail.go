package audit

import (
	"encoding/json"
	"slices"
	"time"
)

const (
	// maxTrailBytes limits the size of the stored trail. It is a fraction of the platform's smallest object size limit.
	maxTrailBytes = 32 << 10
	// duplicateWindow is the time within which records with equal keys are treated as one change that several instances
	// observed. All instances apply a new plan, and all detect a silent member, within 3 s.
	duplicateWindow = 10 * time.Second
)

// Trail holds the records of the most recent changes, oldest first.
type Trail struct {
	Records []Record `json:"records"`
	// Discarded is the number of records that were discarded to make room for newer ones.
	Discarded int `json:"forgotten,omitempty"`
}

// Merge adds the records that the trail does not contain yet, in order of time, and reports whether it added any.
func (t *Trail) Merge(records []Record) bool {
	added := false
	for _, r := range records {
		if !t.contains(r) {
			t.Records = append(t.Records, r)
			added = true
		}
	}
	slices.SortStableFunc(t.Records, func(a, b Record) int { return int(a.AtMs - b.AtMs) })
	return added
}

// contains reports whether the trail has a record with the same key within duplicateWindow of r.
func (t *Trail) contains(r Record) bool {
	key := r.key()
	for i := range t.Records {
		other := &t.Records[i]
		distance := time.Duration(max(other.AtMs-r.AtMs, r.AtMs-other.AtMs)) * time.Millisecond
		if distance <= duplicateWindow && other.key() == key {
			return true
		}
	}
	return false
}

// Encode returns the trail as JSON of at most maxTrailBytes. If it is too long, Encode discards the oldest records and
// counts them in Discarded.
func (t *Trail) Encode() (json.RawMessage, error) {
	for {
		text, err := json.Marshal(t)
		if err != nil || len(text) <= maxTrailBytes || len(t.Records) == 0 {
			return text, err
		}
		surplus := max(1, len(t.Records)*(len(text)-maxTrailBytes)/len(text))
		t.Records = slices.Delete(t.Records, 0, surplus)
		t.Discarded += surplus
	}
}
