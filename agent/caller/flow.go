package caller

import (
	"net/netip"
	"sync"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// state is where a flow stands at this agent.
type state uint8

const (
	// stateLocal: this agent's stack holds the flow and answers for it.
	stateLocal state = iota
	// statePending: whether a peer holds the flow is being asked; packets wait.
	statePending
	// stateForeign: a peer holds the flow; packets are forwarded to it.
	stateForeign
	// stateOffered: the flow is frozen here while a peer prepares to take it.
	stateOffered
	// statePreparing: this agent's stack opens the flow by a synthetic handshake.
	statePreparing
	// statePrepared: the flow is open here but silent until the peer that offered it grants it.
	statePrepared
	// stateGone: the entry was removed from the table; whoever still holds it must look again.
	stateGone
)

const maxHeldPackets = 64

// flow is what an agent knows of one connection. Sequence numbers are those that the caller sees.
type flow struct {
	mutex sync.Mutex

	key      gue.Flow
	hash     uint64
	state    state
	epoch    uint64
	peer     netip.AddrPort
	lastSeen time.Time
	held     [][]byte

	tracking
	*boundary

	toCaller shift
	opening  chan gue.Packet
	conn     *conn
	injected [][]byte
	closed   time.Time
	asked    time.Time
}

// tracking is what the packets of a flow have shown.
type tracking struct {
	synOptions    []byte
	callerInitial uint32
	callerNext    uint32
	callerAcked   uint32
	callerWindow  uint16
	callerStamp   uint32
	localNext     uint32
	localStamp    uint32
	localStampAt  time.Time
	localScale    int
	opened        bool
	ending        bool
}

// boundary counts what one conn's HTTP side took and gave, in octets since the bases. The flow's mutex guards it.
type boundary struct {
	callerBase uint32
	localBase  uint32
	consumed   uint64
	written    uint64
	idle       bool
	wanted     bool
	unread     []byte
	resume     chan struct{}
}

func (f *flow) hold(packet []byte) bool {
	if len(f.held) >= maxHeldPackets {
		return false
	}
	f.held = append(f.held, append([]byte(nil), packet...))
	return true
}

func (f *flow) takeHeld() [][]byte {
	held := f.held
	f.held = nil
	return held
}

// begin notes the caller's SYN.
func (f *flow) begin(p gue.Packet) {
	f.tracking = tracking{
		synOptions:    append([]byte(nil), p.TCP.Options()...),
		callerInitial: p.TCP.SequenceNumber(),
		callerNext:    p.TCP.SequenceNumber() + 1,
		callerWindow:  p.TCP.WindowSize(),
	}
	f.boundary = &boundary{callerBase: f.callerNext}
	f.toCaller = shift{}
}

// fromCaller notes a packet and rewrites it for the local stack.
func (f *flow) fromCaller(p gue.Packet) {
	f.callerNext = furthest(f.callerNext, p.TCP.SequenceNumber()+p.SequenceLength())
	if p.Flags.Contains(header.TCPFlagAck) && !after(f.callerAcked, p.TCP.AckNumber()) {
		f.callerAcked = p.TCP.AckNumber()
		f.callerWindow = p.TCP.WindowSize()
	}
	if p.Flags&(header.TCPFlagFin|header.TCPFlagRst) != 0 {
		f.ending = true
	}
	if stamp, _, ok := timestamps(p); ok {
		f.callerStamp = furthest(f.callerStamp, stamp)
	}
	back := shift{acknowledgment: -f.toCaller.sequence, echo: -f.toCaller.timestamp}
	back.apply(p)
}

// fromStack rewrites a packet of the local stack for the caller and notes it.
func (f *flow) fromStack(p gue.Packet, initial uint32, now time.Time) {
	if p.Flags.Contains(header.TCPFlagSyn) && !f.opened {
		f.open(p, initial, now)
	}
	f.toCaller.apply(p)
	f.localNext = furthest(f.localNext, p.TCP.SequenceNumber()+p.SequenceLength())
	if p.Flags&(header.TCPFlagFin|header.TCPFlagRst) != 0 {
		f.ending = true
	}
	if stamp, _, ok := timestamps(p); ok {
		f.localStamp = stamp
		f.localStampAt = now
	}
}

// open chooses the numbers the caller sees: the same at every agent, so that a SYN repeated to another agent
// gets the same answer.
func (f *flow) open(p gue.Packet, initial uint32, now time.Time) {
	f.opened = true
	f.toCaller.sequence = initial - p.TCP.SequenceNumber()
	f.localNext = initial
	f.callerAcked = initial
	f.localBase = initial + 1
	f.localScale = header.ParseSynOptions(p.TCP.Options(), true).WS
	if stamp, _, ok := timestamps(p); ok {
		f.toCaller.timestamp = uint32(now.UnixMilli()) + initial - stamp
	}
}

// movable reports a request boundary: everything received was consumed and everything sent was acknowledged.
func (f *flow) movable() bool {
	return f.state == stateLocal && f.opened && !f.ending && f.closed.IsZero() &&
		(f.idle || f.unread != nil) &&
		f.callerNext == f.callerBase+uint32(f.consumed) &&
		f.localNext == f.localBase+uint32(f.written) &&
		f.callerAcked == f.localNext
}

func timestamps(p gue.Packet) (value, echo uint32, ok bool) {
	if p.Flags.Contains(header.TCPFlagSyn) {
		o := header.ParseSynOptions(p.TCP.Options(), p.Flags.Contains(header.TCPFlagAck))
		return o.TSVal, o.TSEcr, o.TS
	}
	o := p.TCP.ParsedOptions()
	return o.TSVal, o.TSEcr, o.TS
}

// finished reports that this agent held the connection and that both the HTTP side and the packets show its end.
func (f *flow) finished() bool {
	return f.state == stateLocal && f.ending && !f.closed.IsZero()
}

// lateWindow is how far behind the end of a finished connection its late packets may lie, in octets.
const lateWindow = 1 << 20

// late reports that a packet belongs to the finished connection and not to a later one of the same addresses and ports.
func (f *flow) late(p gue.Packet) bool {
	behindCaller := f.callerNext - p.TCP.SequenceNumber()
	behindLocal := f.localNext - p.TCP.AckNumber()
	return behindCaller <= lateWindow && behindLocal <= lateWindow
}
