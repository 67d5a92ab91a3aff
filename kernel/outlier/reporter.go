package outlier

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	// reportInterval is the least time between two changes of a report, which all instances receive.
	reportInterval = 2 * time.Second
	// shareFrom and shareTo are the shares of failed or quick requests, in percent, from which one is reported and below
	// which it no longer is.
	shareFrom = 20
	shareTo   = 10
	// levelStep is the least change of a level that is reported: a factor of 2.8. The reports of equal hosts differ by less.
	levelStep = 3
)

// Reporter decides when what a host says of its target changes. The zero value has said nothing.
type Reporter struct {
	said    *facts.Health
	changed time.Time
}

// Said returns the latest report, or nil if the host says nothing.
func (r *Reporter) Said() *facts.Health {
	return r.said
}

// Update takes the present score and reports whether the report has changed.
func (r *Reporter) Update(now time.Time, h *facts.Health) bool {
	if !r.changed.IsZero() && now.Sub(r.changed) < reportInterval {
		return false
	}
	if h == nil {
		if r.said == nil {
			return false
		}
		r.said, r.changed = nil, now
		return true
	}
	next, said := *h, facts.Health{}
	if r.said != nil {
		said = *r.said
	}
	next.Failing, next.Quick = share(said.Failing, h.Failing), share(said.Quick, h.Quick)
	if r.said != nil && !differs(*r.said, next) {
		return false
	}
	r.said, r.changed = &next, now
	return true
}

// share returns the share to report in place of the one before. A host that reports one keeps the figure until the share is
// low again.
func share(before, percent int) int {
	switch {
	case before > 0 && percent >= shareTo:
		return before
	case percent >= shareFrom:
		return percent
	}
	return 0
}

// differs reports whether two reports differ by enough to be sent.
func differs(a, b facts.Health) bool {
	if a.Failing != b.Failing || a.Quick != b.Quick {
		return true
	}
	for _, pair := range [][2]int{{a.P70, b.P70}, {a.P90, b.P90}} {
		// A host without answers for a while keeps what it said of its times.
		if pair[1] != 0 && (pair[0]-pair[1] >= levelStep || pair[1]-pair[0] >= levelStep) {
			return true
		}
	}
	return false
}
