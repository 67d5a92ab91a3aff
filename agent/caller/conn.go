package caller

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip"
)

const (
	readBufferBytes  = 2 << 10
	writeBufferBytes = 4 << 10
	maxHeaderBytes   = 64 << 10
	maxDiscardBytes  = 64 << 20
	moveWaitTimeout  = 300 * time.Millisecond
)

// Handler serves requests. Serve never returns nil; closing the response's body ends the work on the request.
type Handler interface {
	Serve(ctx context.Context, r *http.Request) *http.Response
}

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// conn serves HTTP/1.1 on one TCP connection of the stack.
type conn struct {
	terminator  *Terminator
	flow        *flow
	socket      net.Conn
	endpoint    tcpip.Endpoint
	headerLimit io.LimitedReader
	reader      *bufio.Reader
	boundary    *requestBoundary
	// brokenOff is set if a response could not be written to its end.
	brokenOff bool

	mutex  sync.Mutex
	cancel context.CancelFunc
}

func newConn(terminator *Terminator, f *flow, socket net.Conn, endpoint tcpip.Endpoint) *conn {
	c := &conn{terminator: terminator, flow: f, socket: socket, endpoint: endpoint, boundary: f.requestBoundary}
	c.headerLimit = io.LimitedReader{R: countingReader{c}, N: math.MaxInt64}
	c.reader = bufio.NewReaderSize(&c.headerLimit, readBufferBytes)
	return c
}

// countingReader counts the octets that the HTTP side reads. It clears the idle flag under the same lock, so that movable
// never sees octets counted as consumed while the flow still counts as idle.
type countingReader struct {
	conn *conn
}

func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.conn.socket.Read(b)
	f := r.conn.flow
	f.mutex.Lock()
	r.conn.boundary.consumed += uint64(n)
	if n > 0 {
		r.conn.boundary.idle = false
	}
	f.mutex.Unlock()
	return n, err
}

// countingWriter counts the octets that the HTTP side writes, before the stack can send them.
type countingWriter struct {
	conn *conn
}

func (w countingWriter) Write(b []byte) (int, error) {
	f := w.conn.flow
	f.mutex.Lock()
	w.conn.boundary.written += uint64(len(b))
	f.mutex.Unlock()
	return w.conn.socket.Write(b)
}

// run serves requests until the connection ends or moves.
func (c *conn) run(ctx context.Context) {
	for c.awaitRequest(ctx) && c.serveRequest(ctx) {
	}
	if c.brokenOff {
		// A FIN would make a response without a length look complete.
		c.endpoint.Abort()
	}
	c.terminator.finishConn(c, time.Now())
}

// awaitRequest waits at the request boundary for the next request. It reports false when the connection ended or moved.
func (c *conn) awaitRequest(ctx context.Context) bool {
	if c.reader.Buffered() == 0 {
		c.flow.mutex.Lock()
		c.boundary.idle = true
		c.flow.mutex.Unlock()
	}
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	return c.awaitMove(ctx)
}

// awaitMove gives a flow whose move was requested up to moveWaitTimeout to be offered, and waits for the outcome of the
// offer. The first octets of the next request, which were already read, move with the flow. It reports whether this agent
// still holds the flow.
func (c *conn) awaitMove(ctx context.Context) bool {
	f := c.flow
	f.mutex.Lock()
	if !c.boundary.moveRequested || !c.isHolder() {
		f.mutex.Unlock()
		return true
	}
	c.boundary.unread, _ = c.reader.Peek(c.reader.Buffered())
	resume := make(chan struct{})
	c.boundary.resume = resume
	f.mutex.Unlock()

	timer := time.NewTimer(moveWaitTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-resume:
	case <-timer.C:
	}
	return c.resumeAfterMove(resume)
}

// resumeAfterMove waits until an offer in progress is decided and reports whether this agent still holds the flow.
func (c *conn) resumeAfterMove(resume chan struct{}) bool {
	f := c.flow
	f.mutex.Lock()
	for f.conn == c && f.state == stateOffered {
		f.mutex.Unlock()
		<-resume
		f.mutex.Lock()
	}
	defer f.mutex.Unlock()
	c.boundary.unread = nil
	c.boundary.resume = nil
	return c.isHolder()
}

// isHolder reports whether this agent holds the flow and serves it by this conn. The flow's mutex must be locked.
func (c *conn) isHolder() bool {
	return c.flow.conn == c && c.flow.state == stateLocal
}

func (c *conn) serveRequest(ctx context.Context) bool {
	c.headerLimit.N = maxHeaderBytes
	r, err := http.ReadRequest(c.reader)
	c.headerLimit.N = math.MaxInt64
	if err != nil {
		// The connection is closed whether or not this write succeeds.
		_ = c.writeResponse(emptyResponse(http.StatusBadRequest))
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setCancel(cancel)
	defer c.setCancel(nil)
	if expectsContinue(r) {
		r.Body = &expectContinueBody{conn: c, body: r.Body}
	}
	body := r.Body
	response := c.terminator.Handler.Serve(ctx, r.WithContext(ctx))
	return c.respond(r, body, response)
}

// respond writes the response and reports whether the connection can serve another request. body is the request's
// original body.
func (c *conn) respond(r *http.Request, body io.Reader, response *http.Response) bool {
	bodyUnrequested := false
	if b, ok := body.(*expectContinueBody); ok {
		bodyUnrequested = !b.continueSent
	}
	response.Request = r
	response.ProtoMajor, response.ProtoMinor = 1, 1
	response.Close = response.Close || r.Close || !r.ProtoAtLeast(1, 1) || bodyUnrequested
	err := c.writeResponse(response)
	c.brokenOff = err != nil
	_ = response.Body.Close()
	return err == nil && !response.Close && discardBody(body)
}

func (c *conn) writeResponse(response *http.Response) error {
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(countingWriter{c})
	defer func() {
		w.Reset(nil)
		writerPool.Put(w)
	}()
	if err := response.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// discardBody reads the rest of a request's body, up to maxDiscardBytes, and reports whether it reached the end.
func discardBody(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
	return err == nil && n < maxDiscardBytes
}

func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ProtoAtLeast(1, 1)
}

// expectContinueBody sends "100 Continue" on the first read of the request's body.
type expectContinueBody struct {
	conn         *conn
	body         io.ReadCloser
	continueSent bool
}

func (b *expectContinueBody) Read(p []byte) (int, error) {
	if !b.continueSent {
		b.continueSent = true
		if _, err := io.WriteString(countingWriter{b.conn}, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	return b.body.Read(p)
}

func (b *expectContinueBody) Close() error {
	return b.body.Close()
}

func emptyResponse(status int) *http.Response {
	return &http.Response{
		StatusCode: status,
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     http.Header{},
		Body:       http.NoBody,
		Close:      true,
	}
}

func (c *conn) setCancel(cancel context.CancelFunc) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancel = cancel
}

// cancelRequest cancels the context of the request in progress, because the caller closed the connection.
func (c *conn) cancelRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

// abort removes the connection from the stack. The caller doesn't get the stack's RST, because rewriteFromStack drops
// packets of flows that this agent doesn't hold.
func (c *conn) abort() {
	c.endpoint.Abort()
	_ = c.socket.Close()
}
