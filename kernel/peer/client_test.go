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

// box passes TCP connections on; Forget makes it swallow what the open ones send, as a middle box that lost track.
type box struct {
	listener net.Listener
	to       string
	era      atomic.Int64
}

func (b *box) run() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp4", b.to)
		if err != nil {
			return
		}
		era := b.era.Load()
		go (&half{box: b, era: era, from: c, to: upstream}).run()
		go (&half{box: b, era: era, from: upstream, to: c}).run()
	}
}

type half struct {
	box      *box
	era      int64
	from, to net.Conn
}

func (h *half) run() {
	b := make([]byte, 4096)
	for {
		n, err := h.from.Read(b)
		if err != nil {
			return
		}
		if h.box.era.Load() == h.era {
			_, _ = h.to.Write(b[:n])
		}
	}
}

func startEcho(t *testing.T) netip.AddrPort {
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

// TestSilentConnectionIsReplaced checks that a control connection that went silent does not stay in use.
func TestSilentConnectionIsReplaced(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	b := &box{listener: l, to: startEcho(t).String()}
	go b.run()
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
	b.era.Add(1)
	require.Error(t, call(200*time.Millisecond))
	require.NoError(t, call(testTimeout))
}

// TestGonePeerIsTold checks that a refused connection is told from one that gets no answer.
func TestGonePeerIsTold(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	to := l.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, l.Close())
	var p Pool
	var failure *CallError
	err = p.Call(context.Background(), to, "echo", "hello", new(string))
	require.True(t, errors.As(err, &failure))
	require.True(t, failure.Gone)
}

// TestPoolTakesTheGivenRoute checks that a peer behind a relay is reached through it.
func TestPoolTakesTheGivenRoute(t *testing.T) {
	to := netip.MustParseAddrPort("127.0.0.1:1")
	p := Pool{Routes: []Route{{To: to, Via: startEcho(t)}}}
	t.Cleanup(p.Close)
	var reply string
	require.NoError(t, p.Call(context.Background(), to, "echo", "hello", &reply))
	require.Equal(t, "hello", reply)
}
