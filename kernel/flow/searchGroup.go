package flow

import (
	"slices"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

const (
	// defaultFlowLifetime is assumed if Entry.FlowLifetime is not set.
	defaultFlowLifetime = 60 * time.Second
	// planSettleTime is how long after its start a search also waits for the hosts of services that the history does not
	// name. A newer plan, under which another entry placed the flow, is known by then: its version arrives with the next
	// exchange with a peer, which takes place every 400 ms.
	planSettleTime = 500 * time.Millisecond
	// maxOtherHosts bounds the hosts of other services that a search asks. Together with maxSearches it bounds the memory
	// of the searches at some 20 MB. A flow that more hosts may hold is not reset.
	maxOtherHosts = 1024
	// maxSingleQuestions is how many concurrent searches ask the hosts of other services at once. With more, the questions
	// of all searches to one host are sent together, which takes a sixth of the bytes.
	maxSingleQuestions = 32
)

// searchGroup is the set of hosts that may hold a flow of a route, according to one directory and one plan.
type searchGroup struct {
	directory *Directory
	plan      *plan.Plan
	// services holds the services whose hosts are in the group, in the order in which they are asked: those that the plan
	// in force gives to the route, those that earlier plans gave to it, and all others.
	services []searchedService
	// hosts holds the hosts of each service in the order of Group.rank. A flow is usually on one of the first hosts of its
	// service. members holds their entries in the directory, in the same order.
	hosts   []*hostLoad
	members []*Host
	// inForce is the number of hosts of the plan in force, and known that of these and of earlier plans.
	inForce int
	known   int
	others  otherServices
	// complete is set if the history reaches back to the oldest flow, so that no other service can hold the flow unless a
	// newer plan is in force elsewhere.
	complete bool
	// changed is when one of the services last got another host.
	changed time.Time
}

// searchedService is a service in a searchGroup. Its hosts are those from first to end.
type searchedService struct {
	name       string
	first, end int
}

// otherServices is the part that the services unknown to the history have in a searchGroup.
type otherServices uint8

const (
	// othersNone is set if there are no other services.
	othersNone otherServices = iota
	// othersPending is set until the other services are added to the group.
	othersPending
	othersAdded
	// othersTooMany is set if the other services have more than maxOtherHosts hosts.
	othersTooMany
)

// searchGroupFor returns the hosts of the services that the plan in force and earlier plans gave to the route. The hosts
// of other services are added by addOthers.
func (e *Entry) searchGroupFor(now time.Time, f gue.Flow, route *plan.Route) searchGroup {
	lifetime := e.FlowLifetime
	if lifetime == 0 {
		lifetime = defaultFlowLifetime
	}
	history := e.plan.History
	g := searchGroup{
		directory: e.directory, plan: e.plan,
		complete: history.ReachesBack(now, lifetime) && e.NewestPlan <= e.plan.Version,
	}
	for _, s := range route.Shares {
		e.addService(now, f, &g, s.Service)
	}
	g.inForce = len(g.hosts)
	for _, s := range history.EarlierServices(now, lifetime, route.Address) {
		e.addService(now, f, &g, s)
	}
	g.known = len(g.hosts)
	if slices.ContainsFunc(e.allServices(), func(s string) bool { return !g.includes(s) }) {
		g.others = othersPending
	}
	return g
}

func (g *searchGroup) includes(service string) bool {
	return slices.ContainsFunc(g.services, func(s searchedService) bool { return s.name == service })
}

// addService adds the hosts of a service, except those that have been down for longer than downHostWindow.
func (e *Entry) addService(now time.Time, f gue.Flow, g *searchGroup, service string) {
	if g.includes(service) {
		return
	}
	added := searchedService{name: service, first: len(g.hosts)}
	// Hosts of a service of which none is known may be found with any change of the membership.
	changed := e.directoryChanged
	if group := e.directory.Group(service); group != nil {
		changed = e.groupChanges[service].at
		e.rankBuffer = group.rank(f, e.DataCentre, e.rankBuffer)
		for _, r := range e.rankBuffer {
			if hl := e.hostLoadOf(r.host.Instance); !r.host.Down || now.Sub(hl.downSince) < downHostWindow {
				g.hosts, g.members = append(g.hosts, hl), append(g.members, r.host)
			}
		}
	}
	if changed.After(g.changed) {
		g.changed = changed
	}
	added.end = len(g.hosts)
	g.services = append(g.services, added)
}

// addOthers adds the hosts of all services that are not in the group yet, unless there are too many.
func (e *Entry) addOthers(now time.Time, f gue.Flow, g *searchGroup) {
	if g.others != othersPending {
		return
	}
	if len(e.directory.byAddress)-len(g.hosts) > maxOtherHosts {
		g.others = othersTooMany
		return
	}
	g.others = othersAdded
	for _, s := range e.allServices() {
		e.addService(now, f, g, s)
	}
}

// allServices returns the names of the services that have hosts or routes, sorted.
func (e *Entry) allServices() []string {
	if e.services != nil {
		return e.services
	}
	names := make(map[string]bool, len(e.directory.byService))
	for s := range e.directory.byService {
		names[s] = true
	}
	for _, r := range e.plan.Routes {
		for _, s := range r.Shares {
			names[s.Service] = true
		}
	}
	e.services = make([]string, 0, len(names))
	for s := range names {
		e.services = append(e.services, s)
	}
	slices.Sort(e.services)
	return e.services
}

// mustAskOthers reports whether the search must have denials of the hosts of all services.
func (s *search) mustAskOthers(now time.Time) bool {
	return s.group.others != othersNone && (!s.group.complete || now.Sub(s.started) < planSettleTime)
}

// canWiden reports whether widen has hosts to add to the scope.
func (s *search) canWiden() bool {
	return s.scope < len(s.group.hosts) || s.group.others == othersPending
}

// widen extends the scope first to the maxCandidates likeliest hosts, then to nearbyHosts, then to all hosts of the plan
// in force, of earlier plans and of other services. While hosts are busy, flows are placed beyond the likeliest hosts,
// but seldom in other data centres.
func (e *Entry) widen(now time.Time, f gue.Flow, s *search) {
	for _, scope := range []int{maxCandidates, nearbyHosts} {
		if s.scope < scope && scope < s.group.inForce {
			s.scope = scope
			return
		}
	}
	switch {
	case s.scope < s.group.inForce:
		s.scope = s.group.inForce
	case s.scope < s.group.known:
		s.widenToKnown()
	default:
		e.widenToOthers(now, f, s)
	}
}

// widenToKnown extends the scope to all hosts of the plan in force and of earlier plans.
func (s *search) widenToKnown() {
	if s.scope < s.group.known {
		s.scope, s.knownFrom = s.group.known, s.retries
	}
}

// widenToOthers extends the scope to the hosts of all services.
func (e *Entry) widenToOthers(now time.Time, f gue.Flow, s *search) {
	if s.group.others == othersPending {
		s.othersFrom = s.retries
	}
	e.addOthers(now, f, &s.group)
	s.answers = append(s.answers, make([]answer, len(s.group.hosts)-len(s.answers))...)
	s.scope = len(s.group.hosts)
}

// refreshSearch updates a search after the directory or the plan changed. It asks the hosts that are new in the group or
// whose targets have restarted. The denials of the others hold.
func (e *Entry) refreshSearch(now time.Time, f gue.Flow, route *plan.Route, ef *entryFlow) {
	s := ef.search
	if s.group.directory == e.directory && s.group.plan == e.plan {
		s.group.complete = s.group.complete && e.NewestPlan <= e.plan.Version
		return
	}
	previous, answers := s.group, s.answers
	s.group = e.searchGroupFor(now, f, route)
	if previous.others == othersAdded {
		e.addOthers(now, f, &s.group)
	}
	s.answers = make([]answer, len(s.group.hosts))
	complete := true
	for _, service := range s.group.services {
		complete = s.copyAnswers(service, &previous, answers) && complete
	}
	if !complete {
		s.scope, s.due = len(s.group.hosts), true
		s.knownFrom, s.othersFrom = s.retries, s.retries
		return
	}
	s.scope = min(s.scope, len(s.group.hosts))
}

// copyAnswers copies the answers of a service's hosts from an earlier group, apart from those of earlier incarnations of
// their targets. It returns false if a host has no answer to copy.
func (s *search) copyAnswers(service searchedService, previous *searchGroup, answers []answer) bool {
	i := slices.IndexFunc(previous.services, func(o searchedService) bool { return o.name == service.name })
	if i < 0 {
		return false
	}
	from, all := previous.services[i], true
	for k := service.first; k < service.end; k++ {
		n := slices.Index(previous.hosts[from.first:from.end], s.group.hosts[k])
		if n < 0 || !previous.members[from.first+n].Target.SameIncarnation(s.group.members[k].Target) {
			all = false
			continue
		}
		s.answers[k] = answers[from.first+n]
	}
	return all
}
