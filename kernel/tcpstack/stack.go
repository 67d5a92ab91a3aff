// Package tcpstack wraps gVisor's user-space TCP stack. The stack has no network device: the program injects inbound
// packets and reads outbound packets.
package tcpstack

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

const (
	interfaceID         tcpip.NICID = 1
	mtu                             = 1400  // bytes
	outboundQueueLength             = 16384 // packets
	listenBacklog                   = 4096  // connections
	receiveBufferBytes              = 256 << 10
	timeWaitDuration                = time.Second
)

// StackError reports a failed operation of the TCP stack.
type StackError struct {
	Operation string
	Cause     string
}

// Error returns a message with the operation and the cause.
func (e *StackError) Error() string {
	return "TCP stack: " + e.Operation + ": " + e.Cause
}

// KeepAlive configures the TCP keep-alive probes, which distinguish an unreachable peer from an idle one.
type KeepAlive struct {
	Idle     time.Duration `yaml:"idle"`
	Interval time.Duration `yaml:"interval"`
	Count    int           `yaml:"count"`
}

// DetectionTime returns the longest time until an unreachable peer is detected, whether by failed probes on an idle
// connection or by unacknowledged data.
func (k KeepAlive) DetectionTime() time.Duration {
	return k.Idle + time.Duration(k.Count)*k.Interval
}

// Failed reports whether a connection ended with an error: by an RST, or because the peer stopped responding.
func Failed(e tcpip.Endpoint) bool {
	return tcp.EndpointState(e.State()) == tcp.StateError
}

// Stack is a user-space TCP stack with one IPv4 address.
type Stack struct {
	link      *channel.Endpoint
	stack     *stack.Stack
	listener  tcpip.Endpoint
	waiters   waiter.Queue
	keepAlive KeepAlive
}

// New returns a stack with the given address, which enables keep-alive on the connections that it accepts.
func New(address [4]byte, keepAlive KeepAlive) (*Stack, error) {
	s := &Stack{
		link: channel.New(outboundQueueLength, mtu, ""),
		stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
		}),
		keepAlive: keepAlive,
	}
	return s, s.configure(address)
}

// configure sets the TCP options and creates the interface with its address.
func (s *Stack) configure(address [4]byte) error {
	sack := tcpip.TCPSACKEnabled(true)
	wait := tcpip.TCPTimeWaitTimeoutOption(timeWaitDuration)
	receive := tcpip.TCPReceiveBufferSizeRangeOption{Min: 4 << 10, Default: receiveBufferBytes, Max: receiveBufferBytes}
	for _, o := range []tcpip.SettableTransportProtocolOption{&sack, &wait, &receive} {
		if err := s.stack.SetTransportProtocolOption(tcp.ProtocolNumber, o); err != nil {
			return errors.WithStack(&StackError{Operation: "set option", Cause: err.String()})
		}
	}
	if err := s.stack.CreateNIC(interfaceID, s.link); err != nil {
		return errors.WithStack(&StackError{Operation: "create interface", Cause: err.String()})
	}
	protocolAddress := tcpip.ProtocolAddress{
		Protocol:          ipv4.ProtocolNumber,
		AddressWithPrefix: tcpip.AddrFrom4(address).WithPrefix(),
	}
	if err := s.stack.AddProtocolAddress(interfaceID, protocolAddress, stack.AddressProperties{}); err != nil {
		return errors.WithStack(&StackError{Operation: "add address", Cause: err.String()})
	}
	s.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: interfaceID}})
	return nil
}

// Listen accepts connections on the given endpoint. Its address must be the address of the stack.
func (s *Stack) Listen(address gue.Endpoint) error {
	l, err := s.stack.NewEndpoint(tcp.ProtocolNumber, ipv4.ProtocolNumber, &s.waiters)
	if err != nil {
		return errors.WithStack(&StackError{Operation: "open listener", Cause: err.String()})
	}
	local := tcpip.FullAddress{NIC: interfaceID, Addr: tcpip.AddrFrom4(address.Address), Port: address.Port}
	if err := l.Bind(local); err != nil {
		return errors.WithStack(&StackError{Operation: "bind", Cause: err.String()})
	}
	if err := l.Listen(listenBacklog); err != nil {
		return errors.WithStack(&StackError{Operation: "listen", Cause: err.String()})
	}
	s.listener = l
	return nil
}

// InjectInbound passes an inbound packet to the stack. It copies the packet.
func (s *Stack) InjectInbound(packet []byte) {
	p := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	s.link.InjectInbound(ipv4.ProtocolNumber, p)
	p.DecRef()
}

// ReadOutbound blocks until the stack sends a packet and returns it. It returns nil if ctx is done first.
func (s *Stack) ReadOutbound(ctx context.Context) []byte {
	p := s.link.ReadContext(ctx)
	if p == nil {
		return nil
	}
	defer p.DecRef()
	b := p.ToBuffer()
	return b.Flatten()
}

// Accept waits for an established connection and returns it. Call Listen first.
func (s *Stack) Accept(ctx context.Context) (net.Conn, tcpip.Endpoint, error) {
	entry, ready := waiter.NewChannelEntry(waiter.ReadableEvents)
	s.waiters.EventRegister(&entry)
	defer s.waiters.EventUnregister(&entry)
	for {
		e, queue, err := s.listener.Accept(nil)
		if err == nil {
			s.enableKeepAlive(e)
			return gonet.NewTCPConn(queue, e), e, nil
		}
		if _, wouldBlock := err.(*tcpip.ErrWouldBlock); !wouldBlock {
			return nil, nil, errors.WithStack(&StackError{Operation: "accept", Cause: err.String()})
		}
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-ready:
		}
	}
}

// Dial opens a connection to a service and waits until it is established.
func (s *Stack) Dial(ctx context.Context, to gue.Endpoint) (*gonet.TCPConn, error) {
	remote := tcpip.FullAddress{NIC: interfaceID, Addr: tcpip.AddrFrom4(to.Address), Port: to.Port}
	c, err := gonet.DialContextTCP(ctx, s.stack, remote, ipv4.ProtocolNumber)
	if err != nil {
		return nil, errors.WithStack(&StackError{Operation: "dial", Cause: err.Error()})
	}
	return c, nil
}

// SetKeepAlive changes the keep-alive parameters of connections accepted later. Call it before the first connection is
// accepted, because it is not synchronised with Accept.
func (s *Stack) SetKeepAlive(k KeepAlive) {
	s.keepAlive = k
}

// enableKeepAlive sets the keep-alive options and a matching user timeout, which ends the connection if sent data stays
// unacknowledged.
func (s *Stack) enableKeepAlive(e tcpip.Endpoint) {
	idle := tcpip.KeepaliveIdleOption(s.keepAlive.Idle)
	interval := tcpip.KeepaliveIntervalOption(s.keepAlive.Interval)
	userTimeout := tcpip.TCPUserTimeoutOption(s.keepAlive.DetectionTime())
	_ = e.SetSockOpt(&userTimeout)
	_ = e.SetSockOpt(&idle)
	_ = e.SetSockOpt(&interval)
	_ = e.SetSockOptInt(tcpip.KeepaliveCountOption, s.keepAlive.Count)
	e.SocketOptions().SetKeepAlive(true)
}
