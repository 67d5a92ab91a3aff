package site

import (
	"context"
	"net/netip"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Mode is a disruption that a link applies to its connections.
type Mode int

// Modes of a link.
const (
	// ModePass forwards everything unchanged.
	ModePass Mode = iota
	// ModeDelay delays responses by 300 ms.
	ModeDelay
	// ModeReset closes connections with a TCP reset.
	ModeReset
	// ModeSilent drops the data of both directions and keeps connections open.
	ModeSilent
	// ModeOneWay forwards requests and drops responses.
	ModeOneWay
	modeCount
)

var modeNames = [modeCount]string{"pass", "delay", "reset", "silent", "oneWay"}

// String returns the name of the mode as it appears in the list of injected faults.
func (m Mode) String() string {
	return modeNames[m]
}

// toxics lists the toxiproxy toxics (injected faults) of each mode as JSON.
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

// Link is a TCP proxy in front of an address that one process calls.
type Link struct {
	proxy *toxiproxy.Proxy
}

// newLink starts a link that listens on an address of the calling process until ctx ends.
func newLink(ctx context.Context, listen, upstream netip.AddrPort) (*Link, error) {
	// toxiproxy logs an error when the upstream process is down. The logs of the processes already show that.
	logrus.SetLevel(logrus.FatalLevel)
	p := toxiproxy.NewProxy()
	p.Name = listen.Addr().String() + ">" + upstream.String()
	p.Listen, p.Upstream = listen.String(), upstream.String()
	if err := p.Start(); err != nil {
		return nil, errors.WithStack(err)
	}
	context.AfterFunc(ctx, p.Stop)
	return &Link{proxy: p}, nil
}

// Address returns the address on which the link listens.
func (l *Link) Address() string {
	return l.proxy.Listen
}

// SetMode sets the mode of the link. It applies to data sent from now on, also on open connections.
func (l *Link) SetMode(m Mode) error {
	l.proxy.Toxics.ResetToxics()
	for _, t := range toxics[m] {
		if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(t)); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
