package control

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// planLinkShare is the share of the link that replies with plans may use, as much as searches. The rest is for callers'
	// packets.
	planLinkShare = 0.2
	// defaultLinkMbps is assumed if the capacity of the link is not set, in Mbit/s.
	defaultLinkMbps = 10
	// planPieceBytes is the length of a piece of an update on a link of 10 Mbit/s, on which a packet waits 2.3 ms behind it.
	// Faster links carry longer pieces, up to maxPieceBytes: each piece costs both sides a call, which takes 10 ms on a core
	// of 0.088.
	planPieceBytes = 2000
	maxPieceBytes  = 16000
	// planPieceOverhead is the length of the JSON around a piece and of the headers of TCP and IP.
	planPieceOverhead = 200
	// transfersPer10Mbit, minTransfers and maxTransfers determine how many updates an instance sends at a time. Fewer
	// transfers complete sooner, and each completed one makes another source.
	transfersPer10Mbit = 2
	minTransfers       = 2
	maxTransfers       = 16
	// transferIdleLimit is the time without a request for the next piece after which a transfer counts as abandoned. It is
	// longer than the time that a requester waits for a piece.
	transferIdleLimit = 600 * time.Millisecond
	// maxPieceWait limits how long a single piece or the first one may wait for its share of the link.
	maxPieceWait = 60 * time.Millisecond
	// maxWholeWait limits how long the reply to an instance of an older build, which waits one second and can't be told to
	// ask elsewhere, may wait for its share of the link. After an error it asks the store.
	maxWholeWait = 700 * time.Millisecond
	// servedLength is how many instances that have fetched the latest plan are remembered, and maxElsewhere is how many of
	// them a refusal names.
	servedLength = 16
	maxElsewhere = 3
)

// planGate decides which requests for plans an instance answers, and when. The zero value is ready to use.
type planGate struct {
	// LinkMbps is the capacity of the link in Mbit/s; 0 means defaultLinkMbps.
	LinkMbps float64

	mutex sync.Mutex
	// transfers maps the updates that are being sent to the time of the latest request for a piece.
	transfers map[uint64]time.Time
	// free and freeWhole are when the share of the link is used up to, by pieces and by replies to older builds.
	free      time.Time
	freeWhole time.Time
	// served holds the instances that have fetched the plan with the version servedVersion.
	served        []netip.AddrPort
	servedVersion uint64
}

// pieceRequest is a request for the piece of an update of Size bytes at Offset.
type pieceRequest struct {
	Transfer uint64
	Offset   int
	Size     int
}

// pieceBytes returns the length of a piece, other than the last one.
func (g *planGate) pieceBytes() int {
	return min(max(int(effectiveLinkMbps(g.LinkMbps)/defaultLinkMbps*planPieceBytes), planPieceBytes), maxPieceBytes)
}

// lengthOf returns the length of the requested piece.
func (g *planGate) lengthOf(r pieceRequest) int {
	return max(0, min(g.pieceBytes(), r.Size-r.Offset))
}

// wireBytes returns the length of a piece on the wire, which carries it in base64.
func wireBytes(length int) int {
	return (length+2)/3*4 + planPieceOverhead
}

// rate returns what replies with plans may use of the link in bytes per second.
func (g *planGate) rate() float64 {
	return planLinkShare * effectiveLinkMbps(g.LinkMbps) * 1e6 / 8
}

// effectiveLinkMbps returns the capacity of a link, of which 0 means that it is unknown.
func effectiveLinkMbps(linkMbps float64) float64 {
	if linkMbps == 0 {
		return defaultLinkMbps
	}
	return linkMbps
}

// transferLimit returns how many updates may be sent at a time.
func (g *planGate) transferLimit() int {
	return min(max(int(effectiveLinkMbps(g.LinkMbps)/10*transfersPer10Mbit), minTransfers), maxTransfers)
}

// timeFor returns how long the given bytes take at the rate for plans.
func (g *planGate) timeFor(bytes int) time.Duration {
	return time.Duration(float64(bytes) / g.rate() * float64(time.Second))
}

// admit decides on a request for a piece. It returns how long to wait before the piece is sent. If ok is false, the piece
// is refused, and wait is when to ask again.
func (g *planGate) admit(now time.Time, r pieceRequest) (wait time.Duration, ok bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.transfers == nil {
		g.transfers = map[uint64]time.Time{}
	}
	for id, at := range g.transfers {
		if now.Sub(at) > transferIdleLimit {
			delete(g.transfers, id)
		}
	}
	_, running := g.transfers[r.Transfer]
	wait = max(0, g.free.Sub(now))
	length := g.lengthOf(r)
	several := r.Size > g.pieceBytes()
	full := several && len(g.transfers) >= g.transferLimit()
	if !running && (full || wait > maxPieceWait) {
		return wait + g.timeFor(r.Size), false
	}
	g.free = now.Add(wait + g.timeFor(wireBytes(length)))
	if several {
		g.transfers[r.Transfer] = now
	}
	if r.Offset+length >= r.Size {
		delete(g.transfers, r.Transfer)
	}
	return wait, true
}

// admitWhole decides on a request of an older build, whose reply has the given length, in the same way as admit.
func (g *planGate) admitWhole(now time.Time, bytes int) (wait time.Duration, ok bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wait = max(0, g.freeWhole.Sub(now))
	if wait > maxWholeWait {
		return wait, false
	}
	g.freeWhole = now.Add(wait + g.timeFor(bytes))
	return wait, true
}

// recordServed notes that an instance has the plan of the given version.
func (g *planGate) recordServed(version uint64, instance netip.AddrPort) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if version > g.servedVersion {
		g.served, g.servedVersion = nil, version
	}
	if version < g.servedVersion || !instance.IsValid() || slices.Contains(g.served, instance) {
		return
	}
	if len(g.served) == servedLength {
		g.served = g.served[1:]
	}
	g.served = append(g.served, instance)
}

// elsewhere returns up to maxElsewhere instances that have the plan of the given version, in random order.
func (g *planGate) elsewhere(version uint64) []netip.AddrPort {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if version != g.servedVersion {
		return nil
	}
	all := slices.Clone(g.served)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), maxElsewhere)]
}
