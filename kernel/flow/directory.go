package flow

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// Host is an agent and its target, as known from the membership.
type Host struct {
	Instance   string
	DataCentre string
	Service    string
	// Packets is the address at which the agent receives packets.
	Packets netip.AddrPort
	// Target is the target's latest known state. It is zero if the target is unknown.
	Target facts.Target
	// Placeable reports whether new flows may be placed on the host.
	Placeable bool
	// Evacuated reports whether the host's data centre is evacuated.
	Evacuated bool
	// Down reports whether the other members consider the instance dead because it does not respond.
	Down bool
	// SynTrailer reports whether the agent takes a trailer on SYNs.
	SynTrailer bool
	// RouteQuestions reports whether the agent understands questions about all flows of a route.
	RouteQuestions bool
	// Health is what the agent says of the target's answers, or nil.
	Health *facts.Health

	nameHash uint64
}

// Group is the set of hosts of one service that may hold flows, sorted by instance name.
type Group struct {
	Hosts []*Host
	// Placeable is the number of hosts that new flows may be placed on.
	Placeable int
	// evacuated is the number of hosts in evacuated data centres, and available the number of hosts in others that are not
	// down. Both are 0 while the evacuations are unknown.
	evacuated, available int
	// Digest is a hash of the hosts and their targets' incarnations. Groups with equal digests are taken to be equal.
	Digest uint64
	// HostsDigest is a hash of the hosts alone.
	HostsDigest uint64
}

// Directory is an immutable snapshot of all hosts. The zero value is empty.
type Directory struct {
	byService map[string]*Group
	byAddress map[netip.Addr]*Host
	// placeable and evacuated are the sums over all groups.
	placeable, evacuated int
	// Conflicts holds the agents that are left out because another one holds their address.
	Conflicts []facts.AddressConflict
	// Listed is set if the members include all that the store held at some time since the instance's start.
	Listed bool
}

// NewDirectory returns the directory of the given members. Of several agents with one packet address, it contains only
// the one that holds the address.
func NewDirectory(members []facts.Member) *Directory {
	return NewDirectoryWithEvacuations(members, facts.Evacuations{})
}

// NewDirectoryWithEvacuations returns the directory of the given members. No host of an evacuated data centre is
// placeable, and none at all while the evacuations are unknown. Hosts that are not placeable may still hold flows, so the
// digests of the groups do not depend on evacuations.
func NewDirectoryWithEvacuations(members []facts.Member, evacuations facts.Evacuations) *Directory {
	d := &Directory{byService: map[string]*Group{}, byAddress: map[netip.Addr]*Host{}}
	var holders map[netip.Addr]facts.Member
	holders, d.Conflicts = facts.ResolveAddresses(members)
	for _, m := range members {
		if !mayHoldFlows(m) || holders[m.Packets.Addr()].Instance != m.Instance {
			continue
		}
		h := &Host{
			Instance:       m.Instance,
			DataCentre:     m.DataCentre,
			Service:        m.Service,
			Packets:        m.Packets,
			Down:           m.State == facts.StateDown,
			SynTrailer:     m.SynTrailer,
			RouteQuestions: m.RouteQuestions,
			Health:         m.Health,
			Evacuated:      evacuations.Active[m.DataCentre],
			nameHash:       xxhash.Sum64String(m.Instance),
		}
		if m.Target != nil {
			h.Target = *m.Target
			h.Placeable = m.State == facts.StateServing && m.Target.State == facts.TargetReady
		}
		if !evacuations.Unknown {
			d.countAvailability(h)
		}
		h.Placeable = h.Placeable && !h.Evacuated && !evacuations.Unknown
		d.add(h)
	}
	for _, g := range d.byService {
		slices.SortFunc(g.Hosts, func(a, b *Host) int { return strings.Compare(a.Instance, b.Instance) })
		g.Digest, g.HostsDigest = groupDigest(g.Hosts), hostsDigest(g.Hosts)
	}
	return d
}

// mayHoldFlows reports whether a member may hold flows. This includes agents that have just started, since their
// targets may have kept running, and instances that are down, since they may only be partitioned from the other
// members.
func mayHoldFlows(m facts.Member) bool {
	return m.Role == facts.RoleAgent && m.State != facts.StateLeft && (m.Target == nil || m.Target.State != facts.TargetGone)
}

// groupOf returns the group of a service, which it creates if needed.
func (d *Directory) groupOf(service string) *Group {
	g := d.byService[service]
	if g == nil {
		g = &Group{}
		d.byService[service] = g
	}
	return g
}

