package control

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

const (
	// These are the sizes of a plan of 1,450 routes after one of 50, see TestLargeUpdateIsSmallAndPauses.
	largeUpdateBytes = 22_542
	largePlanBytes   = 205_790
	spreadEntries    = 22
	spreadAgents     = 58
	oneWay           = time.Millisecond
	// pieceDecodeTime and encodeTime are the times to decode a piece and to encode the update, with pauses (BenchmarkUpdate:
	// 12.5 and 6.5 ms of work on a busy machine).
	pieceDecodeTime = 30 * time.Millisecond
	encodeTime      = 180 * time.Millisecond
)

// spreadEvent is a function to run at a time.
type spreadEvent struct {
	at  time.Time
	run func()
}

// spreadInstance is an instance on a link of 10 Mbit/s.
type spreadInstance struct {
	member   facts.Member
	gate     planGate
	sources  planSources
	version  uint64
	fetching bool
	encoded  bool
	peers    []netip.AddrPort
	// linkFree is when the link has sent everything that was passed to it.
	linkFree time.Time
	inFlight int
}

// spreadFleet is a model of a fleet in which a plan spreads, by the decisions of planSources and planGate, or by those of
// builds without them.
type spreadFleet struct {
	now       time.Time
	queue     []spreadEvent
	instances map[netip.AddrPort]*spreadInstance
	old       bool
	// maxHold is the longest wait of a packet on a link, and maxAtOnce the largest number of transfers from one instance.
	maxHold    time.Duration
	maxAtOnce  int
	storeReads int
	refusals   int
	have       int
}

func (f *spreadFleet) after(d time.Duration, run func()) {
	e := spreadEvent{at: f.now.Add(d), run: run}
	i, _ := slices.BinarySearchFunc(f.queue, e, func(a, b spreadEvent) int { return a.at.Compare(b.at) })
	f.queue = slices.Insert(f.queue, i, e)
}

func newSpreadFleet(old bool) *spreadFleet {
	f := &spreadFleet{now: time.Unix(1000, 0), instances: map[netip.AddrPort]*spreadInstance{}, old: old}
	var members []facts.Member
	for i := range spreadEntries + spreadAgents {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		m := facts.Member{
			Instance: fmt.Sprint("instance-", i), Role: facts.RoleAgent, DataCentre: string(rune('a' + i%3)),
			Control: address, State: facts.StateServing,
		}
		if i < spreadEntries {
			m.Role = facts.RoleEntry
		}
		members = append(members, m)
		f.instances[address] = &spreadInstance{member: m, linkFree: f.now}
		f.instances[address].gate.LinkMbps = 10
	}
	for _, m := range members {
		i := f.instances[m.Control]
		i.peers = peer.Selection{}.ChoosePeers(m, nil, members)
		f.after(time.Duration(len(f.queue))*exchangePeriod/80, func() { f.exchange(i) })
	}
	for _, m := range members {
		if m.Role == facts.RoleEntry && isWatcher(m, members) {
			f.after(0, func() { f.take(f.instances[m.Control]) })
		}
	}
	return f
}

// exchange lets an instance learn of the plans of its peers, periodically.
func (f *spreadFleet) exchange(i *spreadInstance) {
	for _, a := range i.peers {
		if f.instances[a].version != 0 {
			f.report(i, a)
		}
	}
	f.after(exchangePeriod, func() { f.exchange(i) })
}

// take puts the plan in force on an instance, which pushes the version to its peers and, if it is an entry, to the agents
// that exchange with it.
func (f *spreadFleet) take(i *spreadInstance) {
	if i.version != 0 {
		return
	}
	i.version = 1
	f.have++
	pushed := append([]netip.AddrPort(nil), i.peers...)
	for a, other := range f.instances {
		if i.member.Role == facts.RoleEntry && other.member.Role == facts.RoleAgent {
			for _, chosen := range other.peers {
				if chosen == i.member.Control {
					pushed = append(pushed, a)
				}
			}
		}
	}
	for _, a := range pushed {
		f.after(oneWay, func() { f.report(f.instances[a], i.member.Control) })
	}
}

func (f *spreadFleet) report(i *spreadInstance, from netip.AddrPort) {
	if i.version != 0 {
		return
	}
	i.sources.observe(f.now, 1, from)
	if f.old && !i.fetching {
		i.fetching = true
		f.after(oneWay, func() { f.sendWhole(f.instances[from], i) })
		return
	}
	f.proceed(i)
}

