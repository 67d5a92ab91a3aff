// Package tcpstack ends TCP connections in a user-space stack whose packets the program carries itself.
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
	interfaceID        tcpip.NICID = 1
	interfaceMTU                   = 1400
	outgoingPackets                = 16384
	listenBacklog                  = 4096
	receiveBufferBytes             = 256 << 10
	timeWait                       = time.Second
)

// StackError reports what the TCP stack refused.
type StackError struct {
	Operation string
	Cause     string
}

// Error names the operation.
func (e *StackError) Error() string {
	return "TCP stack: " + e.Operation + ": " + e.Cause
}

// KeepAlive says how a silent caller is told from an idle one.
type KeepAlive struct {
	Idle     time.Duration `yaml:"idle"`
	Interval time.Duration `yaml:"interval"`
	Count    int           `yaml:"count"`
}

// Bound is how long a vanished peer goes unnoticed at most, in both directions.
func (k KeepAlive) Bound() time.Duration {
	return k.Idle + time.Duration(k.Count)*k.Interval
}

// Failed reports that a connection ended by an error: an RST, or a peer that stopped answering.
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

// New makes a stack with an address; its connections keep alive as told.
func New(address [4]byte, keepAlive KeepAlive) (*Stack, error) {
	s := &Stack{
		link: channel.New(outgoingPackets, interfaceMTU, ""),
		stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
		}),
		keepAlive: keepAlive,
	}
	return s, s.configure(address)
}

func (s *Stack) configure(address [4]byte) error {
	sack := tcpip.TCPSACKEnabled(true)
	wait := tcpip.TCPTimeWaitTimeoutOption(timeWait)
	receive := tcpip.TCPReceiveBufferSizeRangeOption{Min: 4 << 10, Default: receiveBufferBytes, Max: receiveBufferBytes}
	for _, o := range []tcpip.SettableTransportProtocolOption{&sack, &wait, &receive} {
		if err := s.stack.SetTransportProtocolOption(tcp.ProtocolNumber, o); err != nil {
			return errors.WithStack(&StackError{Operation: "set option", Cause: err.String()})
		}
	}
	if err := s.stack.CreateNIC(interfaceID, s.link); err != nil {
		return errors.WithStack(&StackError{Operation: "create interface", Cause: err.String()})
	}
	own := tcpip.ProtocolAddress{
		Protocol:          ipv4.ProtocolNumber,
		AddressWithPrefix: tcpip.AddrFrom4(address).WithPrefix(),
	}
	if err := s.stack.AddProtocolAddress(interfaceID, own, stack.AddressProperties{}); err != nil {
		return errors.WithStack(&StackError{Operation: "add address", Cause: err.String()})
	}
	s.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: interfaceID}})
	return nil
}

// Listen makes the stack accept connections to an address of its own.
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

// Inject hands a packet to the stack; the stack keeps a copy.
func (s *Stack) Inject(packet []byte) {
	p := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	s.link.InjectInbound(ipv4.ProtocolNumber, p)
	p.DecRef()
}

// Next waits for a packet that the stack sends; it returns nil when ctx ended.
func (s *Stack) Next(ctx context.Context) []byte {
	p := s.link.ReadContext(ctx)
	if p == nil {
		return nil
	}
	defer p.DecRef()
	b := p.ToBuffer()
	return b.Flatten()
}

// Accept waits for an opened connection.
func (s *Stack) Accept(ctx context.Context) (net.Conn, tcpip.Endpoint, error) {
	entry, ready := waiter.NewChannelEntry(waiter.ReadableEvents)
	s.waiters.EventRegister(&entry)
	defer s.waiters.EventUnregister(&entry)
	for {
		e, queue, err := s.listener.Accept(nil)
		if err == nil {
			s.keep(e)
			return gonet.NewTCPConn(queue, e), e, nil
		}
		if _, again := err.(*tcpip.ErrWouldBlock); !again {
			return nil, nil, errors.WithStack(&StackError{Operation: "accept", Cause: err.String()})
		}
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-ready:
		}
	}
}

// Dial opens a connection to a service.
func (s *Stack) Dial(ctx context.Context, to gue.Endpoint) (*gonet.TCPConn, error) {
	remote := tcpip.FullAddress{NIC: interfaceID, Addr: tcpip.AddrFrom4(to.Address), Port: to.Port}
	c, err := gonet.DialContextTCP(ctx, s.stack, remote, ipv4.ProtocolNumber)
	if err != nil {
		return nil, errors.WithStack(&StackError{Operation: "dial", Cause: err.Error()})
	}
	return c, nil
}

// SetKeepAlive changes how connections accepted from now on are kept alive. Call it before the first.
func (s *Stack) SetKeepAlive(k KeepAlive) {
	s.keepAlive = k
}

func (s *Stack) keep(e tcpip.Endpoint) {
	idle := tcpip.KeepaliveIdleOption(s.keepAlive.Idle)
	interval := tcpip.KeepaliveIntervalOption(s.keepAlive.Interval)
	unanswered := tcpip.TCPUserTimeoutOption(s.keepAlive.Bound())
	_ = e.SetSockOpt(&unanswered)
	_ = e.SetSockOpt(&idle)
	_ = e.SetSockOpt(&interval)
	_ = e.SetSockOptInt(tcpip.KeepaliveCountOption, s.keepAlive.Count)
	e.SocketOptions().SetKeepAlive(true)
}
