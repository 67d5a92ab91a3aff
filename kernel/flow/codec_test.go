package flow

import (
	"encoding/binary"
	"slices"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// testCodec encodes the fields of a Header in sequence.
type testCodec struct{}

const testHeaderLength = 32

func (testCodec) Parse(p []byte) (Header, gue.Reason) {
	if len(p) < testHeaderLength {
		return Header{}, gue.ReasonShort
	}
	if int(binary.BigEndian.Uint16(p[30:])) != len(p)-testHeaderLength {
		return Header{}, gue.ReasonTotalLength
	}
	bits := p[12]
	hdr := Header{
		SYN: bits&1 != 0, SYNACK: bits&2 != 0, FIN: bits&4 != 0, RST: bits&8 != 0, Bounced: bits&16 != 0,
		Sequence: binary.BigEndian.Uint32(p[13:]), Acknowledged: binary.BigEndian.Uint32(p[17:]),
		Attempt: binary.BigEndian.Uint32(p[21:]), Length: len(p) - testHeaderLength,
		Mark: Mark{Code: Code(p[25]), Value: binary.BigEndian.Uint32(p[26:])},
	}
	copy(hdr.Source.Address[:], p[0:4])
	hdr.Source.Port = binary.BigEndian.Uint16(p[4:])
	copy(hdr.Destination.Address[:], p[6:10])
	hdr.Destination.Port = binary.BigEndian.Uint16(p[10:])
	return hdr, gue.ReasonNone
}

func (testCodec) SetMark(p []byte, m Mark) {
	p[12] &^= 16
	p[25] = byte(m.Code)
	binary.BigEndian.PutUint32(p[26:], m.Value)
}

func (testCodec) EncodeReset(b []byte, f gue.Flow, acknowledged uint32) []byte {
	return encode(Header{Source: f.Service, Destination: f.Caller, RST: true, Sequence: acknowledged})
}

func (testCodec) EncodeMessage(data []byte) []byte {
	return append(encode(Header{Length: len(data)})[:testHeaderLength], data...)
}

func (testCodec) Data(p []byte) []byte { return p[testHeaderLength:] }

func (testCodec) AppendTrailer(syn []byte, trailer string) []byte {
	return append(slices.Clone(syn), trailer...)
}

func (testCodec) SplitTrailer(p []byte) (rest, trailer []byte) {
	if len(p) < testHeaderLength || p[12]&1 == 0 {
		return p, nil
	}
	end := testHeaderLength + int(binary.BigEndian.Uint16(p[30:]))
	if end >= len(p) {
		return p, nil
	}
	return p[:end], p[end:]
}

func (testCodec) RequestID(p []byte) []byte { return p[testHeaderLength:] }

func (testCodec) HeaderLength() int { return testHeaderLength }

// encode returns a packet whose header is followed by hdr.Length zero bytes.
func encode(hdr Header) []byte {
	p := make([]byte, testHeaderLength+hdr.Length)
	copy(p[0:4], hdr.Source.Address[:])
	binary.BigEndian.PutUint16(p[4:], hdr.Source.Port)
	copy(p[6:10], hdr.Destination.Address[:])
	binary.BigEndian.PutUint16(p[10:], hdr.Destination.Port)
	for i, set := range []bool{hdr.SYN, hdr.SYNACK, hdr.FIN, hdr.RST, hdr.Bounced} {
		if set {
			p[12] |= 1 << i
		}
	}
	binary.BigEndian.PutUint32(p[13:], hdr.Sequence)
	binary.BigEndian.PutUint32(p[17:], hdr.Acknowledged)
	binary.BigEndian.PutUint32(p[21:], hdr.Attempt)
	p[25] = byte(hdr.Mark.Code)
	binary.BigEndian.PutUint32(p[26:], hdr.Mark.Value)
	binary.BigEndian.PutUint16(p[30:], uint16(hdr.Length))
	return p
}

func decode(p []byte) Header {
	hdr, _ := testCodec{}.Parse(p)
	return hdr
}
