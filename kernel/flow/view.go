// Package flow decides where packets go whose connections the targets end themselves. Its steps are pure: state,
// packet and time in, packets and decisions out.
package flow

import (
	"github.com/coltsfootline/coltsfootline/kernel"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// View is what a codec reads from a packet. Source and Destination are the ends that the packet names.
type View struct {
	Source      gue.Endpoint
	Destination gue.Endpoint
	// Opening says SYN without ACK, Accepting SYN with ACK.
	Opening   bool
	Accepting bool
	Finish    bool
	Reset     bool
	// Bounced says that a target gave the packet back, since it does not hold the flow or takes no more.
	Bounced      bool
	Sequence     uint32
	Acknowledged uint32
	// Copy counts the earlier sendings of an opening packet.
	Copy uint32
	// Length is the number of data octets.
	Length int
	Mark   Mark
}

// FromCaller is the flow of a packet that a caller sent.
func (v *View) FromCaller() gue.Flow {
	return gue.Flow{Caller: v.Source, Service: v.Destination}
}

// FromTarget is the flow of a packet that a target sent.
func (v *View) FromTarget() gue.Flow {
	return gue.Flow{Caller: v.Destination, Service: v.Source}
}

// Code says what one of our instances wants from another with a packet.
type Code uint8

// The codes. Callers and targets send CodeNone.
const (
	CodeNone Code = iota
	// CodeLocate asks an agent to deliver the packet and to answer whether its target holds the flow.
	CodeLocate
	// CodeForce asks an agent to deliver an opening packet even to a busy target.
	CodeForce
	// CodeNotHere returns a packet to its entry: the target does not hold the flow.
	CodeNotHere
	// CodeHere tells an entry that the target holds the flow.
	CodeHere
	// CodeMaybe tells an entry that the target did not bounce the flow's packet, so that it holds the flow or held it.
	CodeMaybe
	// CodeBusy returns an opening packet to its entry: the target has no free slot.
	CodeBusy
	// CodeRefused returns an opening packet to its entry: the target takes no new flows.
	CodeRefused
	// CodeFull returns an opening packet to its entry: the target itself gave it back.
	CodeFull
	codeCount
)

var codeNames = [codeCount]string{"none", "locate", "force", "notHere", "here", "maybe", "busy", "refused", "full"}

// String returns the camel-case name used in logs.
func (c Code) String() string {
	if c >= codeCount {
		return "invalid"
	}
	return codeNames[c]
}

// Mark travels with a packet between our instances.
type Mark struct {
	Code Code
	// Value is a plan version in opening packets on their way to an agent, an entry's IPv4 address in packets given to
	// a target, and the digest of the group that the agent knows where a packet comes back.
	Value uint32
}

// Codec reads and changes packets of one form. Its methods do not allocate.
type Codec interface {
	// Parse checks a packet and returns its view, or the reason to drop it.
	Parse(packet []byte) (View, gue.Reason)
	// SetMark writes the mark and clears the flag of a bounced packet.
	SetMark(packet []byte, m Mark)
	// PutReset writes a reset from the service to the caller into buffer, acceptable to a caller that last
	// acknowledged the given number, and returns it.
	PutReset(buffer []byte, f gue.Flow, acknowledged uint32) []byte
	// RequestID returns the id of the request that begins in a packet's data, or nil. It aliases the packet.
	RequestID(packet []byte) []byte
	// HeaderLength is the length of a packet without data, in octets.
	HeaderLength() int
}

// Codecs holds the registered codecs.
var Codecs = kernel.Registry[Codec]{Kind: "packet form"}
