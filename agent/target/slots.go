package target

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

// peerCheckInterval is how often a waiting request checks whether another agent should run it.
const peerCheckInterval = 20 * time.Millisecond

// Slots limits the requests that run at once to Count and queues up to Queue more. Requests are admitted in order of
// arrival, except that short requests pass long ones that are over their limit, and that requests which another agent
// refused return to the front of the queue. Set the exported fields before use.
type Slots struct {
	Instance string
	Count    int
	Queue    int
	// MaxWait is the longest expected wait with which a request is still queued; 0 means no limit.
	MaxWait time.Duration

	mutex       sync.Mutex
	busy        int
	busyLong    int
	utilisation placement.UtilisationMeter
	routeTimes  placement.RouteServiceTimes
	waiting     []*waiter
}

type waiter struct {
	long     bool
	admitted chan struct{}
}

// IsLong reports whether requests of a route are expected to run much longer than others.
func (s *Slots) IsLong(route string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.routeTimes.IsLong(route)
}

// TryAcquire takes a slot if one is free for such a request and no waiting request could use it.
func (s *Slots) TryAcquire(now time.Time, long bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tryAcquireLocked(now, long)
}

func (s *Slots) tryAcquireLocked(now time.Time, long bool) bool {
	if !s.canAdmit(long) || s.firstAdmissible() >= 0 {
		return false
	}
	s.adjustBusy(now, 1, long)
	return true
}

// canAdmit reports whether a slot is free for such a request. Long requests hold at most
// placement.MaxLongRequests slots, so that with two slots or more a short request never waits for long ones only.
func (s *Slots) canAdmit(long bool) bool {
	return s.busy < s.Count && (!long || s.busyLong < placement.MaxLongRequests(s.Count))
}

// firstAdmissible returns the index of the first waiting request that a slot is free for, or -1.
func (s *Slots) firstAdmissible() int {
	for i, w := range s.waiting {
		if s.canAdmit(w.long) {
			return i
		}
	}
	return -1
}

// adjustBusy changes the number of busy slots. It first records the utilisation up to now with the old number.
func (s *Slots) adjustBusy(now time.Time, delta int, long bool) {
	s.utilisation.Update(now, s.busy, s.Count)
	s.busy += delta
	if long {
		s.busyLong += delta
	}
}

// Acquire waits for a slot. It returns "" once the request holds one, or the reason why it got none. While the request
// waits, shouldHandOver is called every peerCheckInterval; when it returns true, Acquire gives up with ReasonElsewhere.
// With atFront, the request is queued at the front, regardless of the queue's limits; it is for a request that waited
// before and that another agent refused.
func (s *Slots) Acquire(ctx context.Context, long, atFront bool, shouldHandOver func() bool) Reason {
	s.mutex.Lock()
	if s.tryAcquireLocked(time.Now(), long) {
		s.mutex.Unlock()
		return ""
	}
	if reason := s.refusalReason(ctx); reason != "" && !atFront {
		s.mutex.Unlock()
		return reason
	}
	w := &waiter{long: long, admitted: make(chan struct{})}
	if atFront {
		s.waiting = append([]*waiter{w}, s.waiting...)
	} else {
		s.waiting = append(s.waiting, w)
	}
	s.mutex.Unlock()
	return s.waitAdmitted(ctx, w, shouldHandOver)
}

// refusalReason returns why a request can't be queued, or "" if it can.
func (s *Slots) refusalReason(ctx context.Context) Reason {
	if len(s.waiting) >= s.Queue {
		return ReasonQueueFull
	}
	expected := s.routeTimes.ExpectedWait(len(s.waiting), s.Count)
	if s.MaxWait > 0 && expected > s.MaxWait {
		return ReasonOverload
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < expected {
		return ReasonDeadline
	}
	return ""
}

// ExpectedWait returns how long a request that arrives now would wait for a slot.
func (s *Slots) ExpectedWait() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.routeTimes.ExpectedWait(len(s.waiting), s.Count)
}

// waitAdmitted waits until a queued request is admitted, its context ends or it should be handed over.
func (s *Slots) waitAdmitted(ctx context.Context, w *waiter, shouldHandOver func() bool) Reason {
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.admitted:
			return ""
		case <-ctx.Done():
			s.cancelWaiter(w)
			return doneReason(ctx)
		case <-ticker.C:
			if !shouldHandOver() {
				continue
			}
			if s.removeWaiter(w) {
				return ReasonElsewhere
			}
			return ""
		}
	}
}

// cancelWaiter removes a waiter from the queue, or releases its slot if it was admitted in the meantime.
func (s *Slots) cancelWaiter(w *waiter) {
	if s.removeWaiter(w) {
		return
	}
	s.ReleaseUnused(w.long)
}

// ReleaseUnused releases a slot in which no request ran. Unlike Release, it records no run time.
func (s *Slots) ReleaseUnused(long bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.releaseLocked(long)
}

// removeWaiter removes a waiter from the queue. It returns false if the waiter was already admitted.
func (s *Slots) removeWaiter(w *waiter) bool {
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

// doneReason returns the reason for a request whose context ended.
func doneReason(ctx context.Context) Reason {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return ReasonDeadline
	}
	return ReasonCancelled
}

// Release releases a slot and records how long a request of the route held it.
func (s *Slots) Release(route string, held time.Duration, long bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.routeTimes.Observe(route, held)
	s.releaseLocked(long)
}

// releaseLocked releases a slot and admits the first waiting request that may use it.
func (s *Slots) releaseLocked(long bool) {
	now := time.Now()
	s.adjustBusy(now, -1, long)
	i := s.firstAdmissible()
	if i < 0 {
		return
	}
	w := s.waiting[i]
	s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
	s.adjustBusy(now, 1, w.long)
	close(w.admitted)
}

// Load returns the current load.
func (s *Slots) Load(now time.Time) placement.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.utilisation.Update(now, s.busy, s.Count)
	return placement.Load{
		Instance:          s.Instance,
		Slots:             s.Count,
		Busy:              s.busy,
		Waiting:           len(s.waiting),
		BusyLong:          s.busyLong,
		RecentUtilisation: s.utilisation.Utilisation(),
	}
}
