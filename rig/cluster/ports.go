package cluster

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// The ports that nodes listen on lie below those that the system gives to outgoing connections.
const (
	firstPort = 10000
	lastPort  = 32000
)

// givenPorts are the ports that this process gave out before.
var givenPorts sync.Map

// freeAddresses returns loopback addresses whose TCP and UDP ports are free and were not given out before.
func freeAddresses(count int) ([]netip.AddrPort, error) {
	var found []netip.AddrPort
	for tries := 0; len(found) < count; tries++ {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
		if _, given := givenPorts.LoadOrStore(port, true); given {
			continue
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		if err := tryListen(address); err != nil {
			if tries > lastPort-firstPort {
				return nil, err
			}
			continue
		}
		found = append(found, address)
	}
	return found, nil
}

func tryListen(address netip.AddrPort) error {
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
