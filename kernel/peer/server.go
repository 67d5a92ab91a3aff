package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/process"
)

// acceptRetryDelay is the pause after a connection could not be accepted.
const acceptRetryDelay = 100 * time.Millisecond

// Handler handles the requests of one method. Its result is encoded as JSON.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Handle adapts a typed function to a Handler. Params that can't be decoded are rejected with an "invalid params"
// error.
func Handle[P, R any](f func(context.Context, P) (R, error)) Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, params)
	}
}

// Server serves JSON-RPC requests over TCP. Set the exported fields before calling Start.
type Server struct {
	Address  netip.AddrPort
	Handlers map[string]Handler
	Logger   *slog.Logger

	listener net.Listener
}

// Start listens on Address and serves requests until ctx is cancelled.
func (s *Server) Start(ctx context.Context) error {
	l, err := net.Listen("tcp4", s.Address.String())
	if err != nil {
		return errors.WithStack(&process.ListenError{Address: s.Address.String(), Cause: err})
	}
	s.listener = l
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go s.acceptLoop(ctx)
	return nil
}

// acceptLoop accepts connections until ctx is cancelled or the listener is closed.
func (s *Server) acceptLoop(ctx context.Context) {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			// Some errors are temporary, such as a lack of descriptors.
			events.PeerListenFailed.Log(s.Logger, events.ErrorAttr(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(countingConn{socket}), jsonrpc2.AsyncHandler(s), jsonrpc2.SetLogger(protocolLogger{s.Logger}))
		context.AfterFunc(ctx, func() { _ = conn.Close() })
	}
}

// Handle implements jsonrpc2.Handler.
func (s *Server) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	jsonrpc2.HandlerWithError(s.dispatch).SuppressErrClosed().Handle(ctx, conn, r)
}

// dispatch calls the handler of the request's method.
func (s *Server) dispatch(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	h, ok := s.Handlers[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	params := json.RawMessage("null")
	if r.Params != nil {
		params = *r.Params
	}
	return s.call(ctx, h, params)
}

// call calls a handler. If that panics, the caller gets an error.
func (s *Server) call(ctx context.Context, h Handler, params json.RawMessage) (result any, err error) {
	err = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "handler failed"}
	defer events.RecoverInput(s.Logger, "message")
	return h(ctx, params)
}

// protocolLogger forwards log messages of the JSON-RPC library to the event log.
type protocolLogger struct{ logger *slog.Logger }

// Printf logs one message. It implements jsonrpc2.Logger.
func (l protocolLogger) Printf(format string, v ...any) {
	if l.logger != nil {
		events.PeerProtocol.Log(l.logger, slog.String("text", strings.TrimSpace(fmt.Sprintf(format, v...))))
	}
}
