package command

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// checkTimeout limits how long CanConnect waits for a connection.
const checkTimeout = time.Second

// Check is an environment check of the doctor command. Run returns an error if the check fails.
type Check struct {
	Name string
	Run  func(ctx context.Context) error
}

// CanListenTCP returns a check that this process can listen on a TCP address. It fails while the instance is running.
func CanListenTCP(name string, a netip.AddrPort) Check {
	return Check{Name: name + " " + a.String() + " is free", Run: func(ctx context.Context) error {
		var config net.ListenConfig
		l, err := config.Listen(ctx, "tcp4", a.String())
		if err != nil {
			return err
		}
		return l.Close()
	}}
}

// CanListenUDP returns a check that this process can listen on a UDP address. It fails while the instance is running.
func CanListenUDP(name string, a netip.AddrPort) Check {
	return Check{Name: name + " " + a.String() + " is free", Run: func(ctx context.Context) error {
		var config net.ListenConfig
		l, err := config.ListenPacket(ctx, "udp4", a.String())
		if err != nil {
			return err
		}
		return l.Close()
	}}
}

// CanConnect returns a check that a TCP address accepts connections.
func CanConnect(name, address string) Check {
	return Check{Name: name + " " + address + " answers", Run: func(ctx context.Context) error {
		dialer := net.Dialer{Timeout: checkTimeout}
		c, err := dialer.DialContext(ctx, "tcp4", address)
		if err != nil {
			return err
		}
		return c.Close()
	}}
}
