package target

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
)

func newDispatcher(t *testing.T, base string, slots, queue int) *Dispatcher {
	t.Helper()
	u, err := url.Parse(base)
	require.NoError(t, err)
	return &Dispatcher{
		Target:   u,
		Slots:    &Slots{Instance: "own", Count: slots, Queue: queue},
		Counters: NewCounters(metrics.NewSet()),
		Logger:   slog.New(slog.DiscardHandler),
	}
}

func newRequest(t *testing.T, timeout time.Duration) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://service/run", strings.NewReader("body"))
	require.NoError(t, err)
	if timeout > 0 {
		r.Header.Set(TimeoutHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	return r
}

func decodeProblem(t *testing.T, r *http.Response) Problem {
	t.Helper()
	var p Problem
	require.NoError(t, json.NewDecoder(r.Body).Decode(&p))
	require.NoError(t, r.Body.Close())
	return p
}

func TestUnreachableTargetIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	d := newDispatcher(t, "http://"+l.Addr().String(), 1, 1)
	p := decodeProblem(t, d.Serve(context.Background(), newRequest(t, 0)))
	require.Equal(t, Problem{Type: ProblemNotRun, Title: p.Title, Status: 503, Reason: ReasonTargetUnreachable}, p)
	require.True(t, d.Slots.TryAcquire(time.Now(), false), "the slot is free again")
}

// TestLostResponseIsUnknown has the target close the connection after it received the request. Such a request may have
// run and must not be reported as not run.
func TestLostResponseIsUnknown(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(s.Close)
	d := newDispatcher(t, s.URL, 1, 1)
	p := decodeProblem(t, d.Serve(context.Background(), newRequest(t, 0)))
	require.Equal(t, ProblemUnknown, p.Type)
	require.Equal(t, ReasonTargetFailed, p.Reason)
}

// TestWaitingRequestsAreNotRun checks that requests which get no slot are reported with the right reason and never run:
// at their deadline, when cancelled, when the queue is full, and after RefuseNew.
func TestWaitingRequestsAreNotRun(t *testing.T) {
	var runs atomic.Int64
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		<-release
	}))
	t.Cleanup(s.Close)
	d := newDispatcher(t, s.URL, 1, 1)
	first := make(chan *http.Response, 1)
	go func() { first <- d.Serve(context.Background(), newRequest(t, 0)) }()
	require.Eventually(t, func() bool { return runs.Load() == 1 }, 5*time.Second, time.Millisecond)

	require.Equal(t, ReasonDeadline, decodeProblem(t, d.Serve(context.Background(), newRequest(t, 30*time.Millisecond))).Reason)
	ctx, cancel := context.WithCancel(context.Background())
	waiting := make(chan *http.Response, 1)
	go func() { waiting <- d.Serve(ctx, newRequest(t, 0)) }()
	require.Eventually(t, func() bool { return d.Slots.Load(time.Now()).Waiting == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, ReasonQueueFull, decodeProblem(t, d.Serve(context.Background(), newRequest(t, 0))).Reason)
	cancel()
	require.Equal(t, ReasonCancelled, decodeProblem(t, <-waiting).Reason)
	require.Zero(t, d.Slots.Load(time.Now()).Waiting, "a cancelled request frees its place")
	d.RefuseNew()
	require.Equal(t, ReasonDraining, decodeProblem(t, d.Serve(context.Background(), newRequest(t, 0))).Reason)
	close(release)
	require.NoError(t, (<-first).Body.Close())
	require.Equal(t, int64(1), runs.Load())
}

// TestSlotsAreNeverExceeded sends many concurrent requests through a few slots.
func TestSlotsAreNeverExceeded(t *testing.T) {
	const slots, requests = 3, 60
	var active, maxActive atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := active.Add(1)
		defer active.Add(-1)
		for old := maxActive.Load(); n > old && !maxActive.CompareAndSwap(old, n); old = maxActive.Load() {
		}
		time.Sleep(2 * time.Millisecond)
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(s.Close)
	d := newDispatcher(t, s.URL, slots, requests)
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			response := d.Serve(context.Background(), newRequest(t, 0))
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		})
	}
	group.Wait()
	require.LessOrEqual(t, maxActive.Load(), int64(slots))
	require.Equal(t, uint64(requests), d.Counters.Answered.Get())
}

// TestRemainingTimeIsPassedOn checks that the target receives the time that the caller still waits.
func TestRemainingTimeIsPassedOn(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(TimeoutHeader))
	}))
	t.Cleanup(s.Close)
	response := newDispatcher(t, s.URL, 1, 1).Serve(context.Background(), newRequest(t, time.Minute))
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	remaining, err := strconv.Atoi(string(text))
	require.NoError(t, err)
	require.Positive(t, remaining)
	require.LessOrEqual(t, remaining, 60000)
}

// TestRetiredAgentRefusesHandOver checks that an agent refuses handed-over requests after Retire, and that AwaitIdle
// waits for those that it took before.
func TestRetiredAgentRefusesHandOver(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(s.Close)
	d := newDispatcher(t, s.URL, 2, 1)
	always := func() bool { return true }
	handedOver := make(chan *http.Response, 1)
	go func() {
		response, _ := d.ServeHandedOver(context.Background(), newRequest(t, 0), always)
		handedOver <- response
	}()
	require.Eventually(t, func() bool { return d.Load(time.Now()).Busy == 1 }, 5*time.Second, time.Millisecond)
	d.Retire()
	require.Zero(t, d.Load(time.Now()).FreeSlots())
	_, ran := d.ServeHandedOver(context.Background(), newRequest(t, 0), always)
	require.False(t, ran)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.False(t, d.AwaitIdle(ctx))
	close(release)
	require.NoError(t, (<-handedOver).Body.Close())
	require.True(t, d.AwaitIdle(context.Background()))
}

// TestLongRequestsLeaveSlots checks that long requests hold at most half of the slots and that short ones pass those
// that wait. Without the limit, long requests could occupy every slot.
func TestLongRequestsLeaveSlots(t *testing.T) {
	s := &Slots{Count: 4, Queue: 10}
	now := time.Unix(1000, 0)
	require.True(t, s.TryAcquire(now, true))
	require.True(t, s.TryAcquire(now, true))
	require.False(t, s.TryAcquire(now, true))
	waiting := make(chan Reason, 1)
	go func() { waiting <- s.Acquire(context.Background(), true, false, func() bool { return false }) }()
	require.Eventually(t, func() bool { return s.Load(now).Waiting == 1 }, 5*time.Second, time.Millisecond)
	require.True(t, s.TryAcquire(now, false), "a short request passes a long one that waits")
	require.True(t, s.TryAcquire(now, false))
	s.Release("POST /run", time.Millisecond, false)
	require.Equal(t, 1, s.Load(now).Waiting, "a slot for short requests is not given to a long one")
	s.Release("POST /batch", time.Second, true)
	require.Equal(t, Reason(""), <-waiting)
}
