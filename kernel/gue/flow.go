// Package gue reads the fabric's packets (GUE variant 1, a bare IPv4 packet in a UDP datagram)
// and the header that entries put before them on the way to agents.
package gue

import (
	"encoding/binary"
	"net/netip"
	"strings"

	"github.com/dchest/siphash"
)

// Endpoint is one end of a TCP connection: an IPv4 address and a port.
type Endpoint struct {
	Address [4]byte
	Port    uint16
}

// AddrPort converts the endpoint to the standard library's form.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.Address), e.Port)
}

// String prints the endpoint as address:port.
func (e Endpoint) String() string {
	return e.AddrPort().String()
}

// EndpointOf converts an IPv4 address and port; other families give the zero Endpoint.
func EndpointOf(a netip.AddrPort) Endpoint {
	if !a.Addr().Is4() {
		return Endpoint{}
	}
	return Endpoint{Address: a.Addr().As4(), Port: a.Port()}
}

// Flow is the 4-tuple of a connection, seen from the caller.
type Flow struct {
	Caller  Endpoint
	Service Endpoint
}

// Key is a 128-bit secret for hashing flows and tagging headers.
type Key struct {
	High uint64
	Low  uint64
}

// Hash returns SipHash-2-4 of the 4-tuple.
func (f Flow) Hash(k Key) uint64 {
	b := f.bytes()
	return siphash.Hash(k.High, k.Low, b[:])
}

func (f Flow) bytes() [12]byte {
	var b [12]byte
	copy(b[0:4], f.Caller.Address[:])
	binary.BigEndian.PutUint16(b[4:6], f.Caller.Port)
	copy(b[6:10], f.Service.Address[:])
	binary.BigEndian.PutUint16(b[10:12], f.Service.Port)
	return b
}

// String prints the flow as caller>service.
func (f Flow) String() string {
	return f.Caller.String() + ">" + f.Service.String()
}

// FlowSyntaxError reports text that is not caller>service.
type FlowSyntaxError struct {
	Text string
}

// Error shows the refused text.
func (e *FlowSyntaxError) Error() string {
	return "flow " + e.Text + ": expected IPv4:port>IPv4:port"
}

// MarshalText writes the form that String gives.
func (f Flow) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText reads the form that String gives; errors are FlowSyntaxError.
func (f *Flow) UnmarshalText(text []byte) error {
	caller, service, found := strings.Cut(string(text), ">")
	if !found {
		return &FlowSyntaxError{Text: string(text)}
	}
	c, err := netip.ParseAddrPort(caller)
	if err != nil || !c.Addr().Is4() {
		return &FlowSyntaxError{Text: string(text)}
	}
	s, err := netip.ParseAddrPort(service)
	if err != nil || !s.Addr().Is4() {
		return &FlowSyntaxError{Text: string(text)}
	}
	*f = Flow{Caller: EndpointOf(c), Service: EndpointOf(s)}
	return nil
}

// InitialSequence returns the initial sequence number that every agent of a service gives to the flow's SYN:
// SipHash-2-4 of the 4-tuple and the caller's own number.
func (f Flow) InitialSequence(k Key, callerInitial uint32) uint32 {
	var b [16]byte
	tuple := f.bytes()
	copy(b[:12], tuple[:])
	binary.BigEndian.PutUint32(b[12:16], callerInitial)
	return uint32(siphash.Hash(k.High, k.Low, b[:]))
}
