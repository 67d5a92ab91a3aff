package announce

import "github.com/coltsfootline/coltsfootline/kernel/facts"

// Result is the effect of an announcement on the known state of the target.
type Result uint8

// Results of Tracker.Apply.
const (
	// ResultStale means that the announcement was ignored as out of date: it is from an earlier incarnation or another
	// target, the target has terminated, or a later announcement of the same incarnation was processed before it.
	ResultStale Result = iota
	// ResultOtherService means that the announcement was ignored because its target belongs to another service.
	ResultOtherService
	// ResultUnchanged means that the announcement confirmed the known state of the target.
	ResultUnchanged
	// ResultChanged means that the announcement changed the known state of the target.
	ResultChanged
)

// Tracker keeps the latest announced state of an agent's target. Set Service before use.
type Tracker struct {
	Service string

	target   facts.Target
	sequence uint64
	known    bool
	// absent is set if the process of the known target was found not to exist.
	absent bool
}

// Restore sets the state of the target from the store, unless a state is already known, and reports whether it did.
// The stored state may be out of date, so the target's own announcements take precedence.
func (t *Tracker) Restore(target facts.Target) bool {
	if t.known {
		return false
	}
	t.target, t.known, t.sequence = target, true, 0
	return true
}

// SetAbsent records that the process of the known target does not exist. The next one may have started earlier by the
// wall clock, if that was set back in between.
func (t *Tracker) SetAbsent() {
	t.absent = true
}

// Apply processes an announcement. It returns the state of the target afterwards and the result.
func (t *Tracker) Apply(a Announcement) (facts.Target, Result) {
	if a.Target.State == facts.TargetGone {
		return t.applyGone(a)
	}
	if a.Service != t.Service {
		return t.target, ResultOtherService
	}
	if t.known {
		if a.Target.StartedMs < t.target.StartedMs && !t.absent {
			return t.target, ResultStale
		}
		if a.Target.SameIncarnation(t.target) && (a.Sequence < t.sequence || t.target.State == facts.TargetGone) {
			return t.target, ResultStale
		}
	}
	unchanged := t.known && t.target == a.Target
	t.target, t.sequence, t.known, t.absent = a.Target, a.Sequence, true, false
	if unchanged {
		return t.target, ResultUnchanged
	}
	return t.target, ResultChanged
}

// applyGone processes the announcement of a target that terminates. It identifies the target only by its ID and has
// neither a service, a start time nor a sequence number.
func (t *Tracker) applyGone(a Announcement) (facts.Target, Result) {
	if !t.known || a.Target.ID != t.target.ID {
		return t.target, ResultStale
	}
	if t.target.State == facts.TargetGone {
		return t.target, ResultUnchanged
	}
	t.target.State = facts.TargetGone
	return t.target, ResultChanged
}

// Target returns the known state of the target. It returns false if there is none.
func (t *Tracker) Target() (facts.Target, bool) {
	return t.target, t.known
}
