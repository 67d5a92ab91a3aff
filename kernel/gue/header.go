package gue

import (
	"encoding/binary"

	"github.com/dchest/siphash"
)

// HeaderLength is the size of Header on the wire, in octets.
const HeaderLength = 28

// MaxHops bounds how often one packet is forwarded between agents.
const MaxHops = 4

const (
	headerVersion   = 0xC1
	taggedLength    = 20
	innerTupleStart = 12
	innerTupleEnd   = 24
	innerTagMinimum = 24
)

// Flag marks a property of a forwarded packet.
type Flag uint8

// FlagPlaced marks a packet of a new flow that its owner placed on the receiver.
const FlagPlaced Flag = 1

// Header precedes a packet on its way from an entry to an agent or between agents.
type Header struct {
	Hops         uint8
	Flags        Flag
	Service      uint32
	Generation   uint32
	TableVersion uint64
}

// Put writes the header and its tag to b[:HeaderLength]; b[HeaderLength:] is the inner packet.
// The tag is SipHash-2-4 over the header and the inner addresses and ports. It does not allocate.
func (h Header) Put(b []byte, key Key) {
	b[0] = headerVersion
	b[1] = h.Hops
	b[2] = byte(h.Flags)
	b[3] = 0
	binary.BigEndian.PutUint32(b[4:8], h.Service)
	binary.BigEndian.PutUint32(b[8:12], h.Generation)
	binary.BigEndian.PutUint64(b[12:20], h.TableVersion)
	binary.BigEndian.PutUint64(b[20:28], tag(b, key))
}

// ParseHeader checks the header before an inner packet and returns it with the inner bytes.
func ParseHeader(b []byte, key Key) (Header, []byte, Reason) {
	if len(b) < HeaderLength+innerTagMinimum {
		return Header{}, nil, ReasonShort
	}
	if b[0] != headerVersion || b[3] != 0 {
		return Header{}, nil, ReasonVersion
	}
	if binary.BigEndian.Uint64(b[20:28]) != tag(b, key) {
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

func tag(b []byte, key Key) uint64 {
	var m [taggedLength + innerTupleEnd - innerTupleStart]byte
	copy(m[:], b[:taggedLength])
	copy(m[taggedLength:], b[HeaderLength+innerTupleStart:HeaderLength+innerTupleEnd])
	return siphash.Hash(key.High, key.Low, m[:])
}
