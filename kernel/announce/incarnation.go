package announce

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

const (
	// minProofTime is the minimum time between the first announcement of an incarnation with an earlier start and the one
	// that is accepted. Delayed announcements of an earlier incarnation arrive together, within a few milliseconds.
	minProofTime = 300 * time.Millisecond
	// minKnownSilence is how long the known incarnation must have been silent before one with an earlier start replaces
	// it. It is longer than the 770 ms between two announcements, so that an incarnation that still runs is not replaced.
	minKnownSilence = 900 * time.Millisecond
	// maxFormerIncarnations bounds the incarnations whose late announcements are recognised.
	maxFormerIncarnations = 8
)

// incarnation identifies one run of a target.
type incarnation struct {
	id        string
	startedMs int64
}

func incarnationOf(t facts.Target) incarnation {
	return incarnation{id: t.ID, startedMs: t.StartedMs}
}

// formerIncarnations holds the latest incarnations that were replaced by another one, oldest first.
type formerIncarnations []incarnation

func (f formerIncarnations) contains(i incarnation) bool {
	for _, known := range f {
		if known == i {
			return true
		}
	}
	return false
}

func (f formerIncarnations) with(i incarnation) formerIncarnations {
	if f.contains(i) {
		return f
	}
	f = append(f, i)
	return f[max(len(f)-maxFormerIncarnations, 0):]
}

// candidate is an unknown incarnation that announces an earlier start than the known one. It is either a restart after
// the clock was set back, or an earlier incarnation whose announcements were delayed. The zero value is no candidate.
type candidate struct {
	incarnation
	first    time.Time
	sequence uint64
}

// observe records an announcement of the candidate and reports whether the candidate has shown that it runs: by a
// later announcement at least minProofTime after its first one.
func (c *candidate) observe(now time.Time, a Announcement) bool {
	i := incarnationOf(a.Target)
	if c.first.IsZero() || c.incarnation != i {
		*c = candidate{incarnation: i, first: now, sequence: a.Sequence}
		return false
	}
	if a.Sequence <= c.sequence {
		return false
	}
	c.sequence = a.Sequence
	return now.Sub(c.first) >= minProofTime
}
