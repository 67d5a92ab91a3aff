package target

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

// recheckPeriod is how often a waiting request asks whether another agent should run it.
const recheckPeriod = 20 * time.Millisecond

// Slots admits requests in order of arrival, Count at once and Queue waiting. Set the exported fields before use.
type Slots struct {
	Instance string
	Count    int
	Queue    int
	// MaxWait bounds how long a request is expected to wait when it is let into the queue; 0 means no bound.
	MaxWait time.Duration

	mutex   sync.Mutex
	busy    int
	meter   placement.UtilisationMeter
	long    int
	times   placement.RouteServiceTimes
	waiting []*waiter
}

type waiter struct {
	long     bool
	admitted chan struct{}
}

// Long reports that requests of a route are expected to run much longer than others.
func (s *Slots) Long(route string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.times.IsLong(route)
}

// TryAcquire takes a slot if one is free for such a request and nobody waits for it.
func (s *Slots) TryAcquire(now time.Time, long bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tryLocked(now, long)
}

func (s *Slots) tryLocked(now time.Time, long bool) bool {
	if !s.admits(long) || s.firstAdmitted() >= 0 {
		return false
	}
	s.change(now, 1, long)
	return true
}

// admits reports that a slot is free for such a request: long ones hold a part of the slots at most, so that a short
// one never waits for long ones only.
func (s *Slots) admits(long bool) bool {
	return s.busy < s.Count && (!long || s.long < placement.MaxLongRequests(s.Count))
}

// firstAdmitted is the place in the queue of the first request that a slot is free for, or -1.
func (s *Slots) firstAdmitted() int {
	for i, w := range s.waiting {
		if s.admits(w.long) {
			return i
		}
	}
	return -1
}

// change counts the slots in use until now, then changes their number.
func (s *Slots) change(now time.Time, by int, long bool) {
	s.meter.Update(now, s.busy, s.Count)
	s.busy += by
	if long {
		s.long += by
	}
}

// Acquire waits for a slot. It returns "" with a slot held, or the reason why there is none; the reason is
// ReasonElsewhere when elsewhere, asked now and then while the request waits, wants to run it at another agent.
// A request that comes back from there waits in front.
func (s *Slots) Acquire(ctx context.Context, long, inFront bool, elsewhere func() bool) Reason {
	s.mutex.Lock()
	if s.tryLocked(time.Now(), long) {
		s.mutex.Unlock()
		return ""
	}
	if reason := s.refusal(ctx); reason != "" && !inFront {
		s.mutex.Unlock()
		return reason
	}
	w := &waiter{long: long, admitted: make(chan struct{})}
	if inFront {
		s.waiting = append([]*waiter{w}, s.waiting...)
	} else {
		s.waiting = append(s.waiting, w)
	}
	s.mutex.Unlock()
	return s.await(ctx, w, elsewhere)
}

// refusal says why a request can't wait here, or "".
func (s *Slots) refusal(ctx context.Context) Reason {
	if len(s.waiting) >= s.Queue {
		return ReasonQueueFull
	}
	expected := s.times.ExpectedWait(len(s.waiting), s.Count)
	if s.MaxWait > 0 && expected > s.MaxWait {
		return ReasonOverload
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < expected {
		return ReasonDeadline
	}
	return ""
}

// ExpectedWait is how long a request that came now would wait for a slot.
func (s *Slots) ExpectedWait() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.times.ExpectedWait(len(s.waiting), s.Count)
}

func (s *Slots) await(ctx context.Context, w *waiter, elsewhere func() bool) Reason {
	ticker := time.NewTicker(recheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-w.admitted:
			return ""
		case <-ctx.Done():
			s.abandon(w)
			return reasonOf(ctx)
		case <-ticker.C:
			if !elsewhere() {
				continue
			}
			if s.withdraw(w) {
				return ReasonElsewhere
			}
			return ""
		}
	}
}

// abandon takes a waiter out of the queue, or gives the slot on that it was given meanwhile.
func (s *Slots) abandon(w *waiter) {
	if s.withdraw(w) {
		return
	}
	s.GiveBack(w.long)
}

// GiveBack frees a slot in which nothing ran.
func (s *Slots) GiveBack(long bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.passOn(long)
}

// withdraw takes a waiter out of the queue; it reports false when the waiter was given a slot before.
func (s *Slots) withdraw(w *waiter) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func reasonOf(ctx context.Context) Reason {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return ReasonDeadline
	}
	return ReasonCancelled
}

// Release gives a slot back that a request of a route held for some time.
func (s *Slots) Release(route string, held time.Duration, long bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.times.Observe(route, held)
	s.passOn(long)
}

// passOn frees a slot and gives it to the first that waits for such a one.
func (s *Slots) passOn(long bool) {
	now := time.Now()
	s.change(now, -1, long)
	i := s.firstAdmitted()
	if i < 0 {
		return
	}
	w := s.waiting[i]
	s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
	s.change(now, 1, w.long)
	close(w.admitted)
}

// Load returns what other agents are told.
func (s *Slots) Load(now time.Time) placement.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.meter.Update(now, s.busy, s.Count)
	return placement.Load{
		Instance:          s.Instance,
		Slots:             s.Count,
		Busy:              s.busy,
		Waiting:           len(s.waiting),
		BusyLong:          s.long,
		RecentUtilisation: s.meter.Utilisation(),
	}
}
