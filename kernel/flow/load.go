package flow

import (
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

const (
	// serviceTimeWeight is the weight of a new sample in the exponential moving averages of service times. About ten
	// samples outweigh the old value.
	serviceTimeWeight = 0.1
	// defaultServiceTime is assumed for a host whose service time is unknown. It is about the mean service time of a request
	// in the project's requirements.
	defaultServiceTime = 30 * time.Millisecond
	// busyPenalty is how long a host is reported to the policy as busy after CodeBusy. It is about the duration of one
	// request.
	busyPenalty = 40 * time.Millisecond
	// refusedPenalty is how long a host is not chosen after CodeRefused. Within that time, the membership reports the
	// state of the host.
	refusedPenalty = 500 * time.Millisecond
	// synTimeoutPenalty is how long a host is not chosen after a SYN that it did not respond to. The membership marks a
	// dead host as down after 1.5 s.
	synTimeoutPenalty = 400 * time.Millisecond
	// maxLocalColdDeclines is how many cold hosts may return a SYN before hosts of other data centres are preferred.
	maxLocalColdDeclines = 2
	// maxCandidates bounds the hosts that the policy chooses from for one flow. A search asks as many hosts first.
	maxCandidates = localCandidates + remoteCandidates
)

// hostLoad is one entry's view of a host's load.
type hostLoad struct {
	// host is nil if the instance is not a member.
	host *Host
	// outstanding counts the flows at the host that this entry knows to be opening or busy.
	outstanding int
	// flows counts the flows at the host that this entry knows and whose callers have not closed them.
	flows int
	// serviceTime is the exponential moving average of the time from a request to its answer, as seen by this entry. It
	// is 0 before the first sample.
	serviceTime time.Duration
	// room is what the host last reported with a returned SYN.
	room room
	// busyUntil is until when the host is reported to the policy as busy.
	busyUntil time.Time
	// refusedUntil is until when the host is not chosen.
	refusedUntil time.Time
	// coldUntil is until when the host counts as cold and full.
	coldUntil time.Time
	// withheld is the share of its flows that the host does not get because it is ejected or returns from that.
	withheld float64
	// downSince is when the host was marked as down, or zero if it is up.
	downSince time.Time
	// silent counts the questions in a row that the host did not answer. It is not asked about flows before askAfter.
	silent   int
	askAfter time.Time
	// flowQuestionsUntil is until when the host is asked about single flows of an address, because it may hold some.
	flowQuestionsUntil map[gue.Endpoint]time.Time
	// lastAccepted is when a caller last completed a handshake with the host through this entry.
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

// penalizeSYNTimeout records that the caller retransmitted a SYN that was sent to the host at the time since. The host
// may be dead and is not chosen for synTimeoutPenalty, unless it has accepted another flow in the meantime.
func (hl *hostLoad) penalizeSYNTimeout(now, since time.Time) {
	if hl.lastAccepted.Before(since) {
		hl.refusedUntil = now.Add(synTimeoutPenalty)
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

// penalizeDecline records that the host returned a SYN with the given mark, and what it reports of its room. A full host
// is not chosen for the time of one request, in which its queue advances by its slots.
func (hl *hostLoad) penalizeDecline(now time.Time, m Mark) {
	switch m.Code {
	case CodeRefused:
		hl.refusedUntil = now.Add(refusedPenalty)
	case CodeFull:
		hl.refusedUntil = now.Add(hl.meanServiceTime())
	default:
		if m.isCold() {
			hl.penalizeCold(now)
			return
		}
		hl.busyUntil = now.Add(busyPenalty)
		hl.noteRoom(now, m.Value)
	}
}

// chooseHost returns the host of the service on which to place a flow, or nil if there is none. Hosts that the flow's
// SYNs were already sent to are skipped unless allowTried is set.
func (e *Entry) chooseHost(now time.Time, f gue.Flow, service string, ef *entryFlow, allowTried bool) *hostLoad {
	g := e.directory.Group(service)
	if g == nil {
		return nil
	}
	e.rankBuffer = e.firstCandidates(now, f, g, ef, allowTried)
	if allowTried && len(e.rankBuffer) == 0 {
		e.rankBuffer = e.candidatesWithEjected(now, f, g, ef)
	}
	e.candidateBuffer = e.candidateBuffer[:0]
	e.loadBuffer = e.loadBuffer[:0]
	typical := e.rooms.typical(now)
	// Cold hosts report no room. After an evacuation all local hosts may be cold, while others are idle.
	preferLocal := ef.coldDeclines < maxLocalColdDeclines
	for _, r := range e.rankBuffer {
		hl := e.hostLoadOf(r.host.Instance)
		e.loadBuffer = append(e.loadBuffer, hl)
		local := r.host.DataCentre == e.DataCentre
		e.candidateBuffer = append(e.candidateBuffer, placement.FlowCandidate{
			Instance:       r.host.Instance,
			SameDataCentre: local == preferLocal,
			Outstanding:    hl.outstanding,
			Flows:          hl.flows,
			Slots:          r.host.Target.Slots,
			ServiceTime:    hl.serviceTime,
			Busy:           now.Before(hl.busyUntil),
			Wait:           hl.expectedWait(now, typical.of(local)),
		})
	}
	if len(e.candidateBuffer) == 0 {
		return nil
	}
	return e.loadBuffer[e.Policy.Choose(e.candidateBuffer)]
}

func (ef *entryFlow) hasTried(hl *hostLoad) bool {
	for i := range min(ef.triedCount, maxTriedHosts) {
		if ef.triedHosts[i] == hl {
			return true
		}
	}
	return false
}
