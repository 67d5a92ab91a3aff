package cluster

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// Nodes listen on ports below the ephemeral range from which the operating system chooses ports for outgoing
// connections.
const (
	firstPort = 10000
	lastPort  = 32000
)

// allocatedPorts holds the ports that allocateAddresses has tried or returned.
var allocatedPorts sync.Map

// allocateAddresses returns loopback addresses whose TCP and UDP ports are free and that it has not returned before.
func allocateAddresses(count int) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for attempts := 0; len(addresses) < count; attempts++ {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
		if _, allocated := allocatedPorts.LoadOrStore(port, true); allocated {
			continue
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		if err := checkFree(address); err != nil {
			if attempts > lastPort-firstPort {
				return nil, err
			}
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// checkFree returns an error if the TCP or UDP port of an address cannot be bound.
func checkFree(address netip.AddrPort) error {
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return err
	}
	if err := l.Close(); err != nil {
		return err
	}
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	return packets.Close()
}
