// Package store is an HTTP client for the platform's object store, with revisions, conditional updates and watches.
// A Dialect defines the wire format of calls. Dialects are plug-ins that register themselves.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel"
)

const (
	// callTimeout limits every call except a watch. A response takes milliseconds, or less than half a second if
	// the store is slow.
	callTimeout = 1500 * time.Millisecond
	// dialTimeout limits how long a connection takes to open within the platform's network.
	dialTimeout = 700 * time.Millisecond
	// maxResponseBytes limits a response body. A page holds about 1 MB. A longer body is truncated and then can't be
	// decoded.
	maxResponseBytes = 4 << 20
	// maxPages limits a listing. A page holds 500 objects. A longer listing fails.
	maxPages = 200
)

// WatchMargin is added to the maximum wait of a watch to get the timeout of its HTTP call. A slow store responds within
// 320 ms after the wait.
const WatchMargin = 600 * time.Millisecond

// Object is a stored object, identified by kind and name, with the revision of its last change.
type Object struct {
	Kind     string
	Name     string
	Revision uint64
	// Spec is the content of the object.
	Spec json.RawMessage
	// Deleted is set in the result of a watch if the object was deleted.
	Deleted bool
	// Era is that of the response that contained the object, see Position.
	Era uint64
}

// Position is a point in the sequence of the store's changes. Revisions order the changes of one era only: a store that
// returns from an older copy begins the next era, loses the changes after the copy and assigns their revisions again. Era is
// 0 if the store does not report eras.
type Position struct {
	Era      uint64
	Revision uint64
}

// Page is the response to a list or watch call.
type Page struct {
	Objects []Object
	// More is set if further objects follow the last one of this page.
	More bool
	// Revision is the revision of the store, where the next watch starts.
	Revision uint64
	// Era is that of the response.
	Era uint64
}

// Position returns the position from which a watch reports the changes after the page.
func (p Page) Position() Position {
	return Position{Era: p.Era, Revision: p.Revision}
}

// Operation is the kind of a store call.
type Operation uint8

// The operations. Their order is that of operationNames.
const (
	OperationGet Operation = iota
	OperationList
	OperationWatch
	OperationCreate
	OperationReplace
	OperationDelete
)

// Call is a request to the store.
type Call struct {
	Operation Operation
	Kind      string
	// Name is empty in list and watch calls.
	Name string
	// Revision is the expected revision of the object to replace or delete, where 0 matches any, or the revision that a
	// watch starts from.
	Revision uint64
	// After is the name of the last object of the previous page of a list call. It is empty for the first page.
	After string
	// Stale allows a list call to return what is some seconds out of date.
	Stale bool
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	// Spec is the content of the object to create or replace.
	Spec json.RawMessage
}

// Dialect encodes calls and decodes responses.
type Dialect interface {
	// Encode returns the HTTP method, the path with the query string, and the request body of a call.
	Encode(c Call) (method, target string, body []byte, err error)
	// DecodeObject decodes a response that contains one object of the kind.
	DecodeObject(kind string, body []byte) (Object, error)
	// DecodePage decodes the response to a list or watch call.
	DecodePage(kind string, body []byte) (Page, error)
	// DecodeEra returns the era that a response reports, and false if it reports none.
	DecodeEra(h http.Header) (era uint64, ok bool)
}

// DefaultDialect is used by programs whose settings don't name a dialect.
const DefaultDialect = "platform"

// Dialects holds the registered dialects.
var Dialects = kernel.Registry[Dialect]{Kind: "store dialect"}

// Client calls the store at BaseURL, such as http://127.0.0.1:8000. NewClient sets all fields but the callbacks.
type Client struct {
	BaseURL string
	Dialect Dialect
	// HTTP must not be nil.
	HTTP *http.Client
	// OnCall is called for each call with its HTTP status, or 0 if there was no response. It may be nil.
	OnCall func(o Operation, status int)
	// OnReturn is called when a response shows that the store has returned from an older copy. It may be nil.
	OnReturn func(previous, era uint64)

	era          atomic.Pointer[eraScope]
	lastResponse atomic.Pointer[time.Time]
}

