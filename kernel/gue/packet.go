package gue

import (
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

// Packet is a validated IPv4 TCP packet. IP and TCP alias the bytes that it was parsed from.
type Packet struct {
	Flow  Flow
	Flags header.TCPFlags
	IP    header.IPv4
	TCP   header.TCP
}

// Parse validates an IPv4 TCP packet and returns it without the bytes beyond its IPv4 total length, or the reason to
// drop it. It does not verify checksums and does not allocate.
func Parse(b []byte) (Packet, Reason) {
	if len(b) < header.IPv4MinimumSize {
		return Packet{}, ReasonShort
	}
	ip := header.IPv4(b)
	if b[0]>>4 != header.IPv4Version {
		return Packet{}, ReasonVersion
	}
	headerLength := int(ip.HeaderLength())
	if headerLength < header.IPv4MinimumSize || headerLength > len(b) {
		return Packet{}, ReasonHeaderLength
	}
	total := int(ip.TotalLength())
	if total < headerLength || total > len(b) {
		return Packet{}, ReasonTotalLength
	}
	if ip.More() || ip.FragmentOffset() != 0 {
		return Packet{}, ReasonFragment
	}
	if ip.TransportProtocol() != header.TCPProtocolNumber {
		return Packet{}, ReasonProtocol
	}
	return parseTCP(ip[:total], headerLength)
}

// parseTCP validates the TCP header of an IPv4 packet.
func parseTCP(ip header.IPv4, headerLength int) (Packet, Reason) {
	segment := header.TCP(ip[headerLength:])
	if len(segment) < header.TCPMinimumSize {
		return Packet{}, ReasonShort
	}
	offset := int(segment.DataOffset())
	if offset < header.TCPMinimumSize || offset > len(segment) {
		return Packet{}, ReasonHeaderLength
	}
	p := Packet{IP: ip, TCP: segment, Flags: segment.Flags()}
	copy(p.Flow.Caller.Address[:], ip[12:16])
	copy(p.Flow.Service.Address[:], ip[16:20])
	p.Flow.Caller.Port = segment.SourcePort()
	p.Flow.Service.Port = segment.DestinationPort()
	return p, ReasonNone
}

// ReverseFlow returns the flow of a packet from the service to the caller, by swapping source and destination.
func (p Packet) ReverseFlow() Flow {
	return Flow{Caller: p.Flow.Service, Service: p.Flow.Caller}
}

// SequenceLength returns how many sequence numbers the segment takes: one for each byte of data, and one each for SYN
// and FIN.
func (p Packet) SequenceLength() uint32 {
	n := uint32(len(p.TCP.Payload()))
	if p.Flags.Contains(header.TCPFlagSyn) {
		n++
	}
	if p.Flags.Contains(header.TCPFlagFin) {
		n++
	}
	return n
}

// IsSYN reports whether the segment is a SYN without ACK, which opens a connection.
func (p Packet) IsSYN() bool {
	return p.Flags.Contains(header.TCPFlagSyn) && !p.Flags.Contains(header.TCPFlagAck)
}
