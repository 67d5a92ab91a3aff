package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

const (
	// serviceTimeWeight is the weight of a new sample in the moving average. Ten samples replace the old value.
	serviceTimeWeight = 0.1
	// busyPenalty is how long a host that reported CodeBusy is chosen only as a last resort, and a host that reported
	// CodeFull is not chosen. It is about the duration of one request.
	busyPenalty = 40 * time.Millisecond
	// refusedPenalty is how long a host that refuses new flows is not chosen. The membership reports its state within
	// that time.
	refusedPenalty = 500 * time.Millisecond
	// silencePenalty is how long a host that did not respond to a SYN is not chosen. The membership marks a dead host
	// as down after 1.5 s.
	silencePenalty = 400 * time.Millisecond
	// maxCandidates is the number of hosts that a flow may be placed on. A search asks these hosts first.
	maxCandidates = 8
)

// hostLoad is one entry's view of a host's load.
type hostLoad struct {
	// host is nil if the instance is not a member.
	host        *Host
	outstanding int
	// flows counts the flows at the host that this entry knows and whose callers have not closed them.
	flows int
	// serviceTime is a moving average of the time from a request to its answer, as seen by this entry.
	serviceTime  time.Duration
	busyUntil    time.Time
	refusedUntil time.Time
	// downSince is when the host was marked as down, or zero if it is up.
	downSince time.Time
	// lastAccepted is when the host last accepted a flow.
	lastAccepted time.Time
}

// isDown reports whether the host was marked as down or has left.
func (hl *hostLoad) isDown() bool {
	return hl.host == nil || hl.host.Down
}

// instance returns the host's instance name, or "" if the host has left.
func (hl *hostLoad) instance() string {
	if hl.host == nil {
		return ""
	}
	return hl.host.Instance
}

// penalizeSilence records that a SYN sent to the host at since was retransmitted. The host may be dead and is not
// chosen for a while, unless it has accepted another flow in the meantime.
func (hl *hostLoad) penalizeSilence(now, since time.Time) {
	if hl.lastAccepted.Before(since) {
		hl.refusedUntil = now.Add(silencePenalty)
	}
}

// observeServiceTime adds a sample to the moving average.
func (hl *hostLoad) observeServiceTime(d time.Duration) {
	if hl.serviceTime == 0 {
		hl.serviceTime = d
		return
	}
	hl.serviceTime += time.Duration(serviceTimeWeight * float64(d-hl.serviceTime))
}

// penalizeDecline records that the host returned a SYN with the given code.
func (hl *hostLoad) penalizeDecline(now time.Time, c Code) {
	switch c {
	case CodeRefused:
		hl.refusedUntil = now.Add(refusedPenalty)
	case CodeFull:
		hl.refusedUntil = now.Add(busyPenalty)
	default:
		hl.busyUntil = now.Add(busyPenalty)
	}
}

// chooseHost returns the host of the service for a new flow, or nil. Hosts that the flow was already sent to are
// skipped unless allowTried is set.
func (e *Entry) chooseHost(now time.Time, f gue.Flow, service string, ef *entryFlow, allowTried bool) *hostLoad {
	g := e.directory.Group(service)
	if g == nil {
		return nil
	}
	e.rankBuffer = g.rank(f, e.rankBuffer)
	e.optionBuffer = e.optionBuffer[:0]
	e.candidateBuffer = e.candidateBuffer[:0]
	for _, r := range e.rankBuffer {
		if len(e.optionBuffer) == maxCandidates {
			break
		}
		hl := e.hostLoadOf(r.host.Instance)
		if !r.host.Placeable || !allowTried && ef.hasTried(hl) || now.Before(hl.refusedUntil) {
			continue
		}
		e.candidateBuffer = append(e.candidateBuffer, hl)
		e.optionBuffer = append(e.optionBuffer, placement.FlowCandidate{
			Instance:       r.host.Instance,
			SameDataCentre: r.host.DataCentre == e.DataCentre,
			Outstanding:    hl.outstanding,
			Flows:          hl.flows,
			Slots:          r.host.Target.Slots,
			ServiceTime:    hl.serviceTime,
			Busy:           now.Before(hl.busyUntil),
		})
	}
	if len(e.optionBuffer) == 0 {
		return nil
	}
	return e.candidateBuffer[e.Policy.Choose(e.optionBuffer)]
}

func (ef *entryFlow) hasTried(hl *hostLoad) bool {
	for i := range min(ef.triedCount, maxTriedHosts) {
		if ef.triedHosts[i] == hl {
			return true
		}
	}
	return false
}
