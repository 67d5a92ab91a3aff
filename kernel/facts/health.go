package facts

import "reflect"

// Health is what an agent says of the answers of its target, in steps that change rarely. It never holds what an answer
// says. Levels are 0 if unknown.
type Health struct {
	// Failing is the share of requests without an answer, in percent. It is 0 below a threshold.
	Failing int `json:"failing,omitempty"`
	// Quick is the share of answers that come much sooner and are much smaller than is usual for the host, in percent. It is
	// 0 below a threshold.
	Quick int `json:"quick,omitempty"`
	// P70 and P90 are levels of the time to the first bytes of an answer that so many percent of the answers stay below.
	P70 int `json:"p70,omitempty"`
	P90 int `json:"p90,omitempty"`
}

// EqualExceptHealth reports whether the bodies of two member facts differ in nothing but the health.
func EqualExceptHealth(f, g Fact) bool {
	if f.Body == g.Body {
		return true
	}
	a, errA := DecodeMember(f)
	b, errB := DecodeMember(g)
	if errA != nil || errB != nil {
		return false
	}
	a.Health, b.Health, a.Incarnation, b.Incarnation = nil, nil, 0, 0
	return reflect.DeepEqual(a, b)
}
