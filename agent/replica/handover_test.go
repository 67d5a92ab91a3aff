package replica

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

// runner counts what it runs.
type runner struct {
	runs   atomic.Int64
	full   atomic.Bool
	cut    atomic.Bool
	forged atomic.Bool
	before chan struct{}
}

// cutBody breaks off in the middle of an answer.
type cutBody struct{}

func (cutBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
func (cutBody) Close() error             { return nil }

func (r *runner) ServeHandedOver(_ context.Context, q *http.Request, started func() bool) (*http.Response, bool) {
	if r.before != nil {
		<-r.before
	}
	if r.full.Load() || !started() {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, false
	}
	r.runs.Add(1)
	body, _ := io.ReadAll(q.Body)
	response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(string(body)))}
	if r.forged.Load() {
		response.Header.Set(OutcomeHeader, outcomeNotRun)
	}
	if r.cut.Load() {
		response.Body = cutBody{}
		response.Header.Set("Content-Length", "100")
	}
	return response, true
}

// other is an agent that requests are handed to; its control messages may be lost.
type other struct {
	runner   runner
	registry Registry
	server   *httptest.Server
	mute     atomic.Bool
}

func (o *other) Call(ctx context.Context, _ netip.AddrPort, _ string, params, result any) error {
	if o.mute.Load() {
		return context.DeadlineExceeded
	}
	reply, err := o.registry.Answer(ctx, params.(CancelRequest))
	*result.(*CancelReply) = reply
	return err
}

func newOther(t *testing.T) *other {
	t.Helper()
	o := &other{}
	o.server = httptest.NewServer(&Server{Runner: &o.runner, Registry: &o.registry})
	t.Cleanup(o.server.Close)
	return o
}

func (o *other) handOver() (*HandOver, Peer) {
	h := &HandOver{
		Instance: "own",
		Policy:   placement.IdlePolicy{},
		Loads:    &Loads{},
		Controls: func(string) (netip.AddrPort, bool) { return netip.MustParseAddrPort("127.0.0.1:1"), true },
		Caller:   o,
		Counters: NewCounters(metrics.NewSet()),
		Logger:   slog.New(slog.DiscardHandler),
	}
	address := o.server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return h, Peer{Load: placement.Load{Instance: "other", Slots: 4}, Requests: address}
}

func newPost(t *testing.T) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://service/run", http.NoBody)
	require.NoError(t, err)
	return r
}

func TestHandOverIsAnswered(t *testing.T) {
	o := newOther(t)
	h, to := o.handOver()
	response, verdict := h.Run(context.Background(), newPost(t), []byte("body"), to)
	require.Equal(t, VerdictAnswered, verdict)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "body", string(body))
	require.Equal(t, int64(1), o.runner.runs.Load())
}

func TestFullAgentRunsNothing(t *testing.T) {
	o := newOther(t)
	o.runner.full.Store(true)
	h, to := o.handOver()
	_, verdict := h.Run(context.Background(), newPost(t), nil, to)
	require.Equal(t, VerdictStay, verdict)
	require.Zero(t, o.runner.runs.Load())
}

// TestTargetCannotClaimNotRun has a target answer with the agents' own header: its request ran and must not run again.
func TestTargetCannotClaimNotRun(t *testing.T) {
	o := newOther(t)
	o.runner.forged.Store(true)
	h, to := o.handOver()
	_, verdict := h.Run(context.Background(), newPost(t), nil, to)
	require.Equal(t, VerdictAnswered, verdict)
	require.Equal(t, int64(1), o.runner.runs.Load())
}

func TestCutAnswerReachesTheReader(t *testing.T) {
	o := newOther(t)
	o.runner.cut.Store(true)
	h, to := o.handOver()
	response, verdict := h.Run(context.Background(), newPost(t), nil, to)
	if verdict == VerdictAnswered {
		_, err := io.ReadAll(response.Body)
		require.Error(t, err)
		return
	}
	require.Equal(t, VerdictUnknown, verdict)
}

// TestLostAnswerIsSettled loses the answer of a request that did not start yet: it never will, and may run here.
func TestLostAnswerIsSettled(t *testing.T) {
	o := newOther(t)
	o.runner.before = make(chan struct{})
	h, to := o.handOver()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, verdict := h.Run(ctx, newPost(t), nil, to)
	require.Equal(t, VerdictStay, verdict)
	close(o.runner.before)
	o.server.Close()
	require.Zero(t, o.runner.runs.Load(), "a request ran after it was settled as not run")
}

// TestUnsettledIsUnknown loses both the answer and the question what became of it.
func TestUnsettledIsUnknown(t *testing.T) {
	o := newOther(t)
	o.runner.before = make(chan struct{})
	o.mute.Store(true)
	h, to := o.handOver()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, verdict := h.Run(ctx, newPost(t), nil, to)
	require.Equal(t, VerdictUnknown, verdict)
	close(o.runner.before)
}

// TestGoneAgentRunsNothing hands over to an address where no process listens, nor answers control messages.
func TestGoneAgentRunsNothing(t *testing.T) {
	o := newOther(t)
	o.mute.Store(true)
	h, to := o.handOver()
	o.server.Close()
	_, verdict := h.Run(context.Background(), newPost(t), nil, to)
	require.Equal(t, VerdictStay, verdict)
}

func TestRegistryKeepsTheFirstFate(t *testing.T) {
	var r Registry
	now := time.Unix(1000, 0)
	require.True(t, r.Start(now, "a"))
	require.False(t, r.Start(now, "a"), "a repeated request must not start again")
	require.True(t, r.Cancel(now, "a"))
	require.False(t, r.Cancel(now, "b"))
	require.False(t, r.Start(now, "b"), "a cancelled request must not start")
	require.False(t, r.Start(now.Add(rememberTime/2), "b"))
}

func TestLoadsAgeAndCount(t *testing.T) {
	var l Loads
	now := time.Unix(1000, 0)
	l.Note(now, Peer{Load: placement.Load{Instance: "a", Slots: 2}})
	l.Sent("a")
	require.Equal(t, 1, l.Fresh(now)[0].Load.Busy)
	l.Sent("stranger")
	require.Len(t, l.Fresh(now.Add(FreshTime)), 1)
	require.Empty(t, l.Fresh(now.Add(FreshTime+time.Millisecond)))
}
