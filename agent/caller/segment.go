package caller

import (
	"encoding/binary"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/checksum"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	timeToLive            = 64
	timestampOptionLength = 12
	sackEdgeBytes         = 4
	maxSegmentBytes       = 1200
)

// segmentTranslation holds the offsets that are added to the numbers of a segment to translate them between the local
// stack and the caller.
type segmentTranslation struct {
	sequence       uint32
	acknowledgment uint32
	timestamp      uint32
	echo           uint32
}

// apply translates a segment in place and updates its checksum. SACK blocks get the same offset as the acknowledgment
// number.
func (t segmentTranslation) apply(p gue.Packet) {
	if t == (segmentTranslation{}) {
		return
	}
	p.TCP.SetSequenceNumber(p.TCP.SequenceNumber() + t.sequence)
	if p.Flags.Contains(header.TCPFlagAck) {
		p.TCP.SetAckNumber(p.TCP.AckNumber() + t.acknowledgment)
	}
	t.applyOptions(p)
	setChecksum(p.IP, p.TCP)
}

func (t segmentTranslation) applyOptions(p gue.Packet) {
	options := p.TCP.Options()
	hasEcho := p.Flags.Contains(header.TCPFlagAck)
	for i := 0; i < len(options); {
		switch options[i] {
		case header.TCPOptionEOL:
			return
		case header.TCPOptionNOP:
			i++
			continue
		}
		if i+1 >= len(options) {
			return
		}
		length := int(options[i+1])
		if length < 2 || i+length > len(options) {
			return
		}
		t.applyOption(options[i:i+length], hasEcho)
		i += length
	}
}

func (t segmentTranslation) applyOption(option []byte, hasEcho bool) {
	switch {
	case option[0] == header.TCPOptionTS && len(option) == header.TCPOptionTSLength:
		addUint32(option[2:6], t.timestamp)
		if hasEcho {
			addUint32(option[6:10], t.echo)
		}
	case option[0] == header.TCPOptionSACK:
		for k := 2; k+sackEdgeBytes <= len(option); k += sackEdgeBytes {
			addUint32(option[k:k+sackEdgeBytes], t.acknowledgment)
		}
	}
}

func addUint32(b []byte, n uint32) {
	binary.BigEndian.PutUint32(b, binary.BigEndian.Uint32(b)+n)
}

func setChecksum(ip header.IPv4, segment header.TCP) {
	segment.SetChecksum(0)
	sum := header.PseudoHeaderChecksum(header.TCPProtocolNumber, ip.SourceAddress(), ip.DestinationAddress(), uint16(len(segment)))
	segment.SetChecksum(^checksum.Checksum(segment, sum))
}

// segment describes a packet to build. The length of options must be a multiple of four octets.
type segment struct {
	from, to       gue.Endpoint
	sequence       uint32
	acknowledgment uint32
	flags          header.TCPFlags
	window         uint16
	options        []byte
	payload        []byte
}

// encode returns the segment as an IPv4 packet.
func (s segment) encode() []byte {
	headerLength := header.TCPMinimumSize + len(s.options)
	total := header.IPv4MinimumSize + headerLength + len(s.payload)
	b := make([]byte, total)
	ip := header.IPv4(b)
	ip.Encode(&header.IPv4Fields{
		TotalLength: uint16(total),
		TTL:         timeToLive,
		Protocol:    uint8(header.TCPProtocolNumber),
		SrcAddr:     tcpip.AddrFrom4(s.from.Address),
		DstAddr:     tcpip.AddrFrom4(s.to.Address),
	})
	ip.SetChecksum(^ip.CalculateChecksum())
	t := header.TCP(b[header.IPv4MinimumSize:])
	t.Encode(&header.TCPFields{
		SrcPort:    s.from.Port,
		DstPort:    s.to.Port,
		SeqNum:     s.sequence,
		AckNum:     s.acknowledgment,
		DataOffset: uint8(headerLength),
		Flags:      s.flags,
		WindowSize: s.window,
	})
	copy(t[header.TCPMinimumSize:], s.options)
	copy(t[headerLength:], s.payload)
	setChecksum(ip, t)
	return b
}

// timestampOption encodes a timestamp option, padded to a multiple of four octets.
func timestampOption(value, echo uint32) []byte {
	b := make([]byte, timestampOptionLength)
	b[0] = header.TCPOptionNOP
	b[1] = header.TCPOptionNOP
	b[2] = header.TCPOptionTS
	b[3] = header.TCPOptionTSLength
	binary.BigEndian.PutUint32(b[4:8], value)
	binary.BigEndian.PutUint32(b[8:12], echo)
	return b
}

// unknownFlowReset builds the RST that answers a segment of a flow that no agent holds (RFC 9293, 3.10.7.1).
func unknownFlowReset(p gue.Packet) []byte {
	s := segment{from: p.Flow.Service, to: p.Flow.Caller, flags: header.TCPFlagRst}
	if p.Flags.Contains(header.TCPFlagAck) {
		s.sequence = p.TCP.AckNumber()
		return s.encode()
	}
	s.flags |= header.TCPFlagAck
	s.acknowledgment = p.TCP.SequenceNumber() + p.SequenceLength()
	return s.encode()
}

// resetSegment builds the RST that ends a flow at its caller.
func (f *flow) resetSegment() []byte {
	return segment{
		from:           f.key.Service,
		to:             f.key.Caller,
		sequence:       f.localNext,
		acknowledgment: f.callerNext,
		flags:          header.TCPFlagRst | header.TCPFlagAck,
	}.encode()
}
