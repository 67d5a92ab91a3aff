// Package site runs entries and agents as processes between emulated routers, callers, targets and a store, on loopback
// addresses, and breaks what a seed or a scenario names. What callers and targets see decides whether promises hold.
package site

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// The ports that every emulated machine uses, each machine at an address of its own.
const (
	portPackets       = 17000
	portControl       = 17001
	portAdmin         = 17002
	portReadiness     = 17003
	portTarget        = 17004
	portOutbound      = 17005
	portAnnouncements = 17006
)

// The last octets of the machines' addresses.
const (
	storeHost   = 1
	firstEntry  = 10
	firstAgent  = 60
	firstCaller = 160
)

const (
	// networks is how many sites may stand beside each other, each in a network 127.n.m.0/24.
	networks   = 100 * 250
	firstOctet = 100
)

const (
	// objective is the routes' latency objective, and work the mean time that a request takes.
	objective = 150 * time.Millisecond
	work      = 20 * time.Millisecond
	slots     = 4
	// idleTimeout outlasts a run, so that no flow is discarded for idleness.
	idleTimeout = time.Minute
)

// services are the services of a site, each with a route; the last of the routes comes and goes.
var services = []string{"orders", "drawings"}

// network is the addresses of a site.
type network struct{ prefix [2]byte }

// NoNetworkError reports that no network is free for a site.
type NoNetworkError struct{}

// Error says what was looked for.
func (*NoNetworkError) Error() string {
	return "no free loopback network for a site"
}

// freeNetwork finds a network where nothing listens yet, from a start on.
func freeNetwork(start int) (network, error) {
	for i := range networks {
		n := (start + i) % networks
		w := network{prefix: [2]byte{byte(firstOctet + n/250), byte(1 + n%250)}}
		l, err := net.Listen("tcp4", w.at(storeHost, portControl).String())
		if err == nil {
			_ = l.Close()
			return w, nil
		}
	}
	return network{}, &NoNetworkError{}
}

func (n network) at(host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.prefix[0], n.prefix[1], byte(host)}), uint16(port))
}

// routeAddress is where callers reach a service.
func routeAddress(i int) gue.Endpoint {
	return gue.Endpoint{Address: [4]byte{198, 51, 100, byte(1 + i)}, Port: 443}
}

// planOf is a plan with a route a service and, with extra, one route more.
func planOf(version uint64, extra bool) *plan.Plan {
	p := &plan.Plan{Version: version, IdleTimeout: idleTimeout}
	for i, s := range services {
		p.Routes = append(p.Routes, plan.Route{
			Name: s, Address: routeAddress(i), Shares: []plan.Share{{Service: s, Weight: 1}}, Objective: objective,
		})
	}
	if extra {
		p.Routes = append(p.Routes, plan.Route{
			Name: "extra", Address: routeAddress(len(services)), Shares: []plan.Share{{Service: services[0], Weight: 1}}, Objective: objective,
		})
	}
	p.Index()
	return p
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func agentName(i int) string { return fmt.Sprintf("agent-%d", i) }

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%2) }
