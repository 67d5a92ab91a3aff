package events

import "time"

// recordsPerSecond limits the records of each event per second, which keeps the log of a process below about 100 KB/s.
const recordsPerSecond = 50

// Limiter limits the rate of log records, separately for each event. The zero value is ready to use. It is not safe for
// concurrent use.
type Limiter struct {
	// second is the Unix time that counts is for.
	second int64
	// counts holds the number of records in this second, allowed or not, by event number.
	counts map[int]int
	// suppressed holds the number of records rejected since the last result of Suppressed, by event number.
	suppressed map[int]int
}

// Suppressed is the number of records of an event that the limiter rejected.
type Suppressed struct {
	Event Event
	Count int
}

// Allow counts a record of the event and reports whether it may be logged at the given time.
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

// Suppressed returns and resets the counts of rejected records, in no particular order. It returns nil until the second
// of the last call of Allow is over, so that each event is reported at most once per second.
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
