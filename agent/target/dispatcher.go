package target

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// TimeoutHeader carries how many milliseconds the caller still waits for its answer.
const TimeoutHeader = "Request-Timeout-Ms"

const (
	dialTimeout       = time.Second
	retryAfterDefault = time.Second
)

// hopHeaders concern one connection only (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Dispatcher gives requests to one target. Set the exported fields before use.
type Dispatcher struct {
	Target   *url.URL
	Slots    *Slots
	Counters *Counters
	Logger   *slog.Logger

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

// Refuse makes every later request end as not run.
func (d *Dispatcher) Refuse() {
	d.refusing.Store(true)
}

// Serve runs a request on the target when a slot is free and returns its answer, or a problem document.
// The slot is held until the response's body is closed.
func (d *Dispatcher) Serve(ctx context.Context, r *http.Request) *http.Response {
	ctx, cancel := withDeadline(ctx, r)
	if d.refusing.Load() {
		cancel()
		return d.refuse(ReasonDraining)
	}
	if reason := d.Slots.Acquire(ctx); reason != "" {
		cancel()
		return d.refuse(reason)
	}
	release := &releaser{slots: d.Slots, cancel: cancel}
	body := &lentBody{body: r.Body}
	r.Body = body
	response := d.run(ctx, r)
	response.Body = &releasingBody{ReadCloser: response.Body, releaser: release, lent: body}
	return response
}

func (d *Dispatcher) refuse(reason Reason) *http.Response {
	d.Counters.NotRun.Inc()
	return notRun(reason, retryAfterDefault)
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
func (d *Dispatcher) run(ctx context.Context, r *http.Request) *http.Response {
	d.setUp.Do(func() {
		d.transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialCounted}
	})
	sent := &sentOctets{}
	out := d.outgoing(context.WithValue(ctx, sentKey{}, sent), r)
	response, err := d.transport.RoundTrip(out)
	if err == nil {
		d.Counters.Answered.Inc()
		forCaller(response)
		return response
	}
	events.TargetFailed.Log(d.Logger, events.Failure(err))
	if sent.count.Load() == 0 {
		return d.refuse(ReasonUnreachable)
	}
	d.Counters.Unknown.Inc()
	return unknown(ReasonTargetFailed)
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

// releaser frees a slot once.
type releaser struct {
	slots  *Slots
	cancel context.CancelFunc
	once   sync.Once
}

func (r *releaser) release() {
	r.once.Do(func() {
		r.cancel()
		r.slots.Release()
	})
}

type releasingBody struct {
	io.ReadCloser
	releaser *releaser
	lent     *lentBody
}

// Close ends the work on the request and frees its slot.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.lent.takeBack()
	b.releaser.release()
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
