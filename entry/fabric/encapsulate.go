package fabric

import (
	"net"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/services"
)

// Keys holds the secrets that entries and agents share.
type Keys struct {
	// Hash is the key of the flow hash, which selects the owner of a flow.
	Hash gue.Key
	// Packet is the key that authenticates headers.
	Packet gue.Key
}

// Encapsulate prepends a header to the received packet in buffer[gue.HeaderLength:]. It returns the length of the
// resulting datagram and the address of the agent that owns the flow, or the reason to drop the packet. It keeps no
// state per flow and does not allocate.
func Encapsulate(buffer []byte, routes *services.Routes, keys Keys) (int, *net.UDPAddr, gue.Reason) {
	packet, reason := gue.Parse(buffer[gue.HeaderLength:])
	if reason != gue.ReasonNone {
		return 0, nil, reason
	}
	route := routes.Find(packet.Flow.Service)
	if route == nil {
		return 0, nil, gue.ReasonUnknownAddress
	}
	owner := route.OwnerIndex(packet.Flow.Hash(keys.Hash))
	if owner < 0 {
		return 0, nil, gue.ReasonNoTarget
	}
	h := gue.Header{
		Service:      route.Service.ID,
		Generation:   route.Service.Generation,
		TableVersion: route.Version,
	}
	h.Put(buffer, keys.Packet)
	return gue.HeaderLength + len(packet.IP), route.OwnerAddresses[owner], gue.ReasonNone
}
