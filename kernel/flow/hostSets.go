package flow

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// questionFormHosts is the Mark.Value of a question that expects the digest of the hosts alone, without their targets'
	// incarnations. After a loss of power these change for most hosts, in another order at each instance.
	questionFormHosts = 1
	// hostSetRetention is how long an entry remembers the sets of hosts that it knew. It is the time that a change of the
	// membership may take to reach all agents. Sets with a host that has left are forgotten.
	hostSetRetention = 2 * time.Second
	// listingTimeout is how long denials of agents that have just started count by the entry's listing. After a loss of power
	// all agents start within 0.5 s; later, hosts may have joined of which neither knows.
	listingTimeout = 3 * time.Second
	// maxHostSets bounds the earlier sets that are remembered for a service.
	maxHostSets = 32
)

// groupChange is an entry's record of the changes of one service's hosts.
type groupChange struct {
	group *Group
	// at is when the service last got another host. It is zero if all hosts were known from a listing of the store.
	at time.Time
	// earlier holds the digests of the sets of hosts that were known before, oldest first.
	earlier []earlierHosts
}

// earlierHosts is the Group.HostsDigest of a set of hosts that was known until another one replaced it.
type earlierHosts struct {
	digest uint64
	until  time.Time
}

func hostsDigest(hosts []*Host) uint64 {
	x := xxhash.New()
	for _, h := range hosts {
		_, _ = x.WriteString(h.Instance + "\x00")
	}
	return x.Sum64()
}

// updateGroupChanges records the changes of each service's hosts.
func (e *Entry) updateGroupChanges(now time.Time) {
	previous := e.groupChanges
	firstListing := e.directory.Listed && e.listedSince.IsZero()
	if firstListing {
		e.listedSince = now
	}
	e.groupChanges = make(map[string]groupChange, len(e.directory.byService))
	for name, g := range e.directory.byService {
		c, known := previous[name]
		switch {
		case !known && firstListing:
			c = groupChange{group: g}
		case !known:
			c = groupChange{group: g, at: now}
		default:
			c = c.next(now, g)
		}
		e.groupChanges[name] = c
	}
}

// next returns the record after a group has replaced c.group.
func (c groupChange) next(now time.Time, g *Group) groupChange {
	if g.HostsDigest != c.group.HostsDigest {
		if g.hasOtherHosts(c.group) {
			c.at = now
		}
		c.earlier = slices.DeleteFunc(slices.Clone(c.earlier), func(s earlierHosts) bool { return now.Sub(s.until) > hostSetRetention })
		if c.group.hasOtherHosts(g) {
			// A host that has left may return, and agents that know it again report an earlier set.
			c.earlier = nil
		} else {
			c.earlier = append(c.earlier, earlierHosts{digest: c.group.HostsDigest, until: now})
		}
		c.earlier = c.earlier[max(0, len(c.earlier)-maxHostSets):]
	}
	c.group = g
	return c
}

// hasOtherHosts reports whether the group has a host that the other group lacks.
func (g *Group) hasOtherHosts(o *Group) bool {
	i := 0
	for _, h := range g.Hosts {
		for i < len(o.Hosts) && o.Hosts[i].Instance < h.Instance {
			i++
		}
		if i == len(o.Hosts) || o.Hosts[i].Instance != h.Instance {
			return true
		}
	}
	return false
}

// knowsSameHosts reports whether the agent that sent a packet knows no host of its service that the entry does not know. It
// compares the agent's digest with the set of hosts that the entry knows and with those that it knew: these had all hosts
// that the agent knows. An agent that has just started reports no digest: it adds nothing to what the entry has just listed
// in the store.
func (e *Entry) knowsSameHosts(now time.Time, hl *hostLoad, hdr *Header) bool {
	digest := hdr.Mark.Value
	if digest == 0 {
		return !e.listedSince.IsZero() && now.Sub(e.listedSince) <= listingTimeout
	}
	c, known := e.groupChanges[hl.host.Service]
	if !known {
		return false
	}
	if digest == uint32(c.group.Digest) || digest == uint32(c.group.HostsDigest) {
		return true
	}
	return slices.ContainsFunc(c.earlier, func(s earlierHosts) bool {
		return uint32(s.digest) == digest && now.Sub(s.until) <= hostSetRetention
	})
}
