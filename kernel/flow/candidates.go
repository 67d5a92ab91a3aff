package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// topHosts holds the hosts with the highest scores, best first, up to a limit. The zero value is empty.
type topHosts struct {
	hosts [maxCandidates]rankedHost
	count int
}

// takes reports whether a host would be among the first limit ones.
func (t *topHosts) takes(r rankedHost, limit int) bool {
	return t.count < limit || r.compare(t.hosts[limit-1]) < 0
}

// add inserts a host that takes returned true for.
func (t *topHosts) add(r rankedHost, limit int) {
	if t.count < limit {
		t.count++
	}
	i := t.count - 1
	for ; i > 0 && r.compare(t.hosts[i-1]) < 0; i-- {
		t.hosts[i] = t.hosts[i-1]
	}
	t.hosts[i] = r
}

// candidateSet selects the candidates of one data centre, or of all others.
type candidateSet struct {
	// first are the first hosts of the flow's order, which come before all others. candidates are the first of those that
	// may take the flow.
	first      topHosts
	candidates topHosts
}

// appendPreferred appends the candidates that are among the first hosts if preferred is set, and the others otherwise.
func (s *candidateSet) appendPreferred(buffer []rankedHost, preferred bool) []rankedHost {
	for _, r := range s.candidates.hosts[:s.candidates.count] {
		if len(buffer) < maxCandidates && (r.compare(s.first.hosts[s.first.count-1]) <= 0) == preferred {
			buffer = append(buffer, r)
		}
	}
	return buffer
}

// firstCandidates returns the first maxCandidates hosts, in the order of rank, on which the flow may be placed. It reads
// all hosts of the group but sorts only the first ones, so that its time grows slowly with the group.
func (e *Entry) firstCandidates(now time.Time, f gue.Flow, g *Group, ef *entryFlow, allowTried bool) []rankedHost {
	var local, remote candidateSet
	key := f.Hash(gue.Key{})
	for _, h := range g.Hosts {
		r := rankedHost{host: h, score: fmix64(key ^ h.nameHash)}
		s, limit := &local, localCandidates
		if h.DataCentre != e.DataCentre {
			s, limit = &remote, remoteCandidates
		}
		if (s == &local || !h.Evacuated) && s.first.takes(r, limit) {
			s.first.add(r, limit)
		}
		if s.candidates.takes(r, maxCandidates) && e.mayTake(now, h, ef, allowTried) && !e.withholds(r) {
			s.candidates.add(r, maxCandidates)
		}
	}
	buffer := e.rankBuffer[:0]
	for _, preferred := range []bool{true, false} {
		buffer = remote.appendPreferred(local.appendPreferred(buffer, preferred), preferred)
	}
	return buffer
}

// mayTake reports whether the flow may be placed on the host. Hosts that the flow's SYNs were already sent to may take it
// only if allowTried is set.
func (e *Entry) mayTake(now time.Time, h *Host, ef *entryFlow, allowTried bool) bool {
	if !h.Placeable {
		return false
	}
	hl := e.hostLoadOf(h.Instance)
	return (allowTried || !ef.hasTried(hl)) && !now.Before(hl.refusedUntil)
}