// countAvailability counts a host for Group.onlyEvacuated.
func (d *Directory) countAvailability(h *Host) {
	g := d.groupOf(h.Service)
	switch {
	case h.Evacuated:
		g.evacuated++
		d.evacuated++
	case !h.Down:
		g.available++
	}
}

// onlyEvacuated reports whether new flows can't be placed because the hosts are in evacuated data centres. Hosts elsewhere
// that start or drain may soon take flows, so that SYNs can wait for them.
func (g *Group) onlyEvacuated() bool {
	return g.evacuated > 0 && g.available == 0
}

func (d *Directory) add(h *Host) {
	g := d.groupOf(h.Service)
	g.Hosts = append(g.Hosts, h)
	d.byAddress[h.Packets.Addr()] = h
	if h.Placeable {
		g.Placeable++
		d.placeable++
	}
}

func groupDigest(hosts []*Host) uint64 {
	x := xxhash.New()
	for _, h := range hosts {
		_, _ = x.WriteString(h.Instance + "\x00" + h.Target.ID + "\x00" + strconv.FormatInt(h.Target.StartedMs, 10) + "\x00")
	}
	return x.Sum64()
}

// Group returns the hosts of a service, or nil if there are none.
func (d *Directory) Group(service string) *Group {
	return d.byService[service]
}

// HostAt returns the host that receives packets at the given address, or nil.
func (d *Directory) HostAt(a netip.Addr) *Host {
	return d.byAddress[a]
}

// PlaceableCount returns the number of hosts that new flows may be placed on.
func (d *Directory) PlaceableCount() int {
	return d.placeable
}

// EvacuatedCount returns the number of hosts in evacuated data centres.
func (d *Directory) EvacuatedCount() int {
	return d.evacuated
}

const (
	// localCandidates and remoteCandidates are how many hosts of the entry's own data centre and of others come first in
	// the order of a flow. Placement chooses among them, and a search asks them first.
	localCandidates  = 6
	remoteCandidates = 2
)

// rank orders the hosts for a flow, most likely holder first. It reuses the memory of buffer. The order follows from
// rendezvous hashing: first localCandidates hosts of the given data centre and remoteCandidates of others, then the
// rest. All entries of a data centre, which receive the packets of the same callers, get the same order.
//
// Evacuated hosts of other data centres are not among the first. If the given data centre is evacuated, maxCandidates hosts
// of others come first, because placement chooses among them, and then localCandidates of its own, which may hold older
// flows.
func (g *Group) rank(f gue.Flow, dataCentre string, buffer []rankedHost) []rankedHost {
	buffer = buffer[:0]
	key := f.Hash(gue.Key{})
	for _, h := range g.Hosts {
		buffer = append(buffer, rankedHost{host: h, score: fmix64(key ^ h.nameHash)})
	}
	slices.SortFunc(buffer, rankedHost.compare)
	remoteLimit := remoteCandidates
	if slices.ContainsFunc(g.Hosts, func(h *Host) bool { return h.Evacuated && h.DataCentre == dataCentre }) {
		remoteLimit = maxCandidates
	}
	local, remote := 0, 0
	for i := range buffer {
		r := &buffer[i]
		switch {
		case r.host.DataCentre == dataCentre:
			local++
			r.preferred = local <= localCandidates
		case !r.host.Evacuated:
			remote++
			r.preferred = remote <= remoteLimit
		}
	}
	slices.SortStableFunc(buffer, func(a, b rankedHost) int { return a.class(dataCentre) - b.class(dataCentre) })
	return buffer
}

type rankedHost struct {
	host  *Host
	score uint64
	// preferred is set for the hosts with the highest scores of the entry's data centre and of the others.
	preferred bool
}

// compare orders hosts by score, highest first.
func (r rankedHost) compare(o rankedHost) int {
	switch {
	case r.score > o.score:
		return -1
	case r.score < o.score:
		return 1
	}
	return strings.Compare(r.host.Instance, o.host.Instance)
}

// class returns the position of the host's class in the order of rank.
func (r rankedHost) class(dataCentre string) int {
	remote := r.host.DataCentre != dataCentre
	switch {
	case r.preferred && !remote && !r.host.Evacuated:
		return 0
	case r.preferred && remote:
		return 1
	case r.preferred:
		return 2
	case !remote:
		return 3
	}
	return 4
}

// fmix64 is the finalizer of MurmurHash3.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
