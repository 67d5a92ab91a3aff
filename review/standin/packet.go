package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The packets of the platform's protocol page.
const (
	headerLength = 32
	flagACK      = 1
	flagFIN      = 2
	flagSYN      = 8
	flagBounced  = 32
	flagRST      = 128
)

// packetKey keys the checksums of callers and hosts. The programs under test do not know it.
var packetKey = []byte("stand-in key")

type packet struct {
	source, destination netip.AddrPort
	flags               byte
	sequence, ack       uint32
	data                []byte
}

func (p packet) encode() []byte {
	b := make([]byte, headerLength, headerLength+len(p.data))
	binary.BigEndian.PutUint16(b[4:], uint16(len(p.data)))
	source, destination := p.source.Addr().As4(), p.destination.Addr().As4()
	copy(b[6:], source[:])
	binary.BigEndian.PutUint16(b[10:], p.destination.Port())
	binary.BigEndian.PutUint16(b[12:], p.source.Port())
	copy(b[14:], destination[:])
	binary.BigEndian.PutUint32(b[18:], p.sequence)
	binary.BigEndian.PutUint32(b[22:], p.ack)
	b[30] = p.flags
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[26:], checksum(b))
	return b
}

// checksum covers all fields but echo, pad, the checksum itself and the bounced flag.
func checksum(b []byte) uint32 {
	c := crc32.NewIEEE()
	_, _ = c.Write(packetKey)
	_, _ = c.Write(b[4:26])
	_, _ = c.Write([]byte{b[30] &^ flagBounced})
	_, _ = c.Write(b[headerLength:])
	return c.Sum32()
}

// decode returns false for a packet that is malformed. Its checksum may be wrong.
func decode(b []byte) (packet, bool) {
	if len(b) < headerLength || int(binary.BigEndian.Uint16(b[4:])) != len(b)-headerLength {
		return packet{}, false
	}
	return packet{
		source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[6:10])), binary.BigEndian.Uint16(b[12:])),
		destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[14:18])), binary.BigEndian.Uint16(b[10:])),
		flags:       b[30], sequence: binary.BigEndian.Uint32(b[18:]), ack: binary.BigEndian.Uint32(b[22:]),
		data: append([]byte(nil), b[headerLength:]...),
	}, true
}

func hasValidChecksum(b []byte) bool {
	return binary.BigEndian.Uint32(b[26:]) == checksum(b)
}
