package control

import (
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// evacuationState is what one reader has seen of the evacuations in the store. The zero value has seen nothing.
type evacuationState struct {
	// listed is the revision of the latest listing. The listing is complete up to that revision.
	listed uint64
	// seen holds the latest state seen of each data centre.
	seen map[string]facts.Evacuation
}

// applyList takes over a listing. A data centre that was seen evacuated and is not listed no longer is, since a revision
// that is not known exactly but is at most that of the listing.
func (s *evacuationState) applyList(p store.Page) {
	present := make(map[string]bool, len(p.Objects))
	for _, o := range p.Objects {
		if facts.IsDataCentreName(o.Name) {
			present[o.Name] = true
			s.note(facts.Evacuation{DataCentre: o.Name, Active: true, Revision: o.Revision})
		}
	}
	for name, e := range s.seen {
		if e.Active && !present[name] {
			s.note(facts.Evacuation{DataCentre: name, Revision: p.Revision})
		}
	}
	s.listed = max(s.listed, p.Revision)
}

// applyChanges takes over the changes that a watch returned, oldest first.
func (s *evacuationState) applyChanges(p store.Page) {
	for _, o := range p.Objects {
		if !facts.IsDataCentreName(o.Name) {
			continue
		}
		e := facts.Evacuation{DataCentre: o.Name, Active: !o.Deleted, Revision: o.Revision}
		if previous := s.seen[o.Name]; o.Deleted && previous.Active && e.Revision <= previous.Revision {
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
	if previous, known := s.seen[e.DataCentre]; !known || e.Revision > previous.Revision {
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
		if k := byName[name]; e.Active && !k.Active && e.Revision <= k.Revision && k.Revision <= s.listed {
			// The listing contained an object that the fact says was deleted earlier.
			all = append(all, facts.Evacuation{DataCentre: name, Active: true, Revision: s.listed})
		} else if (e.Active || k.Active) && e.Revision > k.Revision {
			all = append(all, e)
		}
	}
	for _, k := range known {
		if _, seen := s.seen[k.DataCentre]; k.Active && !seen && k.Revision <= s.listed {
			all = append(all, facts.Evacuation{DataCentre: k.DataCentre, Revision: s.listed})
		}
	}
	return all
}
