package target

import (
	"context"
	"sync"
)

// Slots admits requests in order of arrival, Count at once and Queue waiting. Set the fields before use.
type Slots struct {
	Count int
	Queue int

	mutex   sync.Mutex
	busy    int
	waiting []*waiter
}

type waiter struct {
	admitted chan struct{}
}

// Acquire waits for a slot. It returns the reason why the request was not admitted, or "" with a slot held.
func (s *Slots) Acquire(ctx context.Context) Reason {
	s.mutex.Lock()
	if s.busy < s.Count && len(s.waiting) == 0 {
		s.busy++
		s.mutex.Unlock()
		return ""
	}
	if len(s.waiting) >= s.Queue {
		s.mutex.Unlock()
		return ReasonQueueFull
	}
	w := &waiter{admitted: make(chan struct{})}
	s.waiting = append(s.waiting, w)
	s.mutex.Unlock()
	select {
	case <-w.admitted:
		return ""
	case <-ctx.Done():
		return s.withdraw(ctx, w)
	}
}

// withdraw frees the place of a waiter whose context ended; a slot given to it meanwhile goes on to the next.
func (s *Slots) withdraw(ctx context.Context, w *waiter) Reason {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return reasonOf(ctx)
		}
	}
	s.releaseLocked()
	return reasonOf(ctx)
}

func reasonOf(ctx context.Context) Reason {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return ReasonDeadline
	}
	return ReasonCancelled
}

// Release gives a slot back.
func (s *Slots) Release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.releaseLocked()
}

func (s *Slots) releaseLocked() {
	if len(s.waiting) == 0 {
		s.busy--
		return
	}
	w := s.waiting[0]
	s.waiting = s.waiting[1:]
	close(w.admitted)
}

// Busy returns how many slots are held and how many requests wait.
func (s *Slots) Busy() (busy, waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.busy, len(s.waiting)
}
