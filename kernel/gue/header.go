package gue

import (
	"encoding/binary"

	"github.com/dchest/siphash"
)

// HeaderLength is the length of an encoded Header, in bytes.
const HeaderLength = 28

// MaxHops limits how often a packet is forwarded from one agent to another.
const MaxHops = 4

const (
	// headerVersion is the first byte of an encoded header.
	headerVersion = 0xC1
	// taggedHeaderLength is the length of the header without its tag.
	taggedHeaderLength = 20
	// tupleStart and tupleEnd are the bounds of the tagged part of the inner packet: its addresses and, without IP
	// options, its ports.
	tupleStart           = 12
	tupleEnd             = 24
	minInnerPacketLength = 24
)

// Flag is a bit mask of properties of a forwarded packet.
type Flag uint8

// FlagPlaced is set in a packet of a new flow that the flow's owner has placed on the receiving agent.
const FlagPlaced Flag = 1

// Header is the header of a packet that is forwarded from an entry to an agent or between agents.
type Header struct {
	Hops         uint8
	Flags        Flag
	Service      uint32
	Generation   uint32
	TableVersion uint64
}

// Put encodes the header and its authentication tag into b[:HeaderLength]. b[HeaderLength:] must contain the inner
// packet. The tag is the SipHash-2-4 of the header and of the inner packet's addresses and ports. Put does not
// allocate.
func (h Header) Put(b []byte, key Key) {
	b[0] = headerVersion
	b[1] = h.Hops
	b[2] = byte(h.Flags)
	b[3] = 0
	binary.BigEndian.PutUint32(b[4:8], h.Service)
	binary.BigEndian.PutUint32(b[8:12], h.Generation)
	binary.BigEndian.PutUint64(b[12:20], h.TableVersion)
	binary.BigEndian.PutUint64(b[20:28], computeTag(b, key))
}

// ParseHeader validates the header and its tag. It returns the header and the inner packet, or the reason to drop the
// packet.
func ParseHeader(b []byte, key Key) (Header, []byte, Reason) {
	if len(b) < HeaderLength+minInnerPacketLength {
		return Header{}, nil, ReasonShort
	}
	if b[0] != headerVersion || b[3] != 0 {
		return Header{}, nil, ReasonVersion
	}
	if binary.BigEndian.Uint64(b[20:28]) != computeTag(b, key) {
		return Header{}, nil, ReasonTag
	}
	h := Header{
		Hops:         b[1],
		Flags:        Flag(b[2]),
		Service:      binary.BigEndian.Uint32(b[4:8]),
		Generation:   binary.BigEndian.Uint32(b[8:12]),
		TableVersion: binary.BigEndian.Uint64(b[12:20]),
	}
	if h.Hops > MaxHops {
		return Header{}, nil, ReasonHops
	}
	return h, b[HeaderLength:], ReasonNone
}

// computeTag returns the authentication tag of a header and its inner packet.
func computeTag(b []byte, key Key) uint64 {
	var m [taggedHeaderLength + tupleEnd - tupleStart]byte
	copy(m[:], b[:taggedHeaderLength])
	copy(m[taggedHeaderLength:], b[HeaderLength+tupleStart:HeaderLength+tupleEnd])
	return siphash.Hash(key.High, key.Low, m[:])
}
