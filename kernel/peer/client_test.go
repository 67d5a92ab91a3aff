package peer

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

const testTimeout = 10 * time.Second

// blackholeProxy forwards TCP connections. After an increase of generation, it silently drops the data of the
// connections that are already open, like a middlebox that has lost its connection state.
type blackholeProxy struct {
	listener   net.Listener
	to         string
	generation atomic.Int64
}

func (b *blackholeProxy) run() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp4", b.to)
		if err != nil {
			return
		}
		generation := b.generation.Load()
		go (&proxyDirection{proxy: b, generation: generation, from: c, to: upstream}).run()
		go (&proxyDirection{proxy: b, generation: generation, from: upstream, to: c}).run()
	}
}

// proxyDirection copies the data of one direction of a proxied connection.
type proxyDirection struct {
	proxy      *blackholeProxy
	generation int64
	from, to   net.Conn
}

func (d *proxyDirection) run() {
	b := make([]byte, 4096)
	for {
		n, err := d.from.Read(b)
		if err != nil {
			return
		}
		if d.proxy.generation.Load() == d.generation {
			_, _ = d.to.Write(b[:n])
		}
	}
}

func startEchoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &Server{
		Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Handlers: map[string]Handler{
			"echo": func(_ context.Context, p json.RawMessage) (any, error) { return p, nil },
		},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	require.NoError(t, s.Start(ctx))
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestSilentConnectionIsReplaced checks that the pool opens a new connection after a call on the old one timed out.
// Otherwise a connection whose packets a middlebox drops would never be replaced, because it is not closed.
func TestSilentConnectionIsReplaced(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	proxy := &blackholeProxy{listener: l, to: startEchoServer(t).String()}
	go proxy.run()
	to := l.Addr().(*net.TCPAddr).AddrPort()

	var p Pool
	t.Cleanup(p.Close)
	call := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		var reply string
		return p.Call(ctx, to, "echo", "hello", &reply)
	}
	require.NoError(t, call(testTimeout))
	proxy.generation.Add(1)
	require.Error(t, call(200*time.Millisecond))
	require.NoError(t, call(testTimeout))
}

// TestRefusedConnectionIsReported checks that callers can distinguish a refused connection from a call without a reply.
func TestRefusedConnectionIsReported(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	to := l.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, l.Close())
	var p Pool
	var failure *CallError
	err = p.Call(context.Background(), to, "echo", "hello", new(string))
	require.True(t, errors.As(err, &failure))
	require.True(t, failure.Refused)
}

// TestPoolDialsThroughRoute checks that the pool dials the relay of a peer that has a route.
func TestPoolDialsThroughRoute(t *testing.T) {
	to := netip.MustParseAddrPort("127.0.0.1:1")
	p := Pool{Routes: []Route{{To: to, Via: startEchoServer(t)}}}
	t.Cleanup(p.Close)
	var reply string
	require.NoError(t, p.Call(context.Background(), to, "echo", "hello", &reply))
	require.Equal(t, "hello", reply)
}

// A message that makes a handler panic must fail for its sender and not end the process.
func TestPanicOfHandlerFailsTheCall(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, l.Close())
	logger := slog.New(slog.DiscardHandler)
	server := &Server{Address: address, Logger: logger, Handlers: map[string]Handler{
		"bad":  func(context.Context, json.RawMessage) (any, error) { panic("no member") },
		"good": func(context.Context, json.RawMessage) (any, error) { return 7, nil },
	}}
	require.NoError(t, server.Start(ctx))
	pool := &Pool{Logger: logger}
	defer pool.Close()
	var result int
	var failed *CallError
	require.ErrorAs(t, pool.Call(ctx, address, "bad", nil, &result), &failed)
	require.NoError(t, pool.Call(ctx, address, "good", nil, &result))
	require.Equal(t, 7, result)
}
