// Package peer implements the control protocol between instances: JSON-RPC 2.0 over TCP, and the gossip that replicates
// facts between them.
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

// CallError reports a failed call. Refused is set if the peer's address refused the connection, which means that no
// process listens there.
type CallError struct {
	Peer    netip.AddrPort
	Method  string
	Refused bool
	Cause   error
}

// Error implements the error interface.
func (e *CallError) Error() string {
	return "call " + e.Method + " at " + e.Peer.String() + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error {
	return e.Cause
}

// Route maps the control address To of an instance to the address Via that is dialled instead, such as a relay between
// data centres.
type Route struct {
	To  netip.AddrPort `yaml:"to"`
	Via netip.AddrPort `yaml:"via"`
}

// Pool maintains one connection per peer. The zero value is ready to use.
type Pool struct {
	// Routes lists the peers that are dialled at another address than their own.
	Routes []Route
	// Logger receives messages of the JSON-RPC library. It may be nil.
	Logger *slog.Logger

	mutex   sync.Mutex
	clients map[netip.AddrPort]*client
}

// client holds the connection to one peer, which is opened by the first call.
type client struct {
	mutex sync.Mutex
	conn  *jsonrpc2.Conn
}

// Call sends a request to a peer and decodes its reply into result. Errors are of type *CallError.
func (p *Pool) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	c := p.client(to)
	conn, err := c.connect(ctx, p, to)
	if err != nil {
		return errors.WithStack(&CallError{Peer: to, Method: method, Refused: errors.Is(err, syscall.ECONNREFUSED), Cause: err})
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		if errors.Is(err, jsonrpc2.ErrClosed) || errors.Is(err, context.DeadlineExceeded) {
			c.discard(conn)
		}
		return errors.WithStack(&CallError{Peer: to, Method: method, Cause: err})
	}
	return nil
}

// Notify sends a notification to a peer, which does not reply to it. Errors are of type *CallError.
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

// Close closes all connections.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.clients {
		c.close()
	}
	p.clients = nil
}

// dialAddress returns the address to dial for a peer.
func (p *Pool) dialAddress(to netip.AddrPort) netip.AddrPort {
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

// connect returns the open connection, or dials a new one if there is none.
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
	socket, err := dialer.DialContext(ctx, "tcp4", p.dialAddress(to).String())
	if err != nil {
		return nil, err
	}
	// The connection outlives the call that opens it.
	c.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(countingConn{socket}), rejectingHandler{}, jsonrpc2.SetLogger(protocolLogger{p.Logger}))
	return c.conn, nil
}

// discard removes a connection that is closed or on which a call timed out. The next call opens a new one.
func (c *client) discard(conn *jsonrpc2.Conn) {
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

// rejectingHandler handles requests that a peer sends over an outgoing connection.
type rejectingHandler struct{}

// Handle rejects every request with a "method not found" error.
func (rejectingHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if !r.Notif {
		_ = conn.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method})
	}
}
