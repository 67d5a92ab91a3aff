package events

import "time"

// recordsPerSecond limits the records of each event per second, which keeps the log of a process below about 100 KB/s.
const recordsPerSecond = 50

// Limiter limits the rate of log records, separately for each event. The zero value is ready to use. It is not safe for
// concurrent use.
type Limiter struct {
	second     int64
	counts     map[int]int
	suppressed map[int]int
}

// Suppressed is the number of records of an event that the limiter rejected.
type Suppressed struct {
	Event Event
	Count int
}

// Allow counts the event and reports whether it may be logged at the given time.
func (l *Limiter) Allow(now time.Time, e Event) bool {
	if l.counts == nil {
		l.counts, l.suppressed = map[int]int{}, map[int]int{}
	}
	if s := now.Unix(); s != l.second {
		l.second = s
		clear(l.counts)
	}
	l.counts[e.Number]++
	if l.counts[e.Number] <= recordsPerSecond {
		return true
	}
	l.suppressed[e.Number]++
	return false
}

// Suppressed returns and resets the counts of rejected records. It returns nil until the second of the last call of
// Allow is over.
func (l *Limiter) Suppressed(now time.Time) []Suppressed {
	if len(l.suppressed) == 0 || now.Unix() == l.second {
		return nil
	}
	var all []Suppressed
	for n, c := range l.suppressed {
		all = append(all, Suppressed{Event: catalogue[n], Count: c})
	}
	clear(l.suppressed)
	return all
}
