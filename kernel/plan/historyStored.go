package plan

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	// MaxStoredHistoryBytes bounds the encoding of a StoredHistory, which entries read while they fetch their first plan.
	MaxStoredHistoryBytes = 64<<10 - 1
	// clockMargin is by how much the clocks of the writer and the reader of a StoredHistory may differ.
	clockMargin = 5 * time.Second
	// storedTolerance is how much later a service may have been replaced than is stored. Instances replace a plan at
	// slightly different times, which is no reason for a write.
	storedTolerance = time.Second
)

// StoredHistory is the form in which the history of a plan is kept in the store. It holds times of day of its writer,
// because nobody may be there to count ages when it is read.
type StoredHistory struct {
	// Version is that of the plan that the history belongs to.
	Version uint64 `json:"version"`
	// Services identifies the services that the plan gives to each address.
	Services      string          `json:"services"`
	SinceMs       int64           `json:"sinceMs"`
	OldestVersion uint64          `json:"oldestVersion"`
	Earlier       []StoredService `json:"earlier,omitempty"`
}

// StoredService is the stored form of an EarlierService with its address.
type StoredService struct {
	Address gue.Endpoint `json:"address"`
	Service string       `json:"service"`
	UntilMs int64        `json:"untilMs"`
}

// StoredHistoryError reports a stored history that can't be used. Cause may be nil.
type StoredHistoryError struct{ Cause error }

// Error implements the error interface.
func (e *StoredHistoryError) Error() string {
	if e.Cause == nil {
		return "stored history of the plan is malformed"
	}
	return "stored history of the plan is malformed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *StoredHistoryError) Unwrap() error {
	return e.Cause
}

// ParseStoredHistory parses a stored history.
func ParseStoredHistory(spec []byte) (StoredHistory, error) {
	var s StoredHistory
	err := json.Unmarshal(spec, &s)
	if err != nil || s.Version == 0 || s.SinceMs <= 0 || s.OldestVersion > s.Version {
		return StoredHistory{}, errors.WithStack(&StoredHistoryError{Cause: err})
	}
	return s, nil
}

// servicesSum returns a hash of the services that the plan gives to each address, in any order.
func (p *Plan) servicesSum() string {
	var sum uint64
	var text []byte
	for _, r := range p.Routes {
		for _, s := range r.Shares {
			text = binary.BigEndian.AppendUint16(append(text[:0], r.Address.Address[:]...), r.Address.Port)
			sum += xxhash.Sum64(append(text, s.Service...))
		}
	}
	return strconv.FormatUint(sum, 16)
}

// StoredHistory returns the history of the plan, which must have one, in the form to store at now. It continues the given
// history from the store, whose zero value stands for none, unless plans between the two may be missing.
func (p *Plan) StoredHistory(now time.Time, stored StoredHistory) StoredHistory {
	h := p.History
	// The ages are of the steady clock.
	timeOfDay := func(t time.Time) int64 { return now.UnixMilli() - now.Sub(t).Milliseconds() }
	s := StoredHistory{Version: p.Version, Services: p.servicesSum(), SinceMs: timeOfDay(h.Since), OldestVersion: h.OldestVersion}
	if h.OldestVersion <= stored.Version && stored.SinceMs < s.SinceMs {
		s.SinceMs, s.OldestVersion = stored.SinceMs, min(stored.OldestVersion, h.OldestVersion)
	}
	until := make(map[StoredService]int64)
	add := func(e StoredService) {
		r := p.Find(e.Address)
		if r != nil && r.HasService(e.Service) || now.UnixMilli()-e.UntilMs > HistoryRetention.Milliseconds() {
			return
		}
		k := e.key()
		until[k] = max(until[k], e.UntilMs)
	}
	for a, services := range h.Earlier {
		for _, e := range services {
			add(StoredService{Address: a, Service: e.Service, UntilMs: timeOfDay(e.Until)})
		}
	}
	for _, e := range stored.Earlier {
		add(e)
	}
	for k, ms := range until {
		k.UntilMs = ms
		s.Earlier = append(s.Earlier, k)
	}
	slices.SortFunc(s.Earlier, func(a, b StoredService) int { return cmp.Compare(b.UntilMs, a.UntilMs) })
	return s
}

// key returns the service and its address without the time.
func (e StoredService) key() StoredService {
	return StoredService{Address: e.Address, Service: e.Service}
}

// Encode encodes the history in at most MaxStoredHistoryBytes. If that is too little, the services that were replaced
// first are left out, and the history then begins at now.
func (s *StoredHistory) Encode(now time.Time) ([]byte, error) {
	for {
		spec, err := json.Marshal(s)
		if err != nil || len(spec) <= MaxStoredHistoryBytes {
			return spec, errors.WithStack(err)
		}
		s.SinceMs, s.OldestVersion = now.UnixMilli(), s.Version
		s.Earlier = s.Earlier[:len(s.Earlier)*MaxStoredHistoryBytes/(len(spec)+1)]
	}
}

// Differs reports whether the history holds more than the version that a reader of stored does not know: other services
// of the plan in force, a further earlier service, or a gap.
func (s *StoredHistory) Differs(stored StoredHistory) bool {
	if s.Services != stored.Services || s.OldestVersion > stored.Version {
		return true
	}
	until := make(map[StoredService]int64, len(stored.Earlier))
	for _, e := range stored.Earlier {
		until[e.key()] = e.UntilMs
	}
	return slices.ContainsFunc(s.Earlier, func(e StoredService) bool {
		return e.UntilMs-until[e.key()] > storedTolerance.Milliseconds()
	})
}

// Extend returns the history of current, the plan in use of an instance whose first plan since its start had the version
// first, with what the store held at the start. The reason is used if that closes the gap before the first plan, and
// otherwise says why not. Plans between the stored version and the first one may be missing, which the writer had no time to
// write. They may have given a further service to a route, but the services before and after them are the same.
func (s *StoredHistory) Extend(now time.Time, first uint64, current *Plan) (h *History, reason string) {
	old := current.History
	stored := &History{Since: s.time(now, s.SinceMs), OldestVersion: s.OldestVersion, Earlier: map[gue.Endpoint][]EarlierService{}}
	for _, e := range s.Earlier {
		stored.Earlier[e.Address] = append(stored.Earlier[e.Address], EarlierService{Service: e.Service, Until: s.time(now, e.UntilMs)})
	}
	h = &History{Since: old.Since, OldestVersion: old.OldestVersion, Earlier: map[gue.Endpoint][]EarlierService{}}
	h.addEarlier(now, current, old)
	h.addEarlier(now, current, stored)
	switch {
	case s.Version > first:
		return h, "newerThanPlan"
	case old.OldestVersion > first:
		return h, "gap"
	case old.OldestVersion > s.Version && s.Services != current.servicesSum():
		return h, "otherServices"
	case stored.Since.Before(old.Since):
		h.Since, h.OldestVersion = stored.Since, min(stored.OldestVersion, old.OldestVersion)
	}
	return h, "used"
}

// time returns a time of day of the writer as a time of this instance, later by clockMargin: a later time makes the history
// shorter and remembers a service for longer.
func (s *StoredHistory) time(now time.Time, ms int64) time.Time {
	return ageToTime(now, now.UnixMilli()-ms-clockMargin.Milliseconds())
}
