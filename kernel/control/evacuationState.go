package control

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// evacuationHold is how long an evacuation that was in force before the store returned from an older copy stays in force
// although the store lacks it. The operator writes again what the store lost. What is still missing after this time was
// removed while the store was away.
const evacuationHold = 10 * time.Second

// evacuationState is what one reader has seen of the evacuations in the store. The zero value has seen nothing.
type evacuationState struct {
	// listed is the position of the latest listing, which is complete up to there. eraSince is when the first listing of
	// its era was made.
	listed   store.Position
	eraSince time.Time
	// settled is set once a listing was made evacuationHold after the first one of the era.
	settled bool
	// seen holds the latest state seen of each data centre.
	seen map[string]facts.Evacuation
	// held holds the data centres whose evacuation stays in force only because of evacuationHold.
	held map[string]bool
}

// applyList takes over a listing made at now. A data centre that was seen evacuated and is not listed no longer is, since a
// revision that is not known exactly but is at most that of the listing. If the evacuation is of an earlier era, it is held.
func (s *evacuationState) applyList(now time.Time, p store.Page) {
	if p.Era != s.listed.Era || s.eraSince.IsZero() {
		s.eraSince, s.settled, s.listed = now, false, store.Position{}
	}
	s.settled = s.settled || now.Sub(s.eraSince) >= evacuationHold
	s.listed = store.Position{Era: p.Era, Revision: max(s.listed.Revision, p.Revision)}
	s.held = nil
	present := make(map[string]bool, len(p.Objects))
	for _, o := range p.Objects {
		if facts.IsDataCentreName(o.Name) {
			present[o.Name] = true
			s.note(facts.Evacuation{DataCentre: o.Name, Active: true, Era: p.Era, Revision: o.Revision})
		}
	}
	for name, e := range s.seen {
		if e.Active && !present[name] && s.mayEnd(e) {
			s.note(s.atListing(name, false))
		}
	}
}

// mayEnd reports whether the latest listing, which does not contain the evacuation, ends it. Otherwise it holds it.
func (s *evacuationState) mayEnd(e facts.Evacuation) bool {
	if e.Era >= s.listed.Era || s.settled {
		return true
	}
	if s.held == nil {
		s.held = make(map[string]bool)
	}
	s.held[e.DataCentre] = true
	return false
}

// listAgain reports whether a listing at now would settle whether the evacuations that are held have ended.
func (s *evacuationState) listAgain(now time.Time) bool {
	return len(s.held) > 0 && !s.settled && now.Sub(s.eraSince) >= evacuationHold
}

// applyChanges takes over the changes that a watch returned, oldest first.
func (s *evacuationState) applyChanges(p store.Page) {
	for _, o := range p.Objects {
		if !facts.IsDataCentreName(o.Name) {
			continue
		}
		e := facts.Evacuation{DataCentre: o.Name, Active: !o.Deleted, Era: p.Era, Revision: o.Revision}
		if previous := s.seen[o.Name]; o.Deleted && previous.Active && e.Compare(previous) <= 0 {
			// The object of a deletion may carry the revision of its last change. The deletion itself came later.
			e.Revision = max(previous.Revision+1, p.Revision)
		}
		s.note(e)
	}
}

// note records a state unless a later one is known.
func (s *evacuationState) note(e facts.Evacuation) {
	if s.seen == nil {
		s.seen = make(map[string]facts.Evacuation)
	}
	if previous, known := s.seen[e.DataCentre]; !known || e.Compare(previous) > 0 {
		s.seen[e.DataCentre] = e
	}
}

// corrections returns the evacuations that the instance's facts lack or contradict. Besides news from the store these are
// facts that arrive late, from an instance that was cut off while an evacuation ended.
func (s *evacuationState) corrections(known []facts.Evacuation) []facts.Evacuation {
	byName := make(map[string]facts.Evacuation, len(known))
	for _, k := range known {
		byName[k.DataCentre] = k
	}
	var all []facts.Evacuation
	for name, e := range s.seen {
		if k := byName[name]; e.Active && !k.Active && e.Compare(k) <= 0 && !s.isAfterListing(k) {
			// The listing contained an object that the fact says was deleted earlier.
			all = append(all, s.atListing(name, true))
		} else if (e.Active || k.Active) && e.Compare(k) > 0 {
			all = append(all, e)
		}
	}
	for _, k := range known {
		if _, seen := s.seen[k.DataCentre]; k.Active && !seen && !s.isAfterListing(k) && s.mayEnd(k) {
			all = append(all, s.atListing(k.DataCentre, false))
		}
	}
	return all
}

// atListing returns the state of a data centre as of the latest listing.
func (s *evacuationState) atListing(dataCentre string, active bool) facts.Evacuation {
	return facts.Evacuation{DataCentre: dataCentre, Active: active, Era: s.listed.Era, Revision: s.listed.Revision}
}

// isAfterListing reports whether the latest listing is too old to contradict the evacuation.
func (s *evacuationState) isAfterListing(k facts.Evacuation) bool {
	return k.Compare(s.atListing(k.DataCentre, false)) > 0
}
