package target

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coltsfootline/coltsfootline/agent/replica"
	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

// TimeoutHeader carries how many milliseconds the caller still waits for its answer.
const TimeoutHeader = "Request-Timeout-Ms"

const (
	dialTimeout       = time.Second
	idlePause         = 10 * time.Millisecond
	retryAfterDefault = time.Second
)

// hopHeaders concern one connection only (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Dispatcher gives requests to one target. Set the exported fields before use.
type Dispatcher struct {
	Target *url.URL
	Slots  *Slots
	// HandOver finds other agents to run requests; nil keeps every request here.
	HandOver *replica.HandOver
	Counters *Counters
	Logger   *slog.Logger

	retiring  atomic.Bool
	refusing  atomic.Bool
	setUp     sync.Once
	transport *http.Transport
}

// Counters counts requests by outcome.
type Counters struct {
	Answered *metrics.Counter
	NotRun   *metrics.Counter
	Unknown  *metrics.Counter
}

// NewCounters registers the counters in a set.
func NewCounters(s *metrics.Set) *Counters {
	named := func(outcome string) *metrics.Counter {
		return s.GetOrCreateCounter(`coltsfootline_agent_requests_total{outcome="` + outcome + `"}`)
	}
	return &Counters{Answered: named("answered"), NotRun: named("notRun"), Unknown: named("unknown")}
}

// Retire makes the host take no more requests from other agents.
func (d *Dispatcher) Retire() {
	d.retiring.Store(true)
}

// Load returns what other agents are told: a retiring host offers no slots.
func (d *Dispatcher) Load(now time.Time) placement.Load {
	l := d.Slots.Load(now)
	if d.retiring.Load() {
		l.Slots = 0
	}
	return l
}

// AwaitIdle waits until no request runs here; it reports false when ctx ended first.
func (d *Dispatcher) AwaitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(idlePause)
	defer ticker.Stop()
	for d.Slots.Load(time.Now()).Busy > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// Refuse makes every later request end as not run.
func (d *Dispatcher) Refuse() {
	d.refusing.Store(true)
}

// Serve runs a request on the target when a slot is free, or has another agent run it, and returns the answer or a
// problem document. What the request holds is held until the response's body is closed.
func (d *Dispatcher) Serve(ctx context.Context, r *http.Request) *http.Response {
	ctx, cancel := withDeadline(ctx, r)
	q := &queued{dispatcher: d, request: r}
	if err := q.buffer(); err != nil {
		cancel()
		return d.refuse(ReasonCancelled)
	}
	response := q.serve(ctx)
	response.Body = &finalBody{ReadCloser: response.Body, finish: cancel}
	return response
}

// routeOf names the kind of a request: its method and the first element of its path.
func routeOf(r *http.Request) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return r.Method + " /" + first
}

// runHere runs a request for which a slot is held.
func (d *Dispatcher) runHere(ctx context.Context, r *http.Request, long bool) (response *http.Response, ran bool) {
	body := &lentBody{body: r.Body}
	r.Body = body
	begin := time.Now()
	route := routeOf(r)
	response, ran = d.run(ctx, r)
	finish := func() {
		body.takeBack()
		d.Slots.Release(route, time.Since(begin), long)
	}
	response.Body = &finalBody{ReadCloser: response.Body, finish: finish}
	return response, ran
}

// ServeHandedOver runs a request that another agent handed over, if a slot is free at once and started agrees.
func (d *Dispatcher) ServeHandedOver(ctx context.Context, r *http.Request, started func() bool) (*http.Response, bool) {
	ctx, cancel := withDeadline(ctx, r)
	long := d.Slots.Long(routeOf(r))
	if d.retiring.Load() || !d.Slots.TryAcquire(time.Now(), long) {
		cancel()
		return notRun(ReasonQueueFull, retryAfterDefault), false
	}
	if !started() {
		d.Slots.GiveBack(long)
		cancel()
		return notRun(ReasonCancelled, retryAfterDefault), false
	}
	response, ran := d.runHere(ctx, r, long)
	response.Body = &finalBody{ReadCloser: response.Body, finish: cancel}
	return response, ran
}

func (d *Dispatcher) refuse(reason Reason) *http.Response {
	d.Counters.NotRun.Inc()
	return notRun(reason, placement.RetryAfter(d.Slots.ExpectedWait(), rand.Float64()))
}

func withDeadline(ctx context.Context, r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(TimeoutHeader))
	if err != nil || ms < 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// run sends the request once. Each request has a connection of its own, so that a failure before its first
// octet left is told from one after.
func (d *Dispatcher) run(ctx context.Context, r *http.Request) (response *http.Response, ran bool) {
	d.setUp.Do(func() {
		d.transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialCounted}
	})
	sent := &sentOctets{}
	out := d.outgoing(context.WithValue(ctx, sentKey{}, sent), r)
	response, err := d.transport.RoundTrip(out)
	if err == nil {
		d.Counters.Answered.Inc()
		forCaller(response)
		return response, true
	}
	events.TargetFailed.Log(d.Logger, events.Failure(err))
	if sent.count.Load() == 0 {
		return d.refuse(ReasonUnreachable), false
	}
	return d.lose(ReasonTargetFailed), true
}

func (d *Dispatcher) lose(reason Reason) *http.Response {
	d.Counters.Unknown.Inc()
	return unknown(reason)
}

func (d *Dispatcher) outgoing(ctx context.Context, r *http.Request) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = d.Target.Scheme
	out.URL.Host = d.Target.Host
	out.Close = false
	removeHopHeaders(out.Header)
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 0)
		out.Header.Set(TimeoutHeader, strconv.FormatInt(left, 10))
	}
	return out
}

// forCaller takes out what concerned the connection to the target only.
func forCaller(response *http.Response) {
	removeHopHeaders(response.Header)
	response.Close = false
	if response.ContentLength < 0 {
		response.TransferEncoding = []string{"chunked"}
	}
}

func removeHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

type sentKey struct{}

// sentOctets counts what was written to the target for one request.
type sentOctets struct {
	count atomic.Int64
}

func dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	sent, _ := ctx.Value(sentKey{}).(*sentOctets)
	return &countedConn{Conn: c, sent: sent}, nil
}

type countedConn struct {
	net.Conn
	sent *sentOctets
}

// Write counts before it writes, so that a count of zero is certain.
func (c *countedConn) Write(b []byte) (int, error) {
	if c.sent != nil {
		c.sent.count.Add(int64(len(b)))
	}
	return c.Conn.Write(b)
}

// finalBody is a response's body with something to do, once, when it is closed.
type finalBody struct {
	io.ReadCloser
	finish func()
	once   sync.Once
}

// Close closes the body and finishes.
func (b *finalBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.finish)
	return err
}

// lentBody is a request's body while the target reads it; the caller's connection reads on after takeBack.
type lentBody struct {
	mutex sync.Mutex
	body  io.Reader
	taken bool
}

// Read reads the body, or nothing after takeBack.
func (b *lentBody) Read(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.taken {
		return 0, io.ErrClosedPipe
	}
	return b.body.Read(p)
}

// Close leaves the body to the caller's connection.
func (b *lentBody) Close() error {
	return nil
}

func (b *lentBody) takeBack() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.taken = true
}