// eraScope is an era with a context that is cancelled when a later one begins.
type eraScope struct {
	number  uint64
	context context.Context
	end     context.CancelFunc
}

func newEraScope(number uint64) *eraScope {
	e := &eraScope{number: number}
	e.context, e.end = context.WithCancel(context.Background())
	return e
}

// currentEra returns the latest era that a response reported, or era 0.
func (c *Client) currentEra() *eraScope {
	e := c.era.Load()
	if e == nil {
		c.era.CompareAndSwap(nil, newEraScope(0))
		e = c.era.Load()
	}
	return e
}

// Era returns the latest era that a response reported, or 0 if none did.
func (c *Client) Era() uint64 {
	return c.currentEra().number
}

// NewClient returns a client that uses the named dialect and an HTTP client with a short dial timeout.
func NewClient(baseURL, dialect string) (*Client, error) {
	d, err := Dialects.Get(dialect)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: 2,
		DisableCompression:  true,
	}
	return &Client{BaseURL: baseURL, Dialect: d, HTTP: &http.Client{Transport: transport}}, nil
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.callObject(ctx, Call{Operation: OperationGet, Kind: kind, Name: name})
}

// Create writes a new object. If the object exists, it returns a ConflictError that holds the object.
func (c *Client) Create(ctx context.Context, kind, name string, spec json.RawMessage) (Object, error) {
	return c.callObject(ctx, Call{Operation: OperationCreate, Kind: kind, Name: name, Spec: spec})
}

// Replace updates an existing object. The object must have the given revision unless that is 0.
func (c *Client) Replace(ctx context.Context, kind, name string, revision uint64, spec json.RawMessage) (Object, error) {
	return c.callObject(ctx, Call{Operation: OperationReplace, Kind: kind, Name: name, Revision: revision, Spec: spec})
}

// Put replaces an object whatever its revision, or creates it if it does not exist.
func (c *Client) Put(ctx context.Context, kind, name string, spec json.RawMessage) (Object, error) {
	o, err := c.Replace(ctx, kind, name, 0, spec)
	var notFound *NotFoundError
	if !errors.As(err, &notFound) {
		return o, err
	}
	return c.Create(ctx, kind, name, spec)
}

// Delete removes an object. The object must have the given revision unless that is 0. Deleting a missing object is not
// an error.
func (c *Client) Delete(ctx context.Context, kind, name string, revision uint64) error {
	_, _, err := c.do(ctx, Call{Operation: OperationDelete, Kind: kind, Name: name, Revision: revision}, callTimeout)
	var notFound *NotFoundError
	if errors.As(err, &notFound) {
		return nil
	}
	return err
}

// List reads all objects of a kind, page by page. The result has the revision of the first page, so that a watch from
// there reports every change made during the listing. With stale, the result may be some seconds out of date, which costs
// the store less.
func (c *Client) List(ctx context.Context, kind string, stale bool) (Page, error) {
	var all Page
	after := ""
	for range maxPages {
		p, err := c.callPage(ctx, Call{Operation: OperationList, Kind: kind, After: after, Stale: stale}, callTimeout)
		switch {
		case err != nil:
			return Page{}, err
		case after == "":
			all.Revision, all.Era = p.Revision, p.Era
		case p.Era != all.Era:
			// The store has returned from an older copy since the first page.
			all, after = Page{}, ""
			continue
		}
		all.Objects = append(all.Objects, p.Objects...)
		if !p.More || len(p.Objects) == 0 {
			return all, nil
		}
		after = p.Objects[len(p.Objects)-1].Name
	}
	return Page{}, errors.WithStack(&TooManyPagesError{Kind: kind})
}

