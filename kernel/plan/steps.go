package plan

import "time"

const (
	// stepWork is the longest piece of work on a plan between two pauses, and stepPause is the pause after it. Together
	// they take 4% of a core, a quarter of the smallest one (0.144 cores). Such a core may work for 14.4 ms in 100 ms, and
	// packets wait for the rest of the time. The decoding of 1,450 routes takes 4 to 8 ms.
	stepWork  = 400 * time.Microsecond
	stepPause = 10 * time.Millisecond
	// maxPauses bounds the pauses of one piece of work. The time of a step is that of a clock: on a core of 0.088 it goes on
	// while others have the core, and a plan of 800 routes took two seconds to decode.
	maxPauses = 16
)

// Steps splits work on a large plan into steps with pauses between them. The zero value is ready to use, and nil never
// pauses.
type Steps struct {
	// Pauses is the number of pauses so far.
	Pauses  int
	started time.Time
}

// Pause sleeps if the work since the last pause, or since the first call, takes longer than a step.
func (s *Steps) Pause() {
	if s == nil {
		return
	}
	now := time.Now()
	if s.started.IsZero() {
		s.started = now
	}
	if s.Pauses == maxPauses || now.Sub(s.started) < stepWork {
		return
	}
	s.Pauses++
	time.Sleep(stepPause)
	s.started = time.Now()
}
