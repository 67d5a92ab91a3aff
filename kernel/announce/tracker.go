package announce

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// Result is the effect of an announcement on the known state of the target.
type Result uint8

// Results of Tracker.Apply.
const (
	// ResultStale means that the announcement was ignored as out of date: it is from an earlier incarnation or another
	// target, the target has terminated, or a later announcement of the same incarnation was processed before it.
	ResultStale Result = iota
	// ResultIncomplete means that the announcement was ignored because it does not say when its target started, while the
	// known target did. It may come from another writer.
	ResultIncomplete
	// ResultUnproven means that the announcement is from an unknown incarnation with an earlier start than the known one,
	// which has not shown yet that it runs. Its state was not taken into account.
	ResultUnproven
	// ResultNoted means that a deregistration was recorded while no target is known. Restore takes it into account.
	ResultNoted
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
	// heard is when the known target last announced itself. It is zero if the state is from the store.
	heard time.Time
	// absent is set if the process of the known target was found not to exist.
	absent bool
	// deregistered is the incarnation that deregistered while none was known. Its start may be unknown.
	deregistered incarnation
	// former holds the incarnations before the known one.
	former    formerIncarnations
	candidate candidate
}

// Accepted reports whether the announcement was taken into account.
func (r Result) Accepted() bool {
	return r == ResultUnchanged || r == ResultChanged || r == ResultNoted
}

// Restore sets the state of the target from the store, unless a state is already known, and reports whether it did.
// The stored state may be out of date, so the target's own announcements take precedence.
func (t *Tracker) Restore(target facts.Target) bool {
	if t.known {
		return false
	}
	if d := t.deregistered; target.ID == d.id && (d.startedMs == 0 || target.StartedMs <= d.startedMs) {
		target.State = facts.TargetGone
	}
	t.target, t.known, t.sequence = target, true, 0
	return true
}

// SetAbsent records that the process of the known target does not exist. The next one may have started earlier by the
// wall clock, if that was set back in between.
func (t *Tracker) SetAbsent() {
	t.absent = true
}

// Apply processes an announcement that was received at the given time. It returns the state of the target afterwards
// and the result.
//
// Incarnations are ordered by their start times, which are of the machine's wall clock. An unknown incarnation with an
// earlier start than the known one is accepted if it shows by its announcements that it runs while the known one is
// silent, because the clock may have been set back between the two.
func (t *Tracker) Apply(now time.Time, a Announcement) (facts.Target, Result) {
	if a.Target.State == facts.TargetGone {
		return t.applyGone(now, a)
	}
	if a.Service != t.Service {
		return t.target, ResultOtherService
	}
	if result := t.check(now, a); result != ResultChanged {
		return t.target, result
	}
	unchanged := t.known && t.target == a.Target
	if t.known && !t.target.SameIncarnation(a.Target) {
		t.former = t.former.with(incarnationOf(t.target))
	}
	t.target, t.sequence, t.known, t.absent = a.Target, a.Sequence, true, false
	t.heard, t.candidate = now, candidate{}
	if unchanged {
		return t.target, ResultUnchanged
	}
	return t.target, ResultChanged
}

// check returns ResultChanged if the announcement is to be taken into account, or the reason to ignore it.
func (t *Tracker) check(now time.Time, a Announcement) Result {
	switch {
	case !t.known:
		return ResultChanged
	case a.Target.SameIncarnation(t.target):
		undrains := t.target.State == facts.TargetDraining && a.Target.State == facts.TargetReady && a.Target.StartedMs != 0
		if a.Sequence < t.sequence || t.target.State == facts.TargetGone || undrains {
			return ResultStale
		}
		return ResultChanged
	case a.Target.StartedMs == 0 && t.target.StartedMs != 0:
		return ResultIncomplete
	case t.former.contains(incarnationOf(a.Target)):
		return ResultStale
	case a.Target.StartedMs >= t.target.StartedMs, t.absent:
		return ResultChanged
	case t.candidate.observe(now, a) && now.Sub(t.heard) >= minKnownSilence:
		return ResultChanged
	}
	return ResultUnproven
}

// applyGone processes the announcement of a target that terminates. It identifies the target by its ID and, usually, its
// start, and has neither a service nor a sequence number. If no target is known yet, only that is kept, so that Restore
// does not bring the target back: it may be a target of another agent. One of an earlier incarnation, which arrives late,
// says nothing about the known one.
func (t *Tracker) applyGone(now time.Time, a Announcement) (facts.Target, Result) {
	started := a.Target.StartedMs
	switch {
	case !t.known:
		t.deregistered = incarnationOf(a.Target)
		return t.target, ResultNoted
	case a.Target.ID != t.target.ID, started != 0 && started < t.target.StartedMs:
		return t.target, ResultStale
	case started > t.target.StartedMs:
		// The known incarnation has ended before the one that terminates began.
		t.former = t.former.with(incarnationOf(t.target))
		t.target.StartedMs = started
	case t.target.State == facts.TargetGone:
		return t.target, ResultUnchanged
	}
	t.target.State, t.heard, t.candidate = facts.TargetGone, now, candidate{}
	return t.target, ResultChanged
}

// Target returns the known state of the target. It returns false if there is none.
func (t *Tracker) Target() (facts.Target, bool) {
	return t.target, t.known
}
