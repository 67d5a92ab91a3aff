package flow

import (
	"math"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// room is what a host reported with a SYN that it returned. The zero value stands for a host that reported nothing.
type room struct {
	// busy is the number of flows with an unfinished handshake or an unanswered request, including those that wait.
	busy  int
	slots int
	// serviceTime is the mean time that a request has a slot; routeTime is that of the SYN's route. They are 0 if unknown.
	serviceTime time.Duration
	routeTime   time.Duration
	// reported is when the entry received the report, and outstanding how many flows it had at the host by then.
	reported    time.Time
	outstanding int
}

// roomFor returns the mark value that reports the room of the target with a returned SYN. Only CodeBusy has one.
func (a *Agent) roomFor(f gue.Flow, c Code) uint32 {
	if c != CodeBusy {
		return 0
	}
	// The limit of the pace takes the place of the slots, so that entries do not take the rest for free.
	slots := a.slots()
	if limit := a.pace.Limit(); a.Paced && limit > 0 {
		slots = min(slots, limit)
	}
	return encodeRoom(room{
		busy: a.busyCount, slots: slots, serviceTime: a.serviceTimes.all.mean, routeTime: a.serviceTimes.of(f.Service),
	})
}

// encodeRoom packs a room into a mark value. It is never 0, because there is at least one slot.
func encodeRoom(r room) uint32 {
	return uint32(min(r.busy, math.MaxUint8))<<24 | uint32(min(max(r.slots, 1), math.MaxUint8))<<16 |
		uint32(encodeTime(r.serviceTime))<<8 | uint32(encodeTime(r.routeTime))
}

// decodeRoom is the inverse of encodeRoom.
func decodeRoom(value uint32) room {
	return room{
		busy: int(value >> 24), slots: int(value >> 16 & math.MaxUint8),
		serviceTime: decodeTime(byte(value >> 8)), routeTime: decodeTime(byte(value)),
	}
}

// noteRoom records what the host reported with CodeBusy. An agent of an older build reports nothing; its slots are taken
// as in use.
func (hl *hostLoad) noteRoom(now time.Time, value uint32) {
	if value == 0 {
		slots := 1
		if hl.host != nil {
			slots = max(hl.host.Target.Slots, 1)
		}
		hl.room = room{busy: slots, slots: slots}
	} else {
		hl.room = decodeRoom(value)
	}
	hl.room.reported, hl.room.outstanding = now, hl.outstanding
}

// meanServiceTime returns the host's mean service time as it reported it, or else as seen by this entry.
func (hl *hostLoad) meanServiceTime() time.Duration {
	switch {
	case hl.room.serviceTime > 0:
		return hl.room.serviceTime
	case hl.serviceTime > 0:
		return hl.serviceTime
	}
	return defaultServiceTime
}

// crowding is how many flows a host has for each of its slots.
func (r room) crowding() float64 {
	return float64(r.busy) / float64(max(r.slots, 1))
}

// weight is what a report counts after its age, between 0 and 1. A host passes its slots on within the mean service
// time. A report of less load than is typical holds for a shorter time: each entry knows as much and sends its flows
// there, as many as the host has candidates beside it.
func (r room) weight(now time.Time, mean time.Duration, typical float64) float64 {
	if r.reported.IsZero() {
		return 0
	}
	age := float64(now.Sub(r.reported)) / float64(mean)
	if r.crowding() < typical {
		age *= maxCandidates
	}
	return math.Exp(-max(age, 0))
}

// expectedWait returns the time that a new flow is expected to wait for a slot of the host: by its report while that is
// recent, by what is typical of other hosts when it is not, and by the flows that this entry has sent there since.
func (hl *hostLoad) expectedWait(now time.Time, typical float64) time.Duration {
	slots := hl.room.slots
	if slots == 0 && hl.host != nil {
		slots = hl.host.Target.Slots
	}
	slots = max(slots, 1)
	mean := hl.meanServiceTime()
	weight := hl.room.weight(now, mean, typical)
	sent := float64(max(hl.outstanding-hl.room.outstanding, 0))
	busy := weight*(float64(hl.room.busy)+sent) + (1-weight)*max(typical*float64(slots), float64(hl.outstanding))
	return expectedWait(busy, slots, mean)
}

// typicalAge is the time constant with which the reports of hosts lose their weight in what is typical. It is a few
// requests long, so that a burst is not taken for the normal load.
const typicalAge = 100 * time.Millisecond

// unreported is the weight of the hosts that have reported nothing, in reports. Only busy hosts report, so that the mean
// of the reports alone would say that all hosts are busy.
const unreported = maxCandidates

// roomSummary is the mean crowding of the hosts that recently reported their room. The zero value is ready to use.
type roomSummary struct {
	weight   float64
	crowding float64
	updated  time.Time
}

// roomSummaries are the summaries of the own data centre and of all others.
type roomSummaries struct {
	local, remote roomSummary
}

// add takes a report.
func (s *roomSummaries) add(now time.Time, r room, local bool) {
	if local {
		s.local.add(now, r)
	} else {
		s.remote.add(now, r)
	}
}

func (s *roomSummaries) typical(now time.Time) typicalCrowding {
	return typicalCrowding{local: s.local.typical(now), remote: s.remote.typical(now)}
}

// typicalCrowding is the typical crowding in the own data centre and in the others.
type typicalCrowding struct {
	local, remote float64
}

func (t typicalCrowding) of(local bool) float64 {
	if local {
		return t.local
	}
	return t.remote
}

// add takes a report.
func (s *roomSummary) add(now time.Time, r room) {
	s.decay(now)
	s.weight++
	s.crowding += r.crowding()
}

// typical returns the flows that a host is expected to have for each slot if its own report is old. It is 0 without
// reports.
func (s *roomSummary) typical(now time.Time) float64 {
	s.decay(now)
	return s.crowding / (s.weight + unreported)
}

func (s *roomSummary) decay(now time.Time) {
	factor := math.Exp(-max(float64(now.Sub(s.updated)), 0) / float64(typicalAge))
	s.weight, s.crowding, s.updated = s.weight*factor, s.crowding*factor, now
}
