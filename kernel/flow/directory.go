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

// Host is an agent with its target, as the membership tells.
type Host struct {
	Instance   string
	DataCentre string
	Service    string
	Packets    netip.AddrPort
	// Target names the target's incarnation.
	Target facts.Target
	// Placeable says that new flows may go there.
	Placeable bool
	// Down says that the others took the instance's silence for its death.
	Down bool

	seed uint64
}

// Group holds the hosts of one service that may hold flows, ordered by instance.
type Group struct {
	Hosts []*Host
	// Digest is equal for equal sets of target incarnations.
	Digest uint64
}

// Directory is an immutable picture of all hosts. The zero value is empty.
type Directory struct {
	byService map[string]*Group
	byAddress map[netip.Addr]*Host
	placeable int
}

// NewDirectory builds the directory of the members.
func NewDirectory(members []facts.Member) *Directory {
	d := &Directory{byService: map[string]*Group{}, byAddress: map[netip.Addr]*Host{}}
	for _, m := range members {
		if !holdsFlows(m) {
			continue
		}
		h := &Host{
			Instance:   m.Instance,
			DataCentre: m.DataCentre,
			Service:    m.Service,
			Packets:    m.Packets,
			Down:       m.State == facts.StateDown,
			seed:       xxhash.Sum64String(m.Instance),
		}
		if m.Target != nil {
			h.Target = *m.Target
			h.Placeable = m.State == facts.StateServing && m.Target.State == facts.TargetReady
		}
		d.add(h)
	}
	for _, g := range d.byService {
		slices.SortFunc(g.Hosts, func(a, b *Host) int { return strings.Compare(a.Instance, b.Instance) })
		g.Digest = digestOf(g.Hosts)
	}
	return d
}

// holdsFlows counts agents that have just started, too: their targets may have lived on. An instance that is down may
// have been cut off from the others only.
func holdsFlows(m facts.Member) bool {
	return m.Role == facts.RoleAgent && m.State != facts.StateLeft && (m.Target == nil || m.Target.State != facts.TargetGone)
}

func (d *Directory) add(h *Host) {
	g := d.byService[h.Service]
	if g == nil {
		g = &Group{}
		d.byService[h.Service] = g
	}
	g.Hosts = append(g.Hosts, h)
	d.byAddress[h.Packets.Addr()] = h
	if h.Placeable {
		d.placeable++
	}
}

func digestOf(hosts []*Host) uint64 {
	x := xxhash.New()
	for _, h := range hosts {
		_, _ = x.WriteString(h.Instance + "\x00" + h.Target.ID + "\x00" + strconv.FormatInt(h.Target.StartedMs, 10) + "\x00")
	}
	return x.Sum64()
}

// Group returns the hosts of a service, or nil.
func (d *Directory) Group(service string) *Group {
	return d.byService[service]
}

// At returns the host with a packet address, or nil.
func (d *Directory) At(a netip.Addr) *Host {
	return d.byAddress[a]
}

// Placeable counts the hosts that take new flows.
func (d *Directory) Placeable() int {
	return d.placeable
}

// rank orders the hosts for a flow by rendezvous hashing, the highest first; into is reused.
func (g *Group) rank(f gue.Flow, into []ranked) []ranked {
	into = into[:0]
	key := f.Hash(gue.Key{})
	for _, h := range g.Hosts {
		into = append(into, ranked{host: h, score: mix(key ^ h.seed)})
	}
	slices.SortFunc(into, func(a, b ranked) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return strings.Compare(a.host.Instance, b.host.Instance)
	})
	return into
}

type ranked struct {
	host  *Host
	score uint64
}

// mix is the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
