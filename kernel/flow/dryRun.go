package flow

import (
	"maps"
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

// dryRun lets a copy of an entry decide about the SYN of one flow. The entry itself does not change, and nothing is sent.
type dryRun struct {
	now   time.Time
	flow  gue.Flow
	entry *Entry
	codec *dryCodec
}

// dryCodec is the codec of a dry run, which has no packets: Parse returns a prepared header, and the mark of the packet
// that the entry would send is kept.
type dryCodec struct {
	Codec
	header Header
	mark   Mark
}

// Parse returns the prepared header.
func (c *dryCodec) Parse([]byte) (Header, gue.Reason) { return c.header, gue.ReasonNone }

// SetMark keeps the mark.
func (c *dryCodec) SetMark(_ []byte, m Mark) { c.mark = m }

// AppendTrailer returns the SYN as it is.
func (c *dryCodec) AppendTrailer(syn []byte, _ string) []byte { return syn }

func newDryRun(e *Entry, now time.Time, f gue.Flow) *dryRun {
	d := &dryRun{now: now, flow: f, entry: new(Entry), codec: &dryCodec{Codec: e.Codec}}
	c := d.entry
	*c = *e
	c.Codec, c.Policy = d.codec, placement.CloneFlowPolicy(e.Policy)
	c.rankBuffer, c.candidateBuffer, c.loadBuffer = nil, nil, nil
	c.searches, c.questions = map[gue.Flow]*entryFlow{}, nil
	c.held, c.chances = maps.Clone(e.held), maps.Clone(e.chances)
	if r := e.chances[f.Service]; r != nil {
		copied := *r
		c.chances[f.Service] = &copied
	}
	c.ejections.services = make(map[string]*serviceEjections, len(e.ejections.services))
	for name, s := range e.ejections.services {
		// Placement counts SYNs and does not change the judge.
		copied := *s
		c.ejections.services[name] = &copied
	}
	loads := loadCopies{}
	c.hostLoads = map[string]*hostLoad{}
	if g := c.groupFor(f); g != nil {
		loads, c.hostLoads = make(loadCopies, len(g.Hosts)), make(map[string]*hostLoad, len(g.Hosts))
		for _, h := range g.Hosts {
			if hl := e.hostLoads[h.Instance]; hl != nil {
				c.hostLoads[h.Instance] = loads.of(hl)
			}
		}
	}
	c.flows, _ = simplelru.NewLRU[gue.Flow, *entryFlow](1, c.onEvict)
	if e.flows == nil {
		return d
	}
	if ef, known := e.flows.Peek(f); known {
		c.flows.Add(f, loads.flow(ef))
	} else if oldest, ef, found := e.flows.GetOldest(); found && e.flows.Len() >= maxFlows {
		// The new flow takes the place of this one, which changes the load of its holder.
		c.flows.Add(oldest, loads.flow(ef))
	}
	return d
}

// groupFor returns the hosts of the service that a new flow goes to, or nil if there are none.
func (e *Entry) groupFor(f gue.Flow) *Group {
	if e.plan == nil || e.directory == nil {
		return nil
	}
	route := e.plan.Find(f.Service)
	if route == nil {
		return nil
	}
	return e.directory.Group(route.SelectService(f))
}

// loadCopies maps the loads of an entry's hosts to their copies.
type loadCopies map[*hostLoad]*hostLoad

func (l loadCopies) of(hl *hostLoad) *hostLoad {
	if hl == nil {
		return nil
	}
	if l[hl] == nil {
		copied := *hl
		copied.flowQuestionsUntil = maps.Clone(hl.flowQuestionsUntil)
		l[hl] = &copied
	}
	return l[hl]
}

// flow returns a copy of a flow without its search, which placement does not read.
func (l loadCopies) flow(ef *entryFlow) *entryFlow {
	copied := *ef
	copied.search, copied.possibleHolders = nil, nil
	copied.holder = l.of(ef.holder)
	for i, hl := range ef.triedHosts {
		copied.triedHosts[i] = l.of(hl)
	}
	return &copied
}

// flowState returns what the copy knows of the flow, or nil.
func (d *dryRun) flowState() *entryFlow {
	ef, _ := d.entry.flows.Peek(d.flow)
	return ef
}

// receiveSYN processes the first copy of the flow's SYN and returns what the entry does with it.
func (d *dryRun) receiveSYN() Output {
	return d.receive(netip.AddrPortFrom(netip.AddrFrom4(d.flow.Caller.Address), d.entry.Self.Port()), Mark{})
}

// returnSYN processes the SYN after the host returned it as busy.
func (d *dryRun) returnSYN(hl *hostLoad) Output {
	return d.receive(hl.host.Packets, hl.assumedBusy())
}

func (d *dryRun) receive(from netip.AddrPort, m Mark) Output {
	d.codec.header = Header{Source: d.flow.Caller, Destination: d.flow.Service, SYN: true, Mark: m}
	d.codec.mark = Mark{}
	var out Output
	d.entry.HandlePacket(d.now, from, nil, &out)
	return out
}

// assumedBusy returns the mark with which the host is assumed to return a SYN for its load: by what it last reported, but
// with all slots in use.
func (hl *hostLoad) assumedBusy() Mark {
	slots := hl.room.slots
	if slots == 0 && hl.host != nil {
		slots = hl.host.Target.Slots
	}
	slots = max(slots, 1)
	return Mark{Code: CodeBusy, Value: encodeRoom(room{
		busy: max(hl.room.busy, slots), slots: slots, serviceTime: hl.meanServiceTime(), routeTime: hl.room.routeTime,
	})}
}
