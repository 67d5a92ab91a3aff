package announce

import (
	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// Verdict says what an announcement means.
type Verdict uint8

// The verdicts.
const (
	// VerdictLate refuses an announcement that an earlier incarnation, or a later announcement, made obsolete.
	VerdictLate Verdict = iota
	// VerdictStranger refuses an announcement of another service's target.
	VerdictStranger
	// VerdictSame confirms what is known.
	VerdictSame
	// VerdictNews brings something new.
	VerdictNews
)

// Tracker follows the announcements of the target beside one agent. Set Service.
type Tracker struct {
	Service string

	target   facts.Target
	sequence uint64
	known    bool
}

// Restore takes what the store holds of the target. It may be out of date, so that the target's own word goes first.
func (t *Tracker) Restore(target facts.Target) bool {
	if t.known {
		return false
	}
	t.target, t.known, t.sequence = target, true, 0
	return true
}

// Judge takes an announcement and returns the target as it is now.
func (t *Tracker) Judge(a Announcement) (facts.Target, Verdict) {
	if a.Target.State == facts.TargetGone {
		return t.leave(a)
	}
	if a.Service != t.Service {
		return t.target, VerdictStranger
	}
	if t.known {
		if a.Target.StartedMs < t.target.StartedMs {
			return t.target, VerdictLate
		}
		if a.Target.SameIncarnation(t.target) && (a.Sequence < t.sequence || t.target.State == facts.TargetGone) {
			return t.target, VerdictLate
		}
	}
	same := t.known && t.target == a.Target
	t.target, t.sequence, t.known = a.Target, a.Sequence, true
	if same {
		return t.target, VerdictSame
	}
	return t.target, VerdictNews
}

// leave takes the word of a target that ends; it names no more than its ID.
func (t *Tracker) leave(a Announcement) (facts.Target, Verdict) {
	if !t.known || a.Target.ID != t.target.ID {
		return t.target, VerdictLate
	}
	if t.target.State == facts.TargetGone {
		return t.target, VerdictSame
	}
	t.target.State = facts.TargetGone
	return t.target, VerdictNews
}

// Target returns the target as it is known.
func (t *Tracker) Target() (facts.Target, bool) {
	return t.target, t.known
}
