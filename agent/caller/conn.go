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
	maxDrainBytes    = 64 << 20
	parkTimeout      = 300 * time.Millisecond
)

// Handler answers a request; it never returns nil, and closing the response's body ends the work.
type Handler interface {
	Serve(ctx context.Context, r *http.Request) *http.Response
}

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// conn speaks HTTP/1.1 on one connection of the stack.
type conn struct {
	owner    *Terminator
	flow     *flow
	socket   net.Conn
	endpoint tcpip.Endpoint
	limit    io.LimitedReader
	reader   *bufio.Reader
	boundary *boundary

	mutex  sync.Mutex
	cancel context.CancelFunc
}

func newConn(owner *Terminator, f *flow, socket net.Conn, endpoint tcpip.Endpoint) *conn {
	c := &conn{owner: owner, flow: f, socket: socket, endpoint: endpoint, boundary: f.boundary}
	c.limit = io.LimitedReader{R: countedReader{c}, N: math.MaxInt64}
	c.reader = bufio.NewReaderSize(&c.limit, readBufferBytes)
	return c
}

// countedReader counts what the HTTP side takes, together with the end of idleness.
type countedReader struct {
	conn *conn
}

// Read reads from the connection.
func (r countedReader) Read(b []byte) (int, error) {
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

// countedWriter counts what the HTTP side gives, before the stack can send it.
type countedWriter struct {
	conn *conn
}

// Write writes to the connection.
func (w countedWriter) Write(b []byte) (int, error) {
	f := w.conn.flow
	f.mutex.Lock()
	w.conn.boundary.written += uint64(len(b))
	f.mutex.Unlock()
	return w.conn.socket.Write(b)
}

func (c *conn) run(ctx context.Context) {
	for c.awaitRequest(ctx) && c.serveOne(ctx) {
	}
	c.owner.connEnded(c, time.Now())
}

// awaitRequest waits at the request boundary; it reports false when the connection ended or moved.
func (c *conn) awaitRequest(ctx context.Context) bool {
	if c.reader.Buffered() == 0 {
		c.flow.mutex.Lock()
		c.boundary.idle = true
		c.flow.mutex.Unlock()
	}
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	return c.park(ctx)
}

// park lets a wanted flow be moved with the first octets of the next request in hand.
func (c *conn) park(ctx context.Context) bool {
	f := c.flow
	f.mutex.Lock()
	if !c.boundary.wanted || !c.holds() {
		f.mutex.Unlock()
		return true
	}
	c.boundary.unread, _ = c.reader.Peek(c.reader.Buffered())
	resume := make(chan struct{})
	c.boundary.resume = resume
	f.mutex.Unlock()

	timer := time.NewTimer(parkTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-resume:
	case <-timer.C:
	}
	return c.unpark(resume)
}

func (c *conn) unpark(resume chan struct{}) bool {
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
	return c.holds()
}

// holds reports, under the flow's mutex, that this conn answers for the flow.
func (c *conn) holds() bool {
	return c.flow.conn == c && c.flow.state == stateLocal
}

func (c *conn) serveOne(ctx context.Context) bool {
	c.limit.N = maxHeaderBytes
	r, err := http.ReadRequest(c.reader)
	c.limit.N = math.MaxInt64
	if err != nil {
		// The connection ends either way.
		_ = c.write(plainResponse(http.StatusBadRequest))
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setCancel(cancel)
	defer c.setCancel(nil)
	if expectsContinue(r) {
		r.Body = &continuingBody{conn: c, body: r.Body}
	}
	body := r.Body
	response := c.owner.Handler.Serve(ctx, r.WithContext(ctx))
	return c.answer(r, body, response)
}

// answer writes the response; body is what the caller sends with the request.
func (c *conn) answer(r *http.Request, body io.Reader, response *http.Response) bool {
	unasked := false
	if b, ok := body.(*continuingBody); ok {
		unasked = !b.asked
	}
	response.Request = r
	response.ProtoMajor, response.ProtoMinor = 1, 1
	response.Close = response.Close || r.Close || !r.ProtoAtLeast(1, 1) || unasked
	err := c.write(response)
	_ = response.Body.Close()
	return err == nil && !response.Close && drain(body)
}

func (c *conn) write(response *http.Response) error {
	w := writers.Get().(*bufio.Writer)
	w.Reset(countedWriter{c})
	defer func() {
		w.Reset(nil)
		writers.Put(w)
	}()
	if err := response.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// drain reads what is left of a request's body, up to a bound, and reports whether it reached the end.
func drain(body io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDrainBytes))
	return err == nil && n < maxDrainBytes
}

func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ProtoAtLeast(1, 1)
}

// continuingBody asks the caller for the body when it is first read.
type continuingBody struct {
	conn  *conn
	body  io.ReadCloser
	asked bool
}

// Read reads the body.
func (b *continuingBody) Read(p []byte) (int, error) {
	if !b.asked {
		b.asked = true
		if _, err := io.WriteString(countedWriter{b.conn}, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	return b.body.Read(p)
}

// Close closes the body.
func (b *continuingBody) Close() error {
	return b.body.Close()
}

func plainResponse(status int) *http.Response {
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

// cancelRequest ends the request being answered, because the caller went away.
func (c *conn) cancelRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

// abort drops the connection from the stack; the RST that the stack sends stays inside this agent.
func (c *conn) abort() {
	c.endpoint.Abort()
	_ = c.socket.Close()
}
