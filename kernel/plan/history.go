package plan

import (
	"slices"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	// HistoryRetention is how long a history remembers that a plan gave a service to an address. It is about twice the
	// maximum age of a flow on the platform, 60 s, so that the history stays small on the wire.
	HistoryRetention = 2 * time.Minute
	// distributionTime is how long other instances may go on to use a plan after this one has replaced it. A plan is
	// required to reach all instances within 5 s.
	distributionTime = 5 * time.Second
)

// History records which services the plans before the one in force gave to each address. It is immutable and belongs to
// one plan, whose own services it does not contain.
type History struct {
	// Since is when the oldest plan was in force from which on no plan is missing. OldestVersion is the version of that
	// plan.
	Since         time.Time
	OldestVersion uint64
	// Earlier holds the services that the plan in force does not give to an address, but an earlier one did.
	Earlier map[gue.Endpoint][]EarlierService
}

// EarlierService is a service that a plan gave to an address until it was replaced by another plan.
type EarlierService struct {
	Service string
	Until   time.Time
}

// Succeed returns the history of next, which replaces current at now. current may be nil. gap is set if there may have
// been plans between the two; the history is then incomplete before now.
func Succeed(now time.Time, current, next *Plan, gap bool) *History {
	h := &History{Since: now, OldestVersion: next.Version, Earlier: map[gue.Endpoint][]EarlierService{}}
	if current == nil {
		return h
	}
	if old := current.History; old != nil {
		h.addEarlier(now, next, old)
		if !gap {
			h.Since, h.OldestVersion = old.Since, old.OldestVersion
		}
	}
	for _, r := range current.Routes {
		for _, s := range r.Shares {
			h.add(next, r.Address, EarlierService{Service: s.Service, Until: now})
		}
	}
	return h
}

// SucceedFromPeer returns the history of next, which a peer supplied together with the peer's history and which replaces
// current at now. current may be nil, and so may peer if the peer sent no history. The peer's history closes the gap
// between the two plans if it reaches back to current.
func SucceedFromPeer(now time.Time, current, next *Plan, peer *History) *History {
	h := Succeed(now, current, next, true)
	if peer == nil {
		return h
	}
	h.addEarlier(now, next, peer)
	h.Since, h.OldestVersion = peer.Since, peer.OldestVersion
	if current == nil || current.History == nil || peer.OldestVersion > current.Version {
		return h
	}
	if own := current.History; own.Since.Before(h.Since) {
		h.Since, h.OldestVersion = own.Since, own.OldestVersion
	}
	return h
}

// addEarlier adds the earlier services of another history, apart from those older than HistoryRetention.
func (h *History) addEarlier(now time.Time, inForce *Plan, other *History) {
	for a, services := range other.Earlier {
		for _, s := range services {
			if now.Sub(s.Until) <= HistoryRetention {
				h.add(inForce, a, s)
			}
		}
	}
}

// add records an earlier service of an address, unless the plan in force gives the service to the address.
func (h *History) add(inForce *Plan, a gue.Endpoint, s EarlierService) {
	if r := inForce.Find(a); r != nil && r.HasService(s.Service) {
		return
	}
	i := slices.IndexFunc(h.Earlier[a], func(o EarlierService) bool { return o.Service == s.Service })
	switch {
	case i < 0:
		h.Earlier[a] = append(h.Earlier[a], s)
	case s.Until.After(h.Earlier[a][i].Until):
		h.Earlier[a][i].Until = s.Until
	}
}

// ReachesBack reports whether no plan is missing under which a flow of at most the given age may have been placed. It
// returns false for a nil history.
func (h *History) ReachesBack(now time.Time, age time.Duration) bool {
	age += distributionTime
	return h != nil && age <= HistoryRetention && now.Sub(h.Since) >= age
}

// EarlierServices returns the services, other than those of the plan in force, on which flows of an address may have
// been placed that are at most as old as age. It returns nil for a nil history.
func (h *History) EarlierServices(now time.Time, age time.Duration, a gue.Endpoint) []string {
	if h == nil {
		return nil
	}
	var services []string
	for _, s := range h.Earlier[a] {
		if now.Sub(s.Until) <= age+distributionTime {
			services = append(services, s.Service)
		}
	}
	return services
}
