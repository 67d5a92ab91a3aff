package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/rig/target"
)

// finalSpacing spreads the last requests of all connections, so that they are no crest of their own.
const finalSpacing = time.Millisecond / 2

// connection is one long-lived connection that sends one request after the other.
type connection struct {
	process *Process
	load    Load
	name    string
	rate    float64
	random  *rand.Rand
	until   <-chan struct{}
	dials   chan struct{}

	socket net.Conn
	reader *bufio.Reader
	sent   int
	// retryAfter is what the last answer asked for.
	retryAfter time.Duration
}

func (c *connection) run(ctx context.Context, opened, ended *sync.WaitGroup) {
	defer ended.Done()
	c.dial(ctx)
	opened.Done()
	for c.sleep(ctx, c.retryAfter) && c.wait(ctx) {
		c.retryAfter = 0
		if c.socket == nil && !c.dial(ctx) {
			continue
		}
		c.ask(ctx, c.load.draw(c.random, c.process.sinceStart(time.Now())))
		if c.socket != nil && c.random.Float64() < c.load.RedialShare {
			c.hangUp()
		}
	}
	// The connection proves that it is still of use.
	c.retryAfter = 0
	time.Sleep(time.Duration(c.random.Float64() * float64(c.load.Connections) * float64(finalSpacing)))
	if c.socket != nil || c.dial(ctx) {
		c.ask(ctx, request{millis: 1, bytes: 100, final: true})
	}
	if c.socket != nil {
		c.process.open.Add(1)
		c.hangUp()
	}
}

func (c *connection) hangUp() {
	_ = c.socket.Close()
	c.socket = nil
}

// wait thinks; it reports false when the time of the load is over. Arrivals are a Poisson process whose rate changes
// with surges: candidates come at the greatest rate and are thinned out.
func (c *connection) wait(ctx context.Context) bool {
	for {
		_, greatest := c.load.factor(0)
		if !c.sleep(ctx, think(c.rate*greatest, c.random)) {
			return false
		}
		now, _ := c.load.factor(c.process.sinceStart(time.Now()))
		if c.random.Float64()*greatest < now {
			return true
		}
	}
}

func (c *connection) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.until:
		return false
	case <-timer.C:
		return true
	}
}

func (c *connection) dial(ctx context.Context) bool {
	c.dials <- struct{}{}
	defer func() { <-c.dials }()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, err := c.process.stack.Dial(ctx, gue.EndpointOf(c.load.Address))
	if err != nil {
		c.process.failed.Add(1)
		c.process.record(Outcome{Stamp: c.name, Service: c.load.Service, Kind: KindDial, AtMs: time.Now().UnixMilli(), Detail: err.Error()})
		time.Sleep(redialPause)
		return false
	}
	c.socket = socket
	c.reader = bufio.NewReaderSize(socket, 2048)
	return true
}

// ask sends one request and records what came of it.
func (c *connection) ask(ctx context.Context, r request) {
	c.sent++
	o := Outcome{
		Stamp:        c.name + "-" + strconv.Itoa(c.sent),
		Service:      c.load.Service,
		Unrepeatable: r.unrepeatable,
		Long:         r.long,
		Final:        r.final,
		WorkMs:       r.millis,
		AfterMs:      float64(c.process.sinceStart(time.Now()).Milliseconds()),
	}
	start := time.Now()
	o.AtMs = start.UnixMilli()
	_ = c.socket.SetDeadline(start.Add(time.Duration(c.process.Settings.TimeoutMs) * time.Millisecond))
	keep := c.exchange(ctx, r, &o)
	o.Ms = float64(time.Since(start).Microseconds()) / 1000
	c.process.record(o)
	if !keep {
		c.process.broken.Add(1)
		c.hangUp()
	}
}

// exchange reports whether the connection can go on.
func (c *connection) exchange(ctx context.Context, r request, o *Outcome) bool {
	message, err := c.message(ctx, r, o.Stamp)
	if err == nil {
		err = message.Write(c.socket)
	}
	if err != nil {
		o.Kind, o.Detail = KindBroken, err.Error()
		return false
	}
	response, err := http.ReadResponse(c.reader, message)
	if err != nil {
		o.Kind, o.Detail = KindBroken, err.Error()
		return false
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		o.Kind, o.Detail = KindCut, err.Error()
		return false
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		c.retryAfter = time.Duration(seconds) * time.Second
	}
	o.Kind, o.Detail = c.judge(response, body, r, o.Stamp)
	return !response.Close
}

func (c *connection) message(ctx context.Context, r request, stamp string) (*http.Request, error) {
	method := http.MethodGet
	var body io.Reader
	if r.unrepeatable {
		method = http.MethodPost
		body = bytes.NewReader(target.Filler(stamp, r.upload))
	}
	path := "/run?"
	if r.long {
		path = "/batch?"
	}
	url := "http://" + c.load.Address.String() + path + target.FieldMillis + "=" +
		strconv.FormatFloat(r.millis, 'f', 2, 64) + "&" + target.FieldBytes + "=" + strconv.Itoa(r.bytes)
	m, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	if r.final {
		m.Header.Set(target.FinalHeader, "1")
	}
	m.Header.Set(target.StampHeader, stamp)
	m.Header.Set(target.ServiceHeader, c.load.Service)
	return m, nil
}

// problem is the part of a problem document that a caller needs.
type problem struct {
	Type string `json:"type"`
}

func (c *connection) judge(response *http.Response, body []byte, r request, stamp string) (Kind, string) {
	if response.StatusCode != http.StatusOK {
		var p problem
		_ = json.Unmarshal(body, &p)
		if p.Type == string(KindNotRun) {
			return KindNotRun, ""
		}
		return KindUnknown, strconv.Itoa(response.StatusCode) + " " + p.Type
	}
	head, rest, _ := bytes.Cut(body, []byte("\n"))
	var p target.Preamble
	if err := json.Unmarshal(head, &p); err != nil {
		return KindCrossed, "answer without preamble"
	}
	whole := p.Stamp == stamp && p.Service == c.load.Service && p.Received == int64(r.upload) &&
		bytes.Equal(rest, target.Filler(stamp, r.bytes))
	if !whole {
		return KindCrossed, "answer to " + p.Stamp + " of " + p.Service
	}
	return KindAnswered, ""
}
