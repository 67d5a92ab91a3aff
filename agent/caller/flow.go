package caller

import (
	"net/netip"
	"sync"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// state is the state of a flow at this agent.
type state uint8

const (
	// stateLocal: this agent holds the flow; its stack handles the packets.
	stateLocal state = iota
	// statePending: the holder is being looked up; packets are buffered.
	statePending
	// stateRemote: a peer holds the flow; packets are forwarded to it.
	stateRemote
	// stateOffered: the flow is frozen here while a peer prepares to take it over.
	stateOffered
	// statePreparing: this agent's stack is opening the flow by a synthetic handshake.
	statePreparing
	// statePrepared: the flow is open here, but sends nothing until the peer that offered it grants it.
	statePrepared
	// stateRemoved: the flow was removed from the table; code that still has a pointer to it must look it up again.
	stateRemoved
)

const maxBufferedPackets = 64

// flow is an agent's state of one connection. Sequence numbers are those that the caller sees.
type flow struct {
	mutex sync.Mutex

	key   gue.Flow
	hash  uint64
	state state
	// epoch is 0 if no holder of the flow is known. earlierEpoch is the last known epoch of earlier connections of the
	// same 4-tuple.
	epoch        uint64
	earlierEpoch uint64
	peer         netip.AddrPort
	lastSeen     time.Time
	buffered     [][]byte

	tcpTracking
	*requestBoundary

	toCaller        segmentTranslation
	synACK          chan gue.Packet
	conn            *conn
	pendingSegments [][]byte
	closedAt        time.Time
	lookupAt        time.Time
}

// tcpTracking is the TCP state of a flow as observed from its packets.
type tcpTracking struct {
	synOptions       []byte
	callerISN        uint32
	callerNext       uint32
	callerAcked      uint32
	callerWindow     uint16
	callerTimestamp  uint32
	localNext        uint32
	localTimestamp   uint32
	localTimestampAt time.Time
	localWindowScale int
	opened           bool
	closing          bool
}

// requestBoundary counts the octets that the HTTP side of one conn has read and written; movable compares them with the
// sequence numbers to detect a request boundary. The bases are the sequence numbers of the first octets. The flow's mutex
// guards it.
type requestBoundary struct {
	callerBase    uint32
	localBase     uint32
	consumed      uint64
	written       uint64
	idle          bool
	moveRequested bool
	unread        []byte
	resume        chan struct{}
}

// buffer stores a copy of a packet. It reports false if the buffer is full.
func (f *flow) buffer(packet []byte) bool {
	if len(f.buffered) >= maxBufferedPackets {
		return false
	}
	f.buffered = append(f.buffered, append([]byte(nil), packet...))
	return true
}

func (f *flow) takeBuffered() [][]byte {
	buffered := f.buffered
	f.buffered = nil
	return buffered
}

// trackSYN initialises the flow from the caller's SYN.
func (f *flow) trackSYN(p gue.Packet) {
	f.tcpTracking = tcpTracking{
		synOptions:   append([]byte(nil), p.TCP.Options()...),
		callerISN:    p.TCP.SequenceNumber(),
		callerNext:   p.TCP.SequenceNumber() + 1,
		callerWindow: p.TCP.WindowSize(),
	}
	f.requestBoundary = &requestBoundary{callerBase: f.callerNext}
	f.toCaller = segmentTranslation{}
}

// translateFromCaller updates the tracking from a packet of the caller and rewrites the packet for the local stack.
func (f *flow) translateFromCaller(p gue.Packet) {
	f.callerNext = laterSequence(f.callerNext, p.TCP.SequenceNumber()+p.SequenceLength())
	if p.Flags.Contains(header.TCPFlagAck) && !sequenceAfter(f.callerAcked, p.TCP.AckNumber()) {
		f.callerAcked = p.TCP.AckNumber()
		f.callerWindow = p.TCP.WindowSize()
	}
	if p.Flags&(header.TCPFlagFin|header.TCPFlagRst) != 0 {
		f.closing = true
	}
	if stamp, _, ok := timestamps(p); ok {
		f.callerTimestamp = laterSequence(f.callerTimestamp, stamp)
	}
	back := segmentTranslation{acknowledgment: -f.toCaller.sequence, echo: -f.toCaller.timestamp}
	back.apply(p)
}

// translateFromStack rewrites a packet of the local stack for the caller and updates the tracking from it.
func (f *flow) translateFromStack(p gue.Packet, initial uint32, now time.Time) {
	if p.Flags.Contains(header.TCPFlagSyn) && !f.opened {
		f.initTranslation(p, initial, now)
	}
	f.toCaller.apply(p)
	f.localNext = laterSequence(f.localNext, p.TCP.SequenceNumber()+p.SequenceLength())
	if p.Flags&(header.TCPFlagFin|header.TCPFlagRst) != 0 {
		f.closing = true
	}
	if stamp, _, ok := timestamps(p); ok {
		f.localTimestamp = stamp
		f.localTimestampAt = now
	}
}

// initTranslation sets the initial sequence number and timestamp that the caller sees. Every agent uses the same initial
// sequence number, so that a SYN retransmitted to another agent gets the same SYN-ACK.
func (f *flow) initTranslation(p gue.Packet, initial uint32, now time.Time) {
	f.opened = true
	f.toCaller.sequence = initial - p.TCP.SequenceNumber()
	f.localNext = initial
	f.callerAcked = initial
	f.localBase = initial + 1
	f.localWindowScale = header.ParseSynOptions(p.TCP.Options(), true).WS
	if stamp, _, ok := timestamps(p); ok {
		f.toCaller.timestamp = uint32(now.UnixMilli()) + initial - stamp
	}
}

// movable reports whether the flow is at a request boundary: everything received was consumed and everything sent was
// acknowledged.
func (f *flow) movable() bool {
	return f.state == stateLocal && f.opened && !f.closing && f.closedAt.IsZero() &&
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

// finished reports whether this agent holds the flow, but its connection has ended: the HTTP side is done and a FIN or
// RST was seen.
func (f *flow) finished() bool {
	return f.state == stateLocal && f.closing && !f.closedAt.IsZero()
}

// endsBeforeAccept reports whether a packet resets a connection that the HTTP side has not accepted. Nothing else would
// note its end, and a drain would wait for it.
func (f *flow) endsBeforeAccept(p gue.Packet) bool {
	return f.conn == nil && p.Flags.Contains(header.TCPFlagRst) && p.TCP.SequenceNumber() == f.callerNext
}

// lateWindow is the distance in octets behind the end of a finished connection within which a packet counts as late.
const lateWindow = 1 << 20

// isLate reports whether a packet belongs to the finished connection, not to a later one of the same 4-tuple.
func (f *flow) isLate(p gue.Packet) bool {
	behindCaller := f.callerNext - p.TCP.SequenceNumber()
	behindLocal := f.localNext - p.TCP.AckNumber()
	return behindCaller <= lateWindow && behindLocal <= lateWindow
}
