package services

import (
	"net"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/table"
)

// Route is how one service's packets find their agents. It is immutable.
type Route struct {
	Service Service
	// Version is equal for equal sets of owners.
	Version uint64
	// Owners are the agents that new flows go to, ordered by instance.
	Owners []facts.Member
	// Members are all agents of the service that were ever seen and have not left, ordered by instance.
	Members []facts.Member
	// Addresses are the packet addresses of Owners.
	Addresses []*net.UDPAddr

	table table.Table
}

// Owner returns the index in Owners of a flow hash's owner, or -1 when there is none.
func (r *Route) Owner(hash uint64) int {
	return r.table.Lookup(hash)
}

// OwnerOf returns the owner of a flow hash.
func (r *Route) OwnerOf(hash uint64) (facts.Member, bool) {
	i := r.table.Lookup(hash)
	if i < 0 {
		return facts.Member{}, false
	}
	return r.Owners[i], true
}

// Member finds an agent of the service by its packet address.
func (r *Route) Member(packets netip.AddrPort) (facts.Member, bool) {
	for _, m := range r.Members {
		if m.Packets == packets {
			return m, true
		}
	}
	return facts.Member{}, false
}

// Routes finds routes by service address. It is immutable; the zero value has no route.
type Routes struct {
	byAddress map[gue.Endpoint]*Route
}

// Find returns the route of a service address, or nil.
func (r *Routes) Find(service gue.Endpoint) *Route {
	return r.byAddress[service]
}

// Build derives the routes from services and members, taking unchanged ones over from previous, which may be nil.
func Build(list List, members []facts.Member, build table.Builder, previous *Routes) *Routes {
	routes := &Routes{byAddress: make(map[gue.Endpoint]*Route, len(list.Services))}
	byService := map[string][]facts.Member{}
	for _, m := range members {
		if m.Role == facts.RoleAgent && m.State != facts.StateLeft {
			byService[m.Service] = append(byService[m.Service], m)
		}
	}
	for _, s := range list.Services {
		address := gue.EndpointOf(s.Address)
		var old *Route
		if previous != nil {
			old = previous.byAddress[address]
		}
		routes.byAddress[address] = buildRoute(s, byService[s.Name], build, old)
	}
	return routes
}

func buildRoute(s Service, members []facts.Member, build table.Builder, old *Route) *Route {
	slices.SortFunc(members, func(a, b facts.Member) int { return strings.Compare(a.Instance, b.Instance) })
	r := &Route{Service: s, Members: members, Owners: owners(members)}
	names := make([]string, 0, len(r.Owners))
	for _, m := range r.Owners {
		names = append(names, m.Instance)
		r.Addresses = append(r.Addresses, net.UDPAddrFromAddrPort(m.Packets))
	}
	r.Version = versionOf(names)
	if old != nil && old.Version == r.Version {
		r.table = old.table
		return r
	}
	r.table = build(names)
	return r
}

// owners prefers serving agents; with none left it falls back to draining ones, then to those marked down,
// so that a wrong verdict about all of them never empties a service.
func owners(members []facts.Member) []facts.Member {
	for _, state := range []facts.State{facts.StateServing, facts.StateDraining, facts.StateDown} {
		var chosen []facts.Member
		for _, m := range members {
			if m.State == state {
				chosen = append(chosen, m)
			}
		}
		if len(chosen) > 0 {
			return chosen
		}
	}
	return nil
}

func versionOf(names []string) uint64 {
	d := xxhash.New()
	for _, n := range names {
		_, _ = d.WriteString(n + "\x00")
	}
	return d.Sum64()
}
