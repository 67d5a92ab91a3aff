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

// fakeRunner counts the requests that it runs. Its flags make it refuse, delay or corrupt them.
type fakeRunner struct {
	runs atomic.Int64
	// full refuses every request, as an agent without a free slot does.
	full atomic.Bool
	// truncate makes every response end before its announced length.
	truncate atomic.Bool
	// forgeNotRun sets OutcomeHeader to notRun in the target's response, although the request ran.
	forgeNotRun atomic.Bool
	// block delays every request until it is closed; nil delays none.
	block chan struct{}
}

// truncatedBody fails before the announced length has been read.
type truncatedBody struct{}

func (truncatedBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
func (truncatedBody) Close() error             { return nil }

func (r *fakeRunner) ServeHandedOver(_ context.Context, request *http.Request, tryStart func() bool) (*http.Response, bool) {
	if r.block != nil {
		<-r.block
	}
	if r.full.Load() || !tryStart() {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, false
	}
	r.runs.Add(1)
	body, _ := io.ReadAll(request.Body)
	response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(string(body)))}
	if r.forgeNotRun.Load() {
		response.Header.Set(OutcomeHeader, notRunValue)
	}
	if r.truncate.Load() {
		response.Body = truncatedBody{}
		response.Header.Set("Content-Length", "100")
	}
	return response, true
}

// peerAgent is an agent that takes handed-over requests.
type peerAgent struct {
	runner   fakeRunner
	registry Registry
	server   *httptest.Server
	// loseControl fails every control call, as if its message were lost.
	loseControl atomic.Bool
}

func (a *peerAgent) Call(ctx context.Context, _ netip.AddrPort, _ string, params, result any) error {
	if a.loseControl.Load() {
		return context.DeadlineExceeded
	}
	reply, err := a.registry.HandleCancel(ctx, params.(CancelRequest))
	*result.(*CancelReply) = reply
	return err
}

func newPeerAgent(t *testing.T) *peerAgent {
	t.Helper()
	a := &peerAgent{}
	a.server = httptest.NewServer(&Server{Runner: &a.runner, Registry: &a.registry})
	t.Cleanup(a.server.Close)
	return a
}

func (a *peerAgent) newHandOver() (*HandOver, Peer) {
	h := &HandOver{
		Instance:       "own",
		Policy:         placement.IdlePolicy{},
		Loads:          &Loads{},
		ControlAddress: func(string) (netip.AddrPort, bool) { return netip.MustParseAddrPort("127.0.0.1:1"), true },
		Control:        a,
		Counters:       NewCounters(metrics.NewSet()),
		Logger:         slog.New(slog.DiscardHandler),
	}
	address := a.server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return h, Peer{Load: placement.Load{Instance: "other", Slots: 4}, Requests: address}
}

func newPost(t *testing.T) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://service/run", http.NoBody)
	require.NoError(t, err)
	return r
}

func TestHandOverIsAnswered(t *testing.T) {
	a := newPeerAgent(t)
	h, to := a.newHandOver()
	response, outcome := h.Run(context.Background(), newPost(t), []byte("body"), to)
	require.Equal(t, OutcomeAnswered, outcome)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "body", string(body))
	require.Equal(t, int64(1), a.runner.runs.Load())
}

func TestFullAgentRunsNothing(t *testing.T) {
	a := newPeerAgent(t)
	a.runner.full.Store(true)
	h, to := a.newHandOver()
	_, outcome := h.Run(context.Background(), newPost(t), nil, to)
	require.Equal(t, OutcomeNotRun, outcome)
	require.Zero(t, a.runner.runs.Load())
}

// TestTargetCannotClaimNotRun guards against a target that sets OutcomeHeader itself. If the header were passed on, a
// request that ran would be taken for one that did not, and would run a second time.
func TestTargetCannotClaimNotRun(t *testing.T) {
	a := newPeerAgent(t)
	a.runner.forgeNotRun.Store(true)
	h, to := a.newHandOver()
	_, outcome := h.Run(context.Background(), newPost(t), nil, to)
	require.Equal(t, OutcomeAnswered, outcome)
	require.Equal(t, int64(1), a.runner.runs.Load())
}

// TestTruncatedResponseReachesReader checks that a response that the other agent can't complete is not taken for a
// complete one.
func TestTruncatedResponseReachesReader(t *testing.T) {
	a := newPeerAgent(t)
	a.runner.truncate.Store(true)
	h, to := a.newHandOver()
	response, outcome := h.Run(context.Background(), newPost(t), nil, to)
	if outcome == OutcomeAnswered {
		_, err := io.ReadAll(response.Body)
		require.Error(t, err)
		return
	}
	require.Equal(t, OutcomeUnknown, outcome)
}

// TestCancelAfterLostResponse loses the response of a request that is still waiting at the other agent. The cancel must
// stop it from starting there later, because it may now run here.
func TestCancelAfterLostResponse(t *testing.T) {
	a := newPeerAgent(t)
	a.runner.block = make(chan struct{})
	h, to := a.newHandOver()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, outcome := h.Run(ctx, newPost(t), nil, to)
	require.Equal(t, OutcomeNotRun, outcome)
	close(a.runner.block)
	a.server.Close()
	require.Zero(t, a.runner.runs.Load(), "the request ran after it was reported as not run")
}

// TestUnansweredCancelIsUnknown loses both the response and the cancel call: the request may have run.
func TestUnansweredCancelIsUnknown(t *testing.T) {
	a := newPeerAgent(t)
	a.runner.block = make(chan struct{})
	a.loseControl.Store(true)
	h, to := a.newHandOver()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, outcome := h.Run(ctx, newPost(t), nil, to)
	require.Equal(t, OutcomeUnknown, outcome)
	close(a.runner.block)
}

// TestGoneAgentRunsNothing hands a request over to an address that refuses connections. Nothing can have run there, so
// the outcome is certain although no cancel call would get through.
func TestGoneAgentRunsNothing(t *testing.T) {
	a := newPeerAgent(t)
	a.loseControl.Store(true)
	h, to := a.newHandOver()
	a.server.Close()
	_, outcome := h.Run(context.Background(), newPost(t), nil, to)
	require.Equal(t, OutcomeNotRun, outcome)
}

// TestRegistryKeepsFirstDecision checks that a request starts at most once and that a cancelled request never starts.
func TestRegistryKeepsFirstDecision(t *testing.T) {
	var r Registry
	now := time.Unix(1000, 0)
	require.True(t, r.TryStart(now, "a"))
	require.False(t, r.TryStart(now, "a"), "a request must not start twice")
	require.True(t, r.Cancel(now, "a"))
	require.False(t, r.Cancel(now, "b"))
	require.False(t, r.TryStart(now, "b"), "a cancelled request must not start")
	require.False(t, r.TryStart(now.Add(retention/2), "b"))
}

func TestLoadsExpireAndCountHandOvers(t *testing.T) {
	var l Loads
	now := time.Unix(1000, 0)
	l.Update(now, Peer{Load: placement.Load{Instance: "a", Slots: 2}})
	l.AddBusy("a")
	require.Equal(t, 1, l.Fresh(now)[0].Load.Busy)
	l.AddBusy("stranger")
	require.Len(t, l.Fresh(now.Add(LoadTTL)), 1)
	require.Empty(t, l.Fresh(now.Add(LoadTTL+time.Millisecond)))
}
