package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

const (
	// serviceTimeWeight is the share of a new observation in the average; ten observations replace it.
	serviceTimeWeight = 0.1
	// busyPenalty is how long a host that said it is busy is the last choice, and one whose queue is full no choice:
	// about one request's work.
	busyPenalty = 40 * time.Millisecond
	// refusedPenalty is how long a host that refuses flows is not chosen: membership tells within that time.
	refusedPenalty = 500 * time.Millisecond
	// ignoredPenalty is how long a host that ignored a flow is not chosen: membership marks a dead one down after 1.5 s.
	ignoredPenalty = 400 * time.Millisecond
	// candidates is how many hosts a flow may be placed on; a search asks these first.
	candidates = 8
)

// hostLoad is what one entry knows of a host's load.
type hostLoad struct {
	// host is nil while the instance is not a member.
	host        *Host
	outstanding int
	// flows are those that this entry knows there and that their callers did not finish.
	flows int
	// serviceTime averages the time from a request to its answer, as this entry sees it.
	serviceTime  time.Duration
	busyUntil    time.Time
	refusedUntil time.Time
	// downSince is when the host was found down; zero is up.
	downSince time.Time
	// accepted is when the host last accepted a flow.
	accepted time.Time
}

// isDown reports whether the host was found down or left.
func (l *hostLoad) isDown() bool {
	return l.host == nil || l.host.Down
}

// instance is the host's name, or empty when it left.
func (l *hostLoad) instance() string {
	if l.host == nil {
		return ""
	}
	return l.host.Instance
}

// ignored notes that an opening packet, sent to the host at since, had to be repeated. Unless the host accepted
// another flow meanwhile it may be dead, and is left out for a while.
func (l *hostLoad) ignored(now, since time.Time) {
	if l.accepted.Before(since) {
		l.refusedUntil = now.Add(ignoredPenalty)
	}
}

func (l *hostLoad) served(d time.Duration) {
	if l.serviceTime == 0 {
		l.serviceTime = d
		return
	}
	l.serviceTime += time.Duration(serviceTimeWeight * float64(d-l.serviceTime))
}

func (l *hostLoad) declined(now time.Time, c Code) {
	switch c {
	case CodeRefused:
		l.refusedUntil = now.Add(refusedPenalty)
	case CodeFull:
		l.refusedUntil = now.Add(busyPenalty)
	default:
		l.busyUntil = now.Add(busyPenalty)
	}
}

// choose picks a host of the service for a new flow, or nil. Hosts that it was at already are left out unless again.
func (e *Entry) choose(now time.Time, f gue.Flow, service string, k *entryFlow, again bool) *hostLoad {
	g := e.directory.Group(service)
	if g == nil {
		return nil
	}
	e.order = g.rank(f, e.order)
	e.options = e.options[:0]
	e.choices = e.choices[:0]
	for _, r := range e.order {
		if len(e.options) == candidates {
			break
		}
		l := e.load(r.host.Instance)
		if !r.host.Placeable || !again && k.was(l) || now.Before(l.refusedUntil) {
			continue
		}
		e.choices = append(e.choices, l)
		e.options = append(e.options, placement.FlowCandidate{
			Instance:       r.host.Instance,
			SameDataCentre: r.host.DataCentre == e.DataCentre,
			Outstanding:    l.outstanding,
			Flows:          l.flows,
			Slots:          r.host.Target.Slots,
			ServiceTime:    l.serviceTime,
			Busy:           now.Before(l.busyUntil),
		})
	}
	if len(e.options) == 0 {
		return nil
	}
	return e.choices[e.Policy.Choose(e.options)]
}

func (k *entryFlow) was(l *hostLoad) bool {
	for i := range min(k.tries, maxTried) {
		if k.tried[i] == l {
			return true
		}
	}
	return false
}
