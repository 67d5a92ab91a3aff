package fabric

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/services"
	"github.com/coltsfootline/coltsfootline/kernel/table"
)

var testKeys = Keys{Hash: gue.Key{High: 1, Low: 2}, Packet: gue.Key{High: 3, Low: 4}}

// packetFor returns a buffer with space for the header, followed by a packet to a service from the given caller port.
func packetFor(service [4]byte, port uint16, payload int) []byte {
	b := make([]byte, gue.HeaderLength+header.IPv4MinimumSize+header.TCPMinimumSize+payload)
	inner := b[gue.HeaderLength:]
	header.IPv4(inner).Encode(&header.IPv4Fields{
		TotalLength: uint16(len(inner)),
		TTL:         64,
		Protocol:    uint8(header.TCPProtocolNumber),
		SrcAddr:     tcpip.AddrFrom4([4]byte{10, 1, 0, 1}),
		DstAddr:     tcpip.AddrFrom4(service),
	})
	header.TCP(inner[header.IPv4MinimumSize:]).Encode(&header.TCPFields{
		SrcPort: port, DstPort: 80, DataOffset: header.TCPMinimumSize, Flags: header.TCPFlagAck,
	})
	return b
}

// routesTo returns routes for serviceCount services at 10.9.0.1, 10.9.0.2 and so on. Each service has agentCount
// agents, all at the given address.
func routesTo(address netip.AddrPort, serviceCount, agentCount int) *services.Routes {
	var list services.List
	var members []facts.Member
	for s := range serviceCount {
		name := fmt.Sprintf("service-%d", s)
		list.Services = append(list.Services, services.Service{
			Name:       name,
			ID:         uint32(s + 1),
			Generation: 1,
			Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(s >> 8), byte(s + 1)}), 80),
		})
		for a := range agentCount {
			members = append(members, facts.Member{
				Instance: fmt.Sprintf("%s-%d", name, a),
				Role:     facts.RoleAgent,
				Service:  name,
				State:    facts.StateServing,
				Packets:  address,
			})
		}
	}
	return services.BuildRoutes(list, members, table.NewRendezvous, nil)
}

// TestEncapsulateKeepsServicesApart checks that the header of each packet contains the ID of the service that the packet
// was sent to.
func TestEncapsulateKeepsServicesApart(t *testing.T) {
	routes := routesTo(netip.MustParseAddrPort("127.0.0.1:9"), 2, 3)
	for port := range uint16(500) {
		for s := byte(1); s <= 2; s++ {
			b := packetFor([4]byte{10, 9, 0, s}, port+1024, 10)
			n, to, reason := Encapsulate(b, routes, testKeys)
			require.Equal(t, gue.ReasonNone, reason)
			require.NotNil(t, to)
			h, _, reason := gue.ParseHeader(b[:n], testKeys.Packet)
			require.Equal(t, gue.ReasonNone, reason)
			require.Equal(t, uint32(s), h.Service)
		}
	}
}

func TestEncapsulateDropReasons(t *testing.T) {
	routes := routesTo(netip.MustParseAddrPort("127.0.0.1:9"), 1, 0)
	_, _, reason := Encapsulate(packetFor([4]byte{10, 9, 0, 1}, 1024, 0), routes, testKeys)
	require.Equal(t, gue.ReasonNoTarget, reason)
	_, _, reason = Encapsulate(packetFor([4]byte{10, 9, 0, 77}, 1024, 0), routes, testKeys)
	require.Equal(t, gue.ReasonUnknownAddress, reason)
	_, _, reason = Encapsulate(make([]byte, gue.HeaderLength+5), routes, testKeys)
	require.Equal(t, gue.ReasonShort, reason)
}

// TestEncapsulateDoesNotAllocate checks that the entry allocates nothing per packet. This also shows that it creates no
// state per flow.
func TestEncapsulateDoesNotAllocate(t *testing.T) {
	routes := routesTo(netip.MustParseAddrPort("127.0.0.1:9"), 2, 7)
	b := packetFor([4]byte{10, 9, 0, 1}, 1024, 100)
	require.Zero(t, testing.AllocsPerRun(1000, func() { _, _, _ = Encapsulate(b, routes, testKeys) }))
}

// BenchmarkEncapsulate measures the encapsulation of one packet.
func BenchmarkEncapsulate(b *testing.B) {
	routes := routesTo(netip.MustParseAddrPort("127.0.0.1:9"), 2, 7)
	packet := packetFor([4]byte{10, 9, 0, 1}, 1024, 100)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, reason := Encapsulate(packet, routes, testKeys); reason != gue.ReasonNone {
			b.Fatal(reason)
		}
	}
}
