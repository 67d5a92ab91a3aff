package cluster

import (
	"net"
	"net/netip"
)

// freeAddresses returns loopback addresses whose TCP and UDP ports were free a moment ago.
func freeAddresses(count int) ([]netip.AddrPort, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	var found []netip.AddrPort
	for len(found) < count {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		address := l.Addr().(*net.TCPAddr).AddrPort()
		packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			continue
		}
		_ = packets.Close()
		found = append(found, address)
	}
	return found, nil
}
