package outlier

import (
	"math"
	"time"
)

const (
	// maxKinds bounds the kinds of requests that are told apart.
	maxKinds = 256
	// learnedAfter is the number of answers after which the usual ones of a kind are known.
	learnedAfter = 20
	// usualStep is the largest change of the usual time and size by one answer, in octaves. At 30 answers a second, a host
	// that only returns errors takes them for usual after 25 s.
	usualStep = 0.003
	// quickShare and smallShare are the shares of the usual time and size below which an answer counts as quick. One that is
	// quick alone may come from a cache.
	quickShare = 0.2
	smallShare = 0.5
)

// usual holds the usual time and size of a target's answers of one kind, as logarithms.
type usual struct {
	time, size float64
	answers    int
}

// usualOf returns what is usual for a kind.
func (s *Score[K]) usualOf(kind K) *usual {
	u := s.usual[kind]
	if u == nil {
		if s.usual == nil || len(s.usual) >= maxKinds {
			s.usual = make(map[K]*usual)
		}
		u = &usual{}
		s.usual[kind] = u
	}
	return u
}

// isQuick reports whether an answer comes much sooner and is much smaller than usual, and learns from it.
func (u *usual) isQuick(d time.Duration, size int) bool {
	t, z := math.Log2(float64(max(d, 1))), math.Log2(float64(max(size, 1)))
	u.answers++
	if u.answers <= learnedAfter {
		u.time += (t - u.time) / float64(u.answers)
		u.size += (z - u.size) / float64(u.answers)
		return false
	}
	quick := t < u.time+math.Log2(quickShare) && z < u.size+math.Log2(smallShare)
	u.time += usualStep * min(max(t-u.time, -1), 1)
	u.size += usualStep * min(max(z-u.size, -1), 1)
	return quick
}
