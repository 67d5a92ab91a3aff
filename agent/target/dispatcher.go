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

// TimeoutHeader is the header with the number of milliseconds that the caller still waits for the response.
const TimeoutHeader = "Request-Timeout-Ms"

const (
	dialTimeout       = time.Second
	idlePollInterval  = 10 * time.Millisecond
	defaultRetryAfter = time.Second
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Dispatcher runs requests on one target or hands them over to other agents. Set the exported fields before use.
type Dispatcher struct {
	Target *url.URL
	Slots  *Slots
	// HandOver hands requests over to other agents; nil runs every request here.
	HandOver *replica.HandOver
	Counters *Counters
	Logger   *slog.Logger

	retiring  atomic.Bool
	refusing  atomic.Bool
	initOnce  sync.Once
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
	counter := func(outcome string) *metrics.Counter {
		return s.GetOrCreateCounter(`coltsfootline_agent_requests_total{outcome="` + outcome + `"}`)
	}
	return &Counters{Answered: counter("answered"), NotRun: counter("notRun"), Unknown: counter("unknown")}
}

// Retire makes this agent refuse requests that other agents hand over.
func (d *Dispatcher) Retire() {
	d.retiring.Store(true)
}

// Load returns the load to report to other agents. It has no slots after Retire.
func (d *Dispatcher) Load(now time.Time) placement.Load {
	l := d.Slots.Load(now)
	if d.retiring.Load() {
		l.Slots = 0
	}
	return l
}

// AwaitIdle waits until no request runs here. It returns false if ctx ends first.
func (d *Dispatcher) AwaitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(idlePollInterval)
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

// RefuseNew makes Serve answer every later request with ProblemNotRun, unless another agent runs it.
func (d *Dispatcher) RefuseNew() {
	d.refusing.Store(true)
}

// Serve runs a request on the target as soon as a slot is free, or has another agent run it. It returns the response,
// or a problem document if there is none. The slot and the request's context are held until the response body is closed.
func (d *Dispatcher) Serve(ctx context.Context, r *http.Request) *http.Response {
	ctx, cancel := withDeadline(ctx, r)
	p := &pendingRequest{dispatcher: d, request: r}
	if err := p.bufferBody(); err != nil {
		cancel()
		return d.respondNotRun(ReasonCancelled)
	}
	response := p.serve(ctx)
	response.Body = &closeHookBody{ReadCloser: response.Body, onClose: cancel}
	return response
}

// routeOf returns the route of a request: its method and the first segment of its path.
func routeOf(r *http.Request) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return r.Method + " /" + first
}

// runLocally runs a request that holds a slot. The slot is released when the response body is closed.
func (d *Dispatcher) runLocally(ctx context.Context, r *http.Request, long bool) (response *http.Response, ran bool) {
	body := &detachableBody{body: r.Body}
	r.Body = body
	begin := time.Now()
	route := routeOf(r)
	response, ran = d.run(ctx, r)
	onClose := func() {
		body.detach()
		d.Slots.Release(route, time.Since(begin), long)
	}
	response.Body = &closeHookBody{ReadCloser: response.Body, onClose: onClose}
	return response, ran
}

// ServeHandedOver runs a request that another agent handed over, if a slot is free at once and tryStart returns true.
// The result ran is false only if the target certainly did not receive the request.
func (d *Dispatcher) ServeHandedOver(ctx context.Context, r *http.Request, tryStart func() bool) (*http.Response, bool) {
	ctx, cancel := withDeadline(ctx, r)
	long := d.Slots.IsLong(routeOf(r))
	if d.retiring.Load() || !d.Slots.TryAcquire(time.Now(), long) {
		cancel()
		return newNotRunResponse(ReasonQueueFull, defaultRetryAfter), false
	}
	if !tryStart() {
		d.Slots.ReleaseUnused(long)
		cancel()
		return newNotRunResponse(ReasonCancelled, defaultRetryAfter), false
	}
	response, ran := d.runLocally(ctx, r, long)
	response.Body = &closeHookBody{ReadCloser: response.Body, onClose: cancel}
	return response, ran
}

func (d *Dispatcher) respondNotRun(reason Reason) *http.Response {
	d.Counters.NotRun.Inc()
	return newNotRunResponse(reason, placement.RetryAfter(d.Slots.ExpectedWait(), rand.Float64()))
}

func withDeadline(ctx context.Context, r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(TimeoutHeader))
	if err != nil || ms < 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// run sends the request to the target once. Each request has its own connection, so that the bytes written to it show
// whether a failed request may have reached the target.
func (d *Dispatcher) run(ctx context.Context, r *http.Request) (response *http.Response, ran bool) {
	d.initOnce.Do(func() {
		d.transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialCounting}
	})
	written := &byteCounter{}
	out := d.newOutgoingRequest(context.WithValue(ctx, byteCounterKey{}, written), r)
	response, err := d.transport.RoundTrip(out)
	if err == nil {
		d.Counters.Answered.Inc()
		prepareForCaller(response)
		return response, true
	}
	events.TargetFailed.Log(d.Logger, events.ErrorAttr(err))
	if written.count.Load() == 0 {
		return d.respondNotRun(ReasonTargetUnreachable), false
	}
	return d.respondUnknown(ReasonTargetFailed), true
}

func (d *Dispatcher) respondUnknown(reason Reason) *http.Response {
	d.Counters.Unknown.Inc()
	return newUnknownResponse(reason)
}

func (d *Dispatcher) newOutgoingRequest(ctx context.Context, r *http.Request) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = d.Target.Scheme
	out.URL.Host = d.Target.Host
	out.Close = false
	removeHopByHopHeaders(out.Header)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 0)
		out.Header.Set(TimeoutHeader, strconv.FormatInt(remaining, 10))
	}
	return out
}

// prepareForCaller removes from a response what applied only to the connection that it came from.
func prepareForCaller(response *http.Response) {
	removeHopByHopHeaders(response.Header)
	response.Close = false
	if response.ContentLength < 0 {
		response.TransferEncoding = []string{"chunked"}
	}
}

func removeHopByHopHeaders(h http.Header) {
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// byteCounterKey is the context key of the byteCounter that dialCounting attaches to a connection.
type byteCounterKey struct{}

// byteCounter counts the bytes written to the target for one request.
type byteCounter struct {
	count atomic.Int64
}

func dialCounting(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	written, _ := ctx.Value(byteCounterKey{}).(*byteCounter)
	return &countingConn{Conn: c, written: written}, nil
}

type countingConn struct {
	net.Conn
	written *byteCounter
}

// Write counts the bytes before it writes them, so that a count of zero proves that none were sent.
func (c *countingConn) Write(b []byte) (int, error) {
	if c.written != nil {
		c.written.count.Add(int64(len(b)))
	}
	return c.Conn.Write(b)
}

// closeHookBody is a response body that calls onClose once, when it is first closed.
type closeHookBody struct {
	io.ReadCloser
	onClose func()
	once    sync.Once
}

// Close closes the body and calls onClose.
func (b *closeHookBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}

// detachableBody is a request body that fails every read after detach. The transport may still read the body after the
// response is finished, when the caller's connection already continues to read from the same reader.
type detachableBody struct {
	mutex    sync.Mutex
	body     io.Reader
	detached bool
}

// Read reads the body. It fails after detach.
func (b *detachableBody) Read(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.detached {
		return 0, io.ErrClosedPipe
	}
	return b.body.Read(p)
}

// Close does nothing: the caller's connection owns the body.
func (b *detachableBody) Close() error {
	return nil
}

// detach waits for a running Read and makes later ones fail.
func (b *detachableBody) detach() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.detached = true
}
