package gue

import (
	"encoding/binary"

	"github.com/dchest/siphash"
)

// HeaderLength is the length of an encoded Header, in octets.
const HeaderLength = 28

// MaxHops limits how often a packet is forwarded between agents.
const MaxHops = 4

const (
	headerVersion      = 0xC1
	taggedHeaderLength = 20
	innerTupleStart    = 12
	innerTupleEnd      = 24
	minInnerLength     = 24
)

// Flag marks a property of a forwarded packet.
type Flag uint8

// FlagPlaced marks a packet of a new flow that the flow's owner assigned to the receiving agent.
const FlagPlaced Flag = 1

// Header is prepended to a packet that is forwarded from an entry to an agent or between agents.
type Header struct {
	Hops         uint8
	Flags        Flag
	Service      uint32
	Generation   uint32
	TableVersion uint64
}

// Put encodes the header and its authentication tag into b[:HeaderLength]; b[HeaderLength:] must hold the inner packet.
// The tag is the SipHash-2-4 of the header and the inner packet's addresses and ports. Put does not allocate.
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
	if len(b) < HeaderLength+minInnerLength {
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
	var m [taggedHeaderLength + innerTupleEnd - innerTupleStart]byte
	copy(m[:], b[:taggedHeaderLength])
	copy(m[taggedHeaderLength:], b[HeaderLength+innerTupleStart:HeaderLength+innerTupleEnd])
	return siphash.Hash(key.High, key.Low, m[:])
}
