// Package store is the client of the platform's object API: revisions, conditional updates and watches over HTTP.
// How calls look on the wire is a Dialect, which registers itself.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel"
)

const (
	// callTimeout bounds a call that does not wait: answers take milliseconds, and a slow store's under half a second.
	callTimeout = 1500 * time.Millisecond
	// dialTimeout bounds the opening of a connection within the platform's network.
	dialTimeout = 700 * time.Millisecond
	// maxAnswerBytes bounds an answer: a page holds about 1 MB.
	maxAnswerBytes = 4 << 20
	// maxPages bounds a listing: 500 objects a page.
	maxPages = 200
)

// WatchMargin is how much longer than its wait a watch may take before it is taken as silent: a slow store answers
// within 320 ms.
const WatchMargin = 600 * time.Millisecond

// Object is a value with the revision of its last change.
type Object struct {
	Kind     string
	Name     string
	Revision uint64
	Spec     json.RawMessage
	// Deleted says, in a watch, that the object is gone.
	Deleted bool
}

// Page is the answer to a listing or a watch.
type Page struct {
	Objects []Object
	// More says that the listing goes on after the last object.
	More bool
	// Revision is the store's revision, from which a watch continues.
	Revision uint64
}

// Operation is what a call does.
type Operation uint8

// The operations.
const (
	OperationGet Operation = iota
	OperationList
	OperationWatch
	OperationCreate
	OperationReplace
	OperationDelete
)

// Call is one call of the store.
type Call struct {
	Operation Operation
	Kind      string
	Name      string
	// Revision is the expected one of an update, where 0 accepts any, or the one that a watch continues from.
	Revision uint64
	// After is the name after which a listing continues.
	After string
	// Wait is how long a watch waits for a change.
	Wait time.Duration
	Spec json.RawMessage
}

// Dialect translates calls and answers.
type Dialect interface {
	// Encode returns the method, the path with its query, and the body of a call.
	Encode(c Call) (method, target string, body []byte, err error)
	// DecodeObject reads the answer that carries one object of the kind.
	DecodeObject(kind string, body []byte) (Object, error)
	// DecodePage reads the answer to a listing or a watch.
	DecodePage(kind string, body []byte) (Page, error)
}

// DefaultDialect is the dialect of programs whose settings name none.
const DefaultDialect = "platform"

// Dialects holds the registered dialects.
var Dialects = kernel.Registry[Dialect]{Kind: "store dialect"}

// Client calls the store at Base, such as http://127.0.0.1:8000. Set Base and Dialect.
type Client struct {
	Base    string
	Dialect Dialect
	// HTTP is replaced by a client with short dial timeouts when it is nil.
	HTTP *http.Client
	// OnCall is told of every answer, for metrics; it may be nil.
	OnCall func(o Operation, status int)
}

// NewClient returns a client with the named dialect.
func NewClient(base, dialect string) (*Client, error) {
	d, err := Dialects.Get(dialect)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: 2,
		DisableCompression:  true,
	}
	return &Client{Base: base, Dialect: d, HTTP: &http.Client{Transport: transport}}, nil
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.object(ctx, Call{Operation: OperationGet, Kind: kind, Name: name})
}

// Create writes an object that must not exist; if it does, the error is ConflictError with the object.
func (c *Client) Create(ctx context.Context, kind, name string, spec json.RawMessage) (Object, error) {
	return c.object(ctx, Call{Operation: OperationCreate, Kind: kind, Name: name, Spec: spec})
}

// Replace writes an object that must exist, with the given revision unless that is 0.
func (c *Client) Replace(ctx context.Context, kind, name string, revision uint64, spec json.RawMessage) (Object, error) {
	return c.object(ctx, Call{Operation: OperationReplace, Kind: kind, Name: name, Revision: revision, Spec: spec})
}

// Put writes an object whether it exists or not.
func (c *Client) Put(ctx context.Context, kind, name string, spec json.RawMessage) (Object, error) {
	o, err := c.Replace(ctx, kind, name, 0, spec)
	var missing *NotFoundError
	if !errors.As(err, &missing) {
		return o, err
	}
	return c.Create(ctx, kind, name, spec)
}

// Delete removes an object with the given revision, or with any if that is 0. An absent object is no error.
func (c *Client) Delete(ctx context.Context, kind, name string, revision uint64) error {
	_, err := c.do(ctx, Call{Operation: OperationDelete, Kind: kind, Name: name, Revision: revision}, callTimeout)
	var missing *NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	return err
}

// List reads all objects of a kind, page by page, and the revision to watch from.
func (c *Client) List(ctx context.Context, kind string) (Page, error) {
	var all Page
	after := ""
	for range maxPages {
		p, err := c.page(ctx, Call{Operation: OperationList, Kind: kind, After: after}, callTimeout)
		if err != nil {
			return Page{}, err
		}
		if all.Revision == 0 {
			all.Revision = p.Revision
		}
		all.Objects = append(all.Objects, p.Objects...)
		if !p.More || len(p.Objects) == 0 {
			return all, nil
		}
		after = p.Objects[len(p.Objects)-1].Name
	}
	return all, nil
}

// Watch waits for changes of a kind after a revision, for at most wait; ExpiredError means that a listing is needed.
func (c *Client) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (Page, error) {
	call := Call{Operation: OperationWatch, Kind: kind, Revision: revision, Wait: wait}
	return c.page(ctx, call, wait+WatchMargin)
}

func (c *Client) object(ctx context.Context, call Call) (Object, error) {
	body, err := c.do(ctx, call, callTimeout)
	if err != nil {
		return Object{}, err
	}
	o, err := c.Dialect.DecodeObject(call.Kind, body)
	if err != nil {
		return Object{}, unavailable(call, err)
	}
	return o, nil
}

func (c *Client) page(ctx context.Context, call Call, timeout time.Duration) (Page, error) {
	body, err := c.do(ctx, call, timeout)
	if err != nil {
		return Page{}, err
	}
	p, err := c.Dialect.DecodePage(call.Kind, body)
	if err != nil {
		return Page{}, unavailable(call, err)
	}
	return p, nil
}

func (c *Client) do(ctx context.Context, call Call, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	method, target, body, err := c.Dialect.Encode(call)
	if err != nil {
		return nil, unavailable(call, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.Base+target, bytes.NewReader(body))
	if err != nil {
		return nil, unavailable(call, err)
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		c.count(call, 0)
		return nil, unavailable(call, err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	c.count(call, response.StatusCode)
	if err != nil {
		return nil, unavailable(call, err)
	}
	return answer, c.failure(call, response.StatusCode, answer)
}

func (c *Client) failure(call Call, status int, answer []byte) error {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return errors.WithStack(&NotFoundError{Kind: call.Kind, Name: call.Name})
	case status == http.StatusConflict:
		held, err := c.Dialect.DecodeObject(call.Kind, answer)
		if err != nil {
			held = Object{Kind: call.Kind, Name: call.Name}
		}
		return errors.WithStack(&ConflictError{Held: held})
	case status == http.StatusGone:
		return errors.WithStack(&ExpiredError{Kind: call.Kind, Revision: call.Revision})
	}
	return unavailable(call, &StatusError{Status: status})
}

func (c *Client) count(call Call, status int) {
	if c.OnCall != nil {
		c.OnCall(call.Operation, status)
	}
}

func unavailable(call Call, cause error) error {
	return errors.WithStack(&UnavailableError{Kind: call.Kind, Name: call.Name, Cause: cause})
}
