package events

import "time"

// recordsPerSecond bounds how often one event is logged in a second: a process logs at most about 100 KB/s.
const recordsPerSecond = 50

// Limiter bounds how often each event is logged. The zero value is ready to use from one goroutine.
type Limiter struct {
	second  int64
	counts  map[int]int
	dropped map[int]int
}

// Suppressed says how many records of an event were left out.
type Suppressed struct {
	Event Event
	Count int
}

// Allow reports whether the event may be logged at now, and counts it.
func (l *Limiter) Allow(now time.Time, e Event) bool {
	if l.counts == nil {
		l.counts, l.dropped = map[int]int{}, map[int]int{}
	}
	if s := now.Unix(); s != l.second {
		l.second = s
		clear(l.counts)
	}
	l.counts[e.Number]++
	if l.counts[e.Number] <= recordsPerSecond {
		return true
	}
	l.dropped[e.Number]++
	return false
}

// Suppressed returns what was left out in seconds before now, and forgets it.
func (l *Limiter) Suppressed(now time.Time) []Suppressed {
	if len(l.dropped) == 0 || now.Unix() == l.second {
		return nil
	}
	var all []Suppressed
	for n, c := range l.dropped {
		all = append(all, Suppressed{Event: catalogue[n], Count: c})
	}
	clear(l.dropped)
	return all
}