// LastResponse returns when the store last answered a call, or the zero time if it never did.
func (c *Client) LastResponse() time.Time {
	if at := c.lastResponse.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// EraEnd returns the latest era that a response reported, or 0 if none did, and a channel that is closed once a later one is
// reported.
func (c *Client) EraEnd() (era uint64, ended <-chan struct{}) {
	e := c.currentEra()
	return e.number, e.context.Done()
}

// Watch waits for at most the given time for changes of a kind after a position. After an ExpiredError the caller must
// list the objects again. A watch ends with this error as soon as another call shows that the store has returned from an
// older copy.
func (c *Client) Watch(ctx context.Context, kind string, from Position, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.currentEra().context, cancel)()
	if from.Era != c.Era() {
		return Page{}, errors.WithStack(&ExpiredError{Kind: kind, From: from})
	}
	call := Call{Operation: OperationWatch, Kind: kind, Revision: from.Revision, Wait: wait}
	p, err := c.callPage(ctx, call, wait+WatchMargin)
	if from.Era != c.Era() {
		return Page{}, errors.WithStack(&ExpiredError{Kind: kind, From: from})
	}
	return p, err
}

func (c *Client) callObject(ctx context.Context, call Call) (Object, error) {
	body, era, err := c.do(ctx, call, callTimeout)
	if err != nil {
		return Object{}, err
	}
	o, err := c.Dialect.DecodeObject(call.Kind, body)
	if err != nil {
		return Object{}, unavailable(call, err)
	}
	o.Era = era
	return o, nil
}

func (c *Client) callPage(ctx context.Context, call Call, timeout time.Duration) (Page, error) {
	body, era, err := c.do(ctx, call, timeout)
	if err != nil {
		return Page{}, err
	}
	p, err := c.Dialect.DecodePage(call.Kind, body)
	if err != nil {
		return Page{}, unavailable(call, err)
	}
	p.Era = era
	for i := range p.Objects {
		p.Objects[i].Era = era
	}
	return p, nil
}

// do sends a call and returns the response body and its era, or the error for the response's status.
func (c *Client) do(ctx context.Context, call Call, timeout time.Duration) (body []byte, era uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	method, target, sent, err := c.Dialect.Encode(call)
	if err != nil {
		return nil, 0, unavailable(call, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+target, bytes.NewReader(sent))
	if err != nil {
		return nil, 0, unavailable(call, err)
	}
	if len(sent) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		// Connections may have fallen silent without a reset, usually several at once. The next call opens a new one.
		c.HTTP.CloseIdleConnections()
		c.reportCall(call, 0)
		return nil, 0, unavailable(call, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	c.reportCall(call, response.StatusCode)
	if err != nil {
		c.HTTP.CloseIdleConnections()
		return nil, 0, unavailable(call, err)
	}
	now := time.Now()
	c.lastResponse.Store(&now)
	if era = c.observeEra(response.Header); era < c.Era() {
		return nil, 0, unavailable(call, &PassedEraError{Era: era, Latest: c.Era()})
	}
	return body, era, c.statusError(call, response.StatusCode, body)
}

// observeEra records the era of a response and returns it. A response that reports none counts as one of the latest era.
func (c *Client) observeEra(h http.Header) uint64 {
	number, ok := c.Dialect.DecodeEra(h)
	latest := c.currentEra()
	if !ok {
		return latest.number
	}
	for ; number > latest.number; latest = c.currentEra() {
		if !c.era.CompareAndSwap(latest, newEraScope(number)) {
			continue
		}
		latest.end()
		if latest.number != 0 && c.OnReturn != nil {
			c.OnReturn(latest.number, number)
		}
	}
	return number
}

// statusError returns the error for an HTTP status, or nil if the call succeeded.
func (c *Client) statusError(call Call, status int, body []byte) error {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return errors.WithStack(&NotFoundError{Kind: call.Kind, Name: call.Name})
	case status == http.StatusConflict:
		current, err := c.Dialect.DecodeObject(call.Kind, body)
		if err != nil {
			current = Object{Kind: call.Kind, Name: call.Name}
		}
		return errors.WithStack(&ConflictError{Current: current})
	case status == http.StatusGone:
		return errors.WithStack(&ExpiredError{Kind: call.Kind, From: Position{Era: c.Era(), Revision: call.Revision}})
	}
	return unavailable(call, &StatusError{Status: status})
}

func (c *Client) reportCall(call Call, status int) {
	if c.OnCall != nil {
		c.OnCall(call.Operation, status)
	}
}

func unavailable(call Call, cause error) error {
	return errors.WithStack(&UnavailableError{Kind: call.Kind, Name: call.Name, Cause: cause})
}