// proceed does what planSources decides.
func (f *spreadFleet) proceed(i *spreadInstance) {
	if i.fetching || f.old {
		return
	}
	step := i.sources.next(f.now, i.version)
	switch {
	case step.Version == 0:
	case step.Store:
		f.storeReads++
		f.take(i)
	case step.Wait > 0:
		f.after(step.Wait, func() { f.proceed(i) })
	default:
		i.fetching = true
		f.after(oneWay, func() { f.askPiece(f.instances[step.From], i, 0) })
	}
}

// send passes bytes to an instance's link and calls done when they have arrived.
func (f *spreadFleet) send(i *spreadInstance, bytes int, done func()) {
	if i.linkFree.Before(f.now) {
		i.linkFree = f.now
	}
	i.linkFree = i.linkFree.Add(time.Duration(bytes) * time.Second / (10e6 / 8))
	f.maxHold = max(f.maxHold, i.linkFree.Sub(f.now))
	f.after(i.linkFree.Sub(f.now)+oneWay, done)
}

// askPiece is a request of an instance for the piece of the update at offset.
func (f *spreadFleet) askPiece(from, to *spreadInstance, offset int) {
	if !from.encoded {
		from.encoded = true
		f.after(encodeTime, func() { f.askPiece(from, to, offset) })
		return
	}
	id := uint64(to.member.Control.Addr().As4()[3])
	r := pieceRequest{Transfer: id, Offset: offset, Size: largeUpdateBytes}
	wait, ok := from.gate.admit(f.now, r)
	f.maxAtOnce = max(f.maxAtOnce, len(from.gate.transfers))
	if !ok {
		f.refusals++
		elsewhere := from.gate.elsewhere(1)
		f.after(oneWay, func() {
			to.fetching = false
			to.sources.refused(f.now, from.member.Control, wait, elsewhere)
			f.proceed(to)
		})
		return
	}
	next := offset + from.gate.lengthOf(r)
	if next >= r.Size {
		from.gate.recordServed(1, to.member.Control)
	}
	f.after(wait, func() {
		f.send(from, wireBytes(from.gate.lengthOf(r)), func() {
			f.after(pieceDecodeTime, func() {
				if next >= r.Size {
					to.encoded = true
					f.take(to)
				} else {
					f.after(oneWay, func() { f.askPiece(from, to, next) })
				}
			})
		})
	})
}

// sendWhole answers a request in the way of older builds.
func (f *spreadFleet) sendWhole(from, to *spreadInstance) {
	from.inFlight++
	f.maxAtOnce = max(f.maxAtOnce, from.inFlight)
	f.send(from, largePlanBytes, func() {
		from.inFlight--
		f.take(to)
	})
}

// run runs the model until all instances have the plan, and returns how long that takes.
func (f *spreadFleet) run(t *testing.T) time.Duration {
	started := f.now
	for f.have < len(f.instances) {
		e := f.queue[0]
		f.queue = f.queue[1:]
		f.now = e.at
		e.run()
		require.Less(t, f.now.Sub(started), time.Minute)
	}
	return f.now.Sub(started)
}

// Pattern: the operator adds 1,400 routes, the six watchers have the plan, and the other instances of 22 entries and 58
// agents learn of it at once. All links have 10 Mbit/s. The plan must reach all soon, and packets of callers must not wait
// behind it on any link, as they did for seconds when each instance fetched the whole plan from the first that had it.
func TestLargePlanReachesFleetWithoutHoldingUpPackets(t *testing.T) {
	old := newSpreadFleet(true)
	oldTime := old.run(t)
	f := newSpreadFleet(false)
	elapsed := f.run(t)
	t.Logf("before: all have the plan after %v, a packet waits up to %v on a link, %d transfers from one instance at once",
		oldTime, old.maxHold, old.maxAtOnce)
	t.Logf("now: after %v, a packet waits up to %v, %d transfers at once, %d refusals, %d reads of the store",
		elapsed, f.maxHold, f.maxAtOnce, f.refusals, f.storeReads)
	require.Greater(t, old.maxHold, time.Second)
	require.Less(t, f.maxHold, 5*time.Millisecond)
	require.LessOrEqual(t, f.maxAtOnce, minTransfers)
	require.Less(t, elapsed, 2*time.Second)
	require.Zero(t, f.storeReads)
}
