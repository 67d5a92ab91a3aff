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

// Route maps the flows of one service to the agents that own them. It is immutable.
type Route struct {
	Service Service
	// Version is a hash of the instance names of Owners. Equal sets of owners have equal versions on all instances.
	Version uint64
	// Owners are the agents that receive new flows, sorted by instance.
	Owners []facts.Member
	// Members are all known agents of the service that have not left, sorted by instance.
	Members []facts.Member
	// OwnerAddresses are the packet addresses of Owners, in the same order.
	OwnerAddresses []*net.UDPAddr

	table table.Table
}

// OwnerIndex returns the index in Owners of the agent that owns the flow hash, or -1 if there are no owners.
func (r *Route) OwnerIndex(hash uint64) int {
	return r.table.Lookup(hash)
}

// OwnerOf returns the agent that owns the flow hash. It returns false if there are no owners.
func (r *Route) OwnerOf(hash uint64) (facts.Member, bool) {
	i := r.table.Lookup(hash)
	if i < 0 {
		return facts.Member{}, false
	}
	return r.Owners[i], true
}

// MemberByAddress returns the agent of the service with the given packet address. It returns false if there is none.
func (r *Route) MemberByAddress(packets netip.AddrPort) (facts.Member, bool) {
	for _, m := range r.Members {
		if m.Packets == packets {
			return m, true
		}
	}
	return facts.Member{}, false
}

// Routes is an immutable set of routes, indexed by service address. The zero value is empty.
type Routes struct {
	byAddress map[gue.Endpoint]*Route
}

// Find returns the route of the service address, or nil if there is none.
func (r *Routes) Find(service gue.Endpoint) *Route {
	return r.byAddress[service]
}

// BuildRoutes creates the routes of all listed services. It reuses the tables of previous for services whose owners
// have not changed; previous may be nil.
func BuildRoutes(list List, members []facts.Member, build table.Builder, previous *Routes) *Routes {
	routes := &Routes{byAddress: make(map[gue.Endpoint]*Route, len(list.Services))}
	byService := map[string][]facts.Member{}
	for _, m := range members {
		if m.Role == facts.RoleAgent && m.State != facts.StateLeft {
			byService[m.Service] = append(byService[m.Service], m)
		}
	}
	for _, s := range list.Services {
		address := gue.EndpointOf(s.Address)
		var previousRoute *Route
		if previous != nil {
			previousRoute = previous.byAddress[address]
		}
		routes.byAddress[address] = buildRoute(s, byService[s.Name], build, previousRoute)
	}
	return routes
}

// buildRoute creates the route of one service. It reuses the table of previous, which may be nil, if the owners are the
// same.
func buildRoute(s Service, members []facts.Member, build table.Builder, previous *Route) *Route {
	slices.SortFunc(members, func(a, b facts.Member) int { return strings.Compare(a.Instance, b.Instance) })
	r := &Route{Service: s, Members: members, Owners: selectOwners(members)}
	names := make([]string, 0, len(r.Owners))
	for _, m := range r.Owners {
		names = append(names, m.Instance)
		r.OwnerAddresses = append(r.OwnerAddresses, net.UDPAddrFromAddrPort(m.Packets))
	}
	r.Version = hashNames(names)
	if previous != nil && previous.Version == r.Version {
		r.table = previous.table
		return r
	}
	r.table = build(names)
	return r
}

// selectOwners returns the serving agents. If there are none, it returns the draining agents, and if there are none of
// these either, the agents that are down. The last fallback keeps a service reachable if all its agents were wrongly
// marked down.
func selectOwners(members []facts.Member) []facts.Member {
	for _, state := range []facts.State{facts.StateServing, facts.StateDraining, facts.StateDown} {
		var selected []facts.Member
		for _, m := range members {
			if m.State == state {
				selected = append(selected, m)
			}
		}
		if len(selected) > 0 {
			return selected
		}
	}
	return nil
}

// hashNames hashes the names in order. A zero byte after each name keeps their boundaries distinct.
func hashNames(names []string) uint64 {
	d := xxhash.New()
	for _, n := range names {
		_, _ = d.WriteString(n + "\x00")
	}
	return d.Sum64()
}
