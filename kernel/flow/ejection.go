package flow

import (
	"math"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/outlier"
)

// judgeInterval is the time between two decisions about ejections.
const judgeInterval = 100 * time.Millisecond

// ejections holds an entry's decisions about hosts that behave far worse than the others of their service. The zero value
// ejects nothing.
type ejections struct {
	services  map[string]*serviceEjections
	directory *Directory
	decided   time.Time
	// suspended is set while a flow is placed that no other host can take.
	suspended bool
}

// serviceEjections are the ejections of one service and what is known of its room.
type serviceEjections struct {
	judge outlier.Judge
	// sent and returned count the SYNs that were sent to hosts for a free slot and those that came back for lack of one.
	sent, returned decayingSum
	// slots is the number of slots of a host by the latest report.
	slots int
}

// settledSYNs is the weight of SYNs that were not returned in the estimated utilisation, so that the first few returned
// ones do not decide.
const settledSYNs = 5

// utilisation estimates which share of the service's slots is in use from the share of SYNs that came back. Hosts of n
// slots whose flows arrive at random are full for a share of the time of about the utilisation to the power of 2n.
func (s *serviceEjections) utilisation(now time.Time) float64 {
	share := s.returned.at(now) / (s.sent.at(now) + settledSYNs)
	return math.Pow(min(share, 1), 1/float64(2*max(s.slots, 1)))
}

// noteSent records that a SYN was sent to a host of a service.
func (j *ejections) noteSent(now time.Time, service string, m Mark) {
	if s := j.services[service]; s != nil && m.Code == CodeNone {
		s.sent.add(now, 1)
	}
}

// noteReturned records that a host returned a SYN and reported its room.
func (j *ejections) noteReturned(now time.Time, hl *hostLoad) {
	if hl.host == nil {
		return
	}
	if s := j.services[hl.host.Service]; s != nil {
		s.returned.add(now, 1)
		s.slots = hl.room.slots
	}
}

// UpdateEjections decides which hosts are ejected or return. Call it a few times a second.
func (e *Entry) UpdateEjections(now time.Time, out *Output) {
	j := &e.ejections
	if !e.Ejection || e.directory == nil || now.Sub(j.decided) < judgeInterval {
		return
	}
	changed := j.directory != e.directory
	j.decided, j.directory = now, e.directory
	if j.services == nil {
		j.services = map[string]*serviceEjections{}
	}
	for name, g := range e.directory.byService {
		s := j.services[name]
		if s == nil {
			s = &serviceEjections{}
			j.services[name] = s
		}
		if changed || s.judge.Active() {
			e.judgeService(now, name, g, s, out)
		}
	}
	for name := range j.services {
		if e.directory.byService[name] == nil {
			delete(j.services, name)
		}
	}
}

// judgeService decides about the hosts of one service.
func (e *Entry) judgeService(now time.Time, name string, g *Group, s *serviceEjections, out *Output) {
	hosts := make([]outlier.Host, 0, g.Placeable)
	for _, h := range g.Hosts {
		if h.Placeable {
			hosts = append(hosts, outlier.Host{Name: h.Instance, Health: h.Health})
		}
	}
	for _, c := range s.judge.Decide(now, hosts, s.utilisation(now)) {
		d := Decision{
			Action: ActionHostReturned, Instance: c.Name, Reason: c.Reason, PlanVersion: e.planVersion(), Count: c.Count, AgeMs: c.Age.Milliseconds(),
		}
		if c.Ejected {
			d.Action = ActionHostEjected
		}
		out.record(d)
	}
	for _, h := range g.Hosts {
		e.hostLoadOf(h.Instance).withheld = 1 - s.judge.Share(now, h.Instance)
	}
}

func (e *Entry) planVersion() uint64 {
	if e.plan == nil {
		return 0
	}
	return e.plan.Version
}

// withholds reports whether the flow that the host was ranked for is kept from it because it is ejected or returns from
// that. The flows of a host that returns are selected by their hash, so that all entries together send it that share.
func (e *Entry) withholds(r rankedHost) bool {
	if !e.Ejection || e.ejections.suspended {
		return false
	}
	withheld := e.hostLoadOf(r.host.Instance).withheld
	return withheld > 0 && float64(uint32(fmix64(r.score))) < withheld*math.MaxUint32+1
}

// candidatesWithEjected returns the candidates for a flow that no host can take that is not ejected.
func (e *Entry) candidatesWithEjected(now time.Time, f gue.Flow, g *Group, ef *entryFlow) []rankedHost {
	e.ejections.suspended = true
	defer func() { e.ejections.suspended = false }()
	return e.firstCandidates(now, f, g, ef, true)
}

// Ejected returns the instances of the ejected hosts by service. Services without one are left out.
func (e *Entry) Ejected() map[string][]string {
	all := map[string][]string{}
	for name, s := range e.ejections.services {
		if names := s.judge.Ejected(); len(names) > 0 {
			all[name] = names
		}
	}
	return all
}
