package site

import (
	"context"
	"net/netip"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Mode is what a link does to its connections.
type Mode int

// The modes.
const (
	ModePass Mode = iota
	// ModeDelay holds answers back for 300 ms.
	ModeDelay
	// ModeReset ends connections with a reset.
	ModeReset
	// ModeSilent passes nothing on, in either direction.
	ModeSilent
	// ModeOneWay passes calls on, but no answers.
	ModeOneWay
	modeCount
)

var modeNames = [modeCount]string{"pass", "delay", "reset", "silent", "oneWay"}

// String returns the camel-case name.
func (m Mode) String() string {
	return modeNames[m]
}

// toxics are what the proxy library calls the effects of a mode.
var toxics = [modeCount][]string{
	ModeDelay: {`{"type":"latency","stream":"downstream","attributes":{"latency":300}}`},
	ModeReset: {
		`{"type":"reset_peer","stream":"downstream","attributes":{"timeout":0}}`,
		`{"type":"reset_peer","stream":"upstream","attributes":{"timeout":0}}`,
	},
	ModeSilent: {
		`{"type":"timeout","stream":"downstream","attributes":{"timeout":0}}`,
		`{"type":"timeout","stream":"upstream","attributes":{"timeout":0}}`,
	},
	ModeOneWay: {`{"type":"timeout","stream":"downstream","attributes":{"timeout":0}}`},
}

// Link is a proxy before an address that one process calls.
type Link struct {
	proxy *toxiproxy.Proxy
}

// newLink listens at an address of the caller until ctx ends.
func newLink(ctx context.Context, at, upstream netip.AddrPort) (*Link, error) {
	// The library calls a process that is down an error; the logs of the processes tell as much.
	logrus.SetLevel(logrus.FatalLevel)
	p := toxiproxy.NewProxy()
	p.Name = at.Addr().String() + ">" + upstream.String()
	p.Listen, p.Upstream = at.String(), upstream.String()
	if err := p.Start(); err != nil {
		return nil, errors.WithStack(err)
	}
	context.AfterFunc(ctx, p.Stop)
	return &Link{proxy: p}, nil
}

// Address is where the link listens.
func (l *Link) Address() string {
	return l.proxy.Listen
}

// SetMode changes what happens to connections from now on.
func (l *Link) SetMode(m Mode) error {
	l.proxy.Toxics.ResetToxics()
	for _, t := range toxics[m] {
		if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(t)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
