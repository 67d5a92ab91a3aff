package audit

import (
	"encoding/json"
	"slices"
	"time"
)

const (
	// maxTrailBytes bounds the stored trail; the platform's smallest bound of an object is several times as much.
	maxTrailBytes = 32 << 10
	// sameChange is how far apart instances see one change: a plan is in force everywhere within 3 s, and a silent
	// member is found by all within the same time.
	sameChange = 10 * time.Second
)

// Trail is the latest changes, oldest first.
type Trail struct {
	Records []Record `json:"records"`
	// Forgotten counts the records that made room for later ones.
	Forgotten int `json:"forgotten,omitempty"`
}

// Merge adds records that the trail does not hold yet, and reports whether there were any.
func (t *Trail) Merge(records []Record) bool {
	merged := false
	for _, r := range records {
		if !t.holds(r) {
			t.Records = append(t.Records, r)
			merged = true
		}
	}
	slices.SortStableFunc(t.Records, func(a, b Record) int { return int(a.AtMs - b.AtMs) })
	return merged
}

func (t *Trail) holds(r Record) bool {
	key := r.key()
	for i := range t.Records {
		held := &t.Records[i]
		apart := time.Duration(max(held.AtMs-r.AtMs, r.AtMs-held.AtMs)) * time.Millisecond
		if apart <= sameChange && held.key() == key {
			return true
		}
	}
	return false
}

// Encode returns the trail as JSON of maxTrailBytes at most; the oldest records make room.
func (t *Trail) Encode() (json.RawMessage, error) {
	for {
		text, err := json.Marshal(t)
		if err != nil || len(text) <= maxTrailBytes || len(t.Records) == 0 {
			return text, err
		}
		surplus := max(1, len(t.Records)*(len(text)-maxTrailBytes)/len(text))
		t.Records = slices.Delete(t.Records, 0, surplus)
		t.Forgotten += surplus
	}
}
