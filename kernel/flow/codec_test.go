package flow

import (
	"encoding/binary"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// testCodec encodes the fields of a View in sequence.
type testCodec struct{}

const testHeader = 32

func (testCodec) Parse(p []byte) (Header, gue.Reason) {
	if len(p) < testHeader {
		return Header{}, gue.ReasonShort
	}
	if int(binary.BigEndian.Uint16(p[30:])) != len(p)-testHeader {
		return Header{}, gue.ReasonTotalLength
	}
	bits := p[12]
	v := Header{
		SYN: bits&1 != 0, SYNACK: bits&2 != 0, FIN: bits&4 != 0, RST: bits&8 != 0, Bounced: bits&16 != 0,
		Sequence: binary.BigEndian.Uint32(p[13:]), Acknowledged: binary.BigEndian.Uint32(p[17:]),
		Attempt: binary.BigEndian.Uint32(p[21:]), Length: len(p) - testHeader,
		Mark: Mark{Code: Code(p[25]), Value: binary.BigEndian.Uint32(p[26:])},
	}
	copy(v.Source.Address[:], p[0:4])
	v.Source.Port = binary.BigEndian.Uint16(p[4:])
	copy(v.Destination.Address[:], p[6:10])
	v.Destination.Port = binary.BigEndian.Uint16(p[10:])
	return v, gue.ReasonNone
}

func (testCodec) SetMark(p []byte, m Mark) {
	p[12] &^= 16
	p[25] = byte(m.Code)
	binary.BigEndian.PutUint32(p[26:], m.Value)
}

func (testCodec) EncodeReset(b []byte, f gue.Flow, acknowledged uint32) []byte {
	return encode(Header{Source: f.Service, Destination: f.Caller, RST: true, Sequence: acknowledged})
}

func (testCodec) RequestID(p []byte) []byte { return p[testHeader:] }

func (testCodec) HeaderLength() int { return testHeader }

// encode returns a packet whose header is followed by v.Length zero bytes.
func encode(v Header) []byte {
	p := make([]byte, testHeader+v.Length)
	copy(p[0:4], v.Source.Address[:])
	binary.BigEndian.PutUint16(p[4:], v.Source.Port)
	copy(p[6:10], v.Destination.Address[:])
	binary.BigEndian.PutUint16(p[10:], v.Destination.Port)
	for i, set := range []bool{v.SYN, v.SYNACK, v.FIN, v.RST, v.Bounced} {
		if set {
			p[12] |= 1 << i
		}
	}
	binary.BigEndian.PutUint32(p[13:], v.Sequence)
	binary.BigEndian.PutUint32(p[17:], v.Acknowledged)
	binary.BigEndian.PutUint32(p[21:], v.Attempt)
	p[25] = byte(v.Mark.Code)
	binary.BigEndian.PutUint32(p[26:], v.Mark.Value)
	binary.BigEndian.PutUint16(p[30:], uint16(v.Length))
	return p
}

func decode(p []byte) Header {
	v, _ := testCodec{}.Parse(p)
	return v
}
