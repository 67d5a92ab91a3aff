// Package peer carries control messages between the system's instances: JSON-RPC 2.0 over TCP.
package peer

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const dialTimeout = time.Second

// CallError reports a call that gave no result. Gone means that the peer's address refused the connection,
// so that no process is there.
type CallError struct {
	Peer   netip.AddrPort
	Method string
	Gone   bool
	Cause  error
}

// Error names the peer and the method.
func (e *CallError) Error() string {
	return "call " + e.Method + " at " + e.Peer.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Cause
}

// Route says that an instance's control address is reached at another address, such as a relay between data centres.
type Route struct {
	To  netip.AddrPort `yaml:"to"`
	Via netip.AddrPort `yaml:"via"`
}

// Pool keeps one connection a peer. The zero value is ready to use.
type Pool struct {
	// Routes are the peers that are not reached at their own addresses.
	Routes []Route
	// Logger takes what happens to connections; nil logs nothing.
	Logger *slog.Logger

	mutex   sync.Mutex
	clients map[netip.AddrPort]*client
}

type client struct {
	mutex sync.Mutex
	conn  *jsonrpc2.Conn
}

// Call sends a request to a peer and decodes its result; errors are CallError.
func (p *Pool) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	c := p.client(to)
	conn, err := c.connect(ctx, p, to)
	if err != nil {
		return errors.WithStack(&CallError{Peer: to, Method: method, Gone: errors.Is(err, syscall.ECONNREFUSED), Cause: err})
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		if errors.Is(err, jsonrpc2.ErrClosed) || errors.Is(err, context.DeadlineExceeded) {
			c.forget(conn)
		}
		return errors.WithStack(&CallError{Peer: to, Method: method, Cause: err})
	}
	return nil
}

// Notify sends a notification to a peer; errors are CallError.
func (p *Pool) Notify(ctx context.Context, to netip.AddrPort, method string, params any) error {
	c := p.client(to)
	conn, err := c.connect(ctx, p, to)
	if err == nil {
		err = conn.Notify(ctx, method, params)
	}
	if err != nil {
		return errors.WithStack(&CallError{Peer: to, Method: method, Cause: err})
	}
	return nil
}

// Close ends every connection.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.clients {
		c.close()
	}
	p.clients = nil
}

func (p *Pool) via(to netip.AddrPort) netip.AddrPort {
	for _, r := range p.Routes {
		if r.To == to {
			return r.Via
		}
	}
	return to
}

func (p *Pool) client(to netip.AddrPort) *client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.clients == nil {
		p.clients = make(map[netip.AddrPort]*client)
	}
	c, ok := p.clients[to]
	if !ok {
		c = &client{}
		p.clients[to] = c
	}
	return c
}

func (c *client) connect(ctx context.Context, p *Pool, to netip.AddrPort) (*jsonrpc2.Conn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
		default:
			return c.conn, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp4", p.via(to).String())
	if err != nil {
		return nil, err
	}
	c.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(countedConn{socket}), noRequests{}, jsonrpc2.SetLogger(protocolLogger{p.Logger}))
	return c.conn, nil
}

// forget gives up a connection that is closed or silent; the next call opens another.
func (c *client) forget(conn *jsonrpc2.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn == conn {
		_ = conn.Close()
		c.conn = nil
	}
}

func (c *client) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// noRequests answers a peer that sends requests over a connection made for ours.
type noRequests struct{}

// Handle refuses every request.
func (noRequests) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !r.Notif {
		_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method})
	}
}
