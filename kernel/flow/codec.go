// Package flow makes the forwarding decisions of entries and agents for connections that the targets terminate
// themselves. It performs no I/O: each step takes a packet and the time, updates the state, and returns packets and
// decisions.
package flow

import (
	"github.com/coltsfootline/coltsfootline/kernel"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Header is the parsed header of a packet.
type Header struct {
	Source      gue.Endpoint
	Destination gue.Endpoint
	// SYN is set for a SYN without ACK, and SYNACK for a SYN with ACK.
	SYN    bool
	SYNACK bool
	FIN    bool
	RST    bool
	// Bounced is set if a target returned the packet because it does not hold the flow or accepts no more flows.
	Bounced  bool
	Sequence uint32
	// Acknowledged is the acknowledgement number.
	Acknowledged uint32
	// Attempt is the number of earlier transmissions of a SYN: 0 for the first transmission.
	Attempt uint32
	// Length is the number of data bytes.
	Length int
	Mark   Mark
}

// FlowFromCaller returns the flow of a packet that a caller sent.
func (hdr *Header) FlowFromCaller() gue.Flow {
	return gue.Flow{Caller: hdr.Source, Service: hdr.Destination}
}

// FlowFromTarget returns the flow of a packet that a target sent.
func (hdr *Header) FlowFromTarget() gue.Flow {
	return gue.Flow{Caller: hdr.Destination, Service: hdr.Source}
}

// Code is the purpose of a packet that one instance sends to another.
type Code uint8

// The codes of marks. Packets from callers and targets have CodeNone.
const (
	CodeNone Code = iota
	// CodeLocate asks an agent to forward the packet to its target and to report whether the target holds the flow.
	CodeLocate
	// CodeForce asks an agent to forward a SYN even if the target has no free slot, so that the flow waits for one.
	CodeForce
	// CodeNotHere returns a packet to the entry because the target does not hold the flow.
	CodeNotHere
	// CodeHere tells an entry that the target holds the flow.
	CodeHere
	// CodeMaybe tells an entry that the target did not bounce the flow's packet, so it holds the flow or held it
	// before.
	CodeMaybe
	// CodeBusy returns a SYN to the entry because the target has no free slot.
	CodeBusy
	// CodeRefused returns a SYN to the entry because the agent accepts no new flows, or none of the route.
	CodeRefused
	// CodeFull returns a SYN to the entry because the target bounced it.
	CodeFull
	// CodeAsk asks an agent which of some flows its target holds.
	CodeAsk
	// CodeAnswers carries an agent's answers to a question.
	CodeAnswers
	codeCount
)

var codeNames = [codeCount]string{"none", "locate", "force", "notHere", "here", "maybe", "busy", "refused", "full", "ask", "answers"}

// String returns the camel-case name used in logs.
func (c Code) String() string {
	if c >= codeCount {
		return "invalid"
	}
	return codeNames[c]
}

// Mark is the metadata of a packet that one instance sends to another.
type Mark struct {
	Code Code
	// Value is the low 32 bits of the plan version in SYNs sent to an agent, the entry's IPv4 address in packets sent to
	// a target, the form of the answer in a question, and in packets sent to an entry the room of the host with CodeBusy (0
	// from an agent of an older build) and the low 32 bits of a digest of the agent's group otherwise.
	Value uint32
}

// Codec parses and modifies packets of one form. Its methods do not allocate, except for EncodeMessage and AppendTrailer.
type Codec interface {
	// Parse validates a packet and returns its header, or the reason to drop it.
	Parse(packet []byte) (Header, gue.Reason)
	// SetMark writes the mark and clears the Bounced flag.
	SetMark(packet []byte, m Mark)
	// EncodeReset writes a reset from the service to the caller into buffer and returns it. acknowledged is the number
	// that the caller last acknowledged, which makes the reset acceptable to it.
	EncodeReset(buffer []byte, f gue.Flow, acknowledged uint32) []byte
	// EncodeMessage returns a packet that carries data from one instance to another.
	EncodeMessage(data []byte) []byte
	// Data returns the data of a packet. The result aliases the packet.
	Data(packet []byte) []byte
	// AppendTrailer returns a copy of a SYN with a trailer after its end. Parse refuses packets with a trailer.
	AppendTrailer(syn []byte, trailer string) []byte
	// SplitTrailer returns a SYN without its trailer, and the trailer, which is empty if there is none. It returns any other
	// packet as it is. The results alias the packet.
	SplitTrailer(packet []byte) (rest, trailer []byte)
	// RequestID returns the ID of the request that begins in a packet's data, or nil. The result aliases the packet.
	RequestID(packet []byte) []byte
	// HeaderLength returns the length of a packet without data, in bytes.
	HeaderLength() int
}

// Codecs is the registry of codecs by packet form.
var Codecs = kernel.Registry[Codec]{Kind: "packet form"}
