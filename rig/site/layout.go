// Package site runs entries and agents as processes among emulated routers, callers, targets and a store on loopback
// addresses, injects faults, and checks from what callers and targets observe that invariants hold.
package site

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
)

// Ports of every emulated machine. Each machine has its own address.
const (
	portPackets       = 17000
	portControl       = 17001
	portAdmin         = 17002
	portReadiness     = 17003
	portTarget        = 17004
	portOutbound      = 17005
	portAnnouncements = 17006
)

// Last octets of the machines' addresses. The index of an entry, agent or caller is added to the first octet of its kind.
const (
	storeHost       = 1
	firstEntryHost  = 10
	firstAgentHost  = 60
	firstCallerHost = 160
)

const (
	// networkCount is the number of loopback networks, 127.n.m.0/24. Each site uses one, so sites can run in parallel.
	networkCount      = 100 * 250
	firstNetworkOctet = 100
)

const (
	// latencyObjective is the latency objective of the routes, and meanServiceTime the mean service time of a request.
	latencyObjective = 150 * time.Millisecond
	meanServiceTime  = 20 * time.Millisecond
	// targetSlots is the number of requests that a target runs at once.
	targetSlots = 4
	// idleTimeout is longer than a run, so that no flow is discarded as idle.
	idleTimeout = time.Minute
)

// services lists the services of a site. Each has a route; the extra route leads to the first service.
var services = []string{"orders", "drawings"}

// network is the loopback network of a site.
type network struct{ prefix [2]byte }

// NoNetworkError reports that no loopback network is free for a site.
type NoNetworkError struct{}

// Error implements the error interface.
func (*NoNetworkError) Error() string {
	return "no free loopback network for a site"
}

// freeNetwork returns the first network, counted from the given one, in which the store's address is free.
func freeNetwork(first int) (network, error) {
	for i := range networkCount {
		n := (first + i) % networkCount
		candidate := network{prefix: [2]byte{byte(firstNetworkOctet + n/250), byte(1 + n%250)}}
		l, err := net.Listen("tcp4", candidate.address(storeHost, portControl).String())
		if err == nil {
			_ = l.Close()
			return candidate, nil
		}
	}
	return network{}, &NoNetworkError{}
}

// address returns the address of the machine with the given last octet.
func (n network) address(host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.prefix[0], n.prefix[1], byte(host)}), uint16(port))
}

// routeAddress returns the address of the i-th route. The extra route follows the routes of the services.
func routeAddress(i int) gue.Endpoint {
	return gue.Endpoint{Address: [4]byte{198, 51, 100, byte(1 + i)}, Port: 443}
}

// newPlan returns a plan with a route for each service and, if extra is set, the extra route.
func newPlan(version uint64, extra bool) *plan.Plan {
	p := &plan.Plan{Version: version, IdleTimeout: idleTimeout}
	for i, s := range services {
		p.Routes = append(p.Routes, plan.Route{
			Name: s, Address: routeAddress(i), Shares: []plan.Share{{Service: s, Weight: 1}}, Objective: latencyObjective,
		})
	}
	if extra {
		p.Routes = append(p.Routes, plan.Route{
			Name: "extra", Address: routeAddress(len(services)), Shares: []plan.Share{{Service: services[0], Weight: 1}}, Objective: latencyObjective,
		})
	}
	p.Index()
	return p
}

// entryName returns the instance name of the i-th entry.
func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// agentName returns the instance name of the i-th agent.
func agentName(i int) string { return fmt.Sprintf("agent-%d", i) }

// dataCentre returns the data centre of the i-th entry. They alternate between two data centres.
func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%2) }

// agentDataCentre returns the data centre of the i-th agent. The agents of each service alternate between the data centres,
// so that a service has hosts left when one of them is evacuated.
func agentDataCentre(i int) string { return dataCentre(i / len(services)) }
