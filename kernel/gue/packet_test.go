package gue

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

var testKey = Key{High: 1, Low: 2}

// testPacket returns a SYN with the given number of data bytes.
func testPacket(payload int) []byte {
	b := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize+payload)
	ip := header.IPv4(b)
	ip.Encode(&header.IPv4Fields{
		TotalLength: uint16(len(b)),
		TTL:         64,
		Protocol:    uint8(header.TCPProtocolNumber),
		SrcAddr:     tcpip.AddrFrom4([4]byte{10, 1, 0, 1}),
		DstAddr:     tcpip.AddrFrom4([4]byte{10, 9, 0, 1}),
	})
	header.TCP(b[header.IPv4MinimumSize:]).Encode(&header.TCPFields{
		SrcPort: 4000, DstPort: 80, SeqNum: 7, DataOffset: header.TCPMinimumSize, Flags: header.TCPFlagSyn,
	})
	return b
}

func TestParseReadsFlow(t *testing.T) {
	p, reason := Parse(testPacket(10))
	require.Equal(t, ReasonNone, reason)
	require.Equal(t, "10.1.0.1:4000>10.9.0.1:80", p.Flow.String())
	require.True(t, p.IsSYN())
	require.Equal(t, uint32(11), p.SequenceLength())
	require.Equal(t, "10.9.0.1:80>10.1.0.1:4000", p.ReverseFlow().String())
}

func TestParseDropReasons(t *testing.T) {
	cases := map[string]struct {
		change func(b []byte) []byte
		reason Reason
	}{
		"empty":            {func([]byte) []byte { return nil }, ReasonShort},
		"cut IP header":    {func(b []byte) []byte { return b[:19] }, ReasonShort},
		"IPv6":             {func(b []byte) []byte { b[0] = 0x65; return b }, ReasonVersion},
		"IP header short":  {func(b []byte) []byte { b[0] = 0x44; return b }, ReasonHeaderLength},
		"IP header long":   {func(b []byte) []byte { b[0] = 0x4f; return b[:40] }, ReasonHeaderLength},
		"total too long":   {func(b []byte) []byte { binary.BigEndian.PutUint16(b[2:], 9000); return b }, ReasonTotalLength},
		"total too short":  {func(b []byte) []byte { binary.BigEndian.PutUint16(b[2:], 10); return b }, ReasonTotalLength},
		"first fragment":   {func(b []byte) []byte { b[6] = 0x20; return b }, ReasonFragment},
		"later fragment":   {func(b []byte) []byte { b[7] = 1; return b }, ReasonFragment},
		"UDP":              {func(b []byte) []byte { b[9] = 17; return b }, ReasonProtocol},
		"cut TCP header":   {func(b []byte) []byte { binary.BigEndian.PutUint16(b[2:], 30); return b }, ReasonShort},
		"TCP header short": {func(b []byte) []byte { b[32] = 0x40; return b }, ReasonHeaderLength},
		"TCP header long":  {func(b []byte) []byte { b[32] = 0xf0; return b }, ReasonHeaderLength},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, reason := Parse(c.change(testPacket(10)))
			require.Equal(t, c.reason, reason)
		})
	}
}

func TestHeaderRoundTrip(t *testing.T) {
	b := append(make([]byte, HeaderLength), testPacket(3)...)
	h := Header{Hops: 2, Flags: FlagPlaced, Service: 9, Generation: 4, TableVersion: 1 << 60}
	h.Put(b, testKey)
	got, inner, reason := ParseHeader(b, testKey)
	require.Equal(t, ReasonNone, reason)
	require.Equal(t, h, got)
	require.Equal(t, testPacket(3), inner)
}

// TestForgedHeader checks that a header is rejected if any bit of the header or of the inner packet's addresses and
// ports has changed, or if the key differs.
func TestForgedHeader(t *testing.T) {
	b := append(make([]byte, HeaderLength), testPacket(3)...)
	Header{Service: 9, Generation: 4}.Put(b, testKey)
	taggedBytes := append([]int{}, indexRange(0, HeaderLength)...)
	taggedBytes = append(taggedBytes, indexRange(HeaderLength+tupleStart, HeaderLength+tupleEnd)...)
	for _, i := range taggedBytes {
		for bit := range 8 {
			b[i] ^= 1 << bit
			_, _, reason := ParseHeader(b, testKey)
			require.NotEqual(t, ReasonNone, reason, "byte %d bit %d", i, bit)
			b[i] ^= 1 << bit
		}
	}
	_, _, reason := ParseHeader(b, Key{High: 1, Low: 3})
	require.Equal(t, ReasonTag, reason)
}

// indexRange returns the integers from from to to-1.
func indexRange(from, to int) []int {
	var all []int
	for i := from; i < to; i++ {
		all = append(all, i)
	}
	return all
}

func TestFlowText(t *testing.T) {
	f := Flow{
		Caller:  EndpointOf(netip.MustParseAddrPort("10.1.0.1:4000")),
		Service: EndpointOf(netip.MustParseAddrPort("10.9.0.1:80")),
	}
	text, err := f.MarshalText()
	require.NoError(t, err)
	var got Flow
	require.NoError(t, got.UnmarshalText(text))
	require.Equal(t, f, got)
	var syntax *FlowSyntaxError
	require.ErrorAs(t, got.UnmarshalText([]byte("10.1.0.1:4000")), &syntax)
	require.ErrorAs(t, got.UnmarshalText([]byte("[::1]:1>10.9.0.1:80")), &syntax)
}

func FuzzParse(f *testing.F) {
	f.Add(testPacket(10))
	f.Add(testPacket(0)[:30])
	f.Fuzz(func(t *testing.T, b []byte) {
		p, reason := Parse(b)
		if reason != ReasonNone {
			return
		}
		require.LessOrEqual(t, len(p.IP), len(b))
		require.LessOrEqual(t, len(p.TCP.Payload()), len(p.IP))
		_ = p.TCP.ParsedOptions()
		_ = p.SequenceLength()
	})
}

func FuzzParseHeader(f *testing.F) {
	b := append(make([]byte, HeaderLength), testPacket(3)...)
	Header{Service: 9, Generation: 4}.Put(b, testKey)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		h, inner, reason := ParseHeader(b, testKey)
		if reason != ReasonNone {
			return
		}
		encoded := append(make([]byte, HeaderLength), inner...)
		h.Put(encoded, testKey)
		require.Equal(t, b, encoded)
	})
}
