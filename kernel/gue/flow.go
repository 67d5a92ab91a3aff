// Package gue parses packets from the fabric, which are in GUE variant 1: each UDP datagram contains an IPv4 packet
// without a GUE header. It also encodes and parses the header that entries and agents prepend to such a packet when they
// forward it to an agent.
package gue

import (
	"encoding/binary"
	"net/netip"
	"strings"

	"github.com/dchest/siphash"
)

// Endpoint is an IPv4 address and a TCP port.
type Endpoint struct {
	Address [4]byte
	Port    uint16
}

// AddrPort returns the endpoint as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.Address), e.Port)
}

// String returns the endpoint as address:port.
func (e Endpoint) String() string {
	return e.AddrPort().String()
}

// EndpointOf converts an IPv4 address and a port. It returns the zero Endpoint if the address is not IPv4.
func EndpointOf(a netip.AddrPort) Endpoint {
	if !a.Addr().Is4() {
		return Endpoint{}
	}
	return Endpoint{Address: a.Addr().As4(), Port: a.Port()}
}

// Flow identifies a TCP connection by its 4-tuple, in the direction from the caller to the service.
type Flow struct {
	Caller  Endpoint
	Service Endpoint
}

// Key is a 128-bit secret for hashing flows and authenticating headers.
type Key struct {
	High uint64
	Low  uint64
}

// Hash returns the SipHash-2-4 of the 4-tuple. It selects the owner of the flow.
func (f Flow) Hash(k Key) uint64 {
	b := f.tuple()
	return siphash.Hash(k.High, k.Low, b[:])
}

// tuple encodes the 4-tuple in network byte order, as input to SipHash.
func (f Flow) tuple() [12]byte {
	var b [12]byte
	copy(b[0:4], f.Caller.Address[:])
	binary.BigEndian.PutUint16(b[4:6], f.Caller.Port)
	copy(b[6:10], f.Service.Address[:])
	binary.BigEndian.PutUint16(b[10:12], f.Service.Port)
	return b
}

// String returns the flow as caller>service.
func (f Flow) String() string {
	return f.Caller.String() + ">" + f.Service.String()
}

// FlowSyntaxError reports a text that is not a flow in the form caller>service.
type FlowSyntaxError struct {
	Text string
}

// Error returns a message with the invalid text and the expected form.
func (e *FlowSyntaxError) Error() string {
	return "flow " + e.Text + ": expected IPv4:port>IPv4:port"
}

// MarshalText returns the same text as String.
func (f Flow) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText parses the form that String returns. Its errors are of type *FlowSyntaxError.
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

// InitialSequence returns the initial sequence number of the SYN-ACK with which an agent answers the flow's SYN. It is
// derived from the SipHash-2-4 of the 4-tuple and of the caller's initial sequence number, so that every agent of a
// service chooses the same number.
func (f Flow) InitialSequence(k Key, callerInitial uint32) uint32 {
	var b [16]byte
	tuple := f.tuple()
	copy(b[:12], tuple[:])
	binary.BigEndian.PutUint32(b[12:16], callerInitial)
	return uint32(siphash.Hash(k.High, k.Low, b[:]))
}
