package gue

// Reason is the reason to drop a packet. ReasonNone means that the packet is not dropped.
type Reason uint8

// Reasons to drop a packet.
const (
	ReasonNone Reason = iota
	ReasonShort
	ReasonVersion
	ReasonHeaderLength
	ReasonTotalLength
	ReasonFragment
	ReasonProtocol
	ReasonUnknownAddress
	ReasonTag
	ReasonService
	ReasonGeneration
	ReasonHops
	ReasonNoTarget
	ReasonQueue
	ReasonRate
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "short", "version", "headerLength", "totalLength", "fragment", "protocol", "unknownAddress",
	"tag", "service", "generation", "hops", "noTarget", "queue", "rate",
}

// String returns the camel-case name, which is the value of the reason label in metrics.
func (r Reason) String() string {
	if r >= reasonCount {
		return "invalid"
	}
	return reasonNames[r]
}

// Reasons returns every reason other than ReasonNone.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount-1)
	for r := ReasonNone + 1; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}
