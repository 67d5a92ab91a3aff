package caller

import (
	"context"
	"net/netip"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/facts"
	"github.com/coltsfootline/coltsfootline/kernel/services"
)

const (
	announceTimeout   = 2 * time.Second
	announceBatchSize = 1024
)

// announcer reports the flows that this agent holds to the agents that own them under a route.
type announcer struct {
	terminator *Terminator
	route      *services.Route
}

func (a *announcer) run(ctx context.Context) {
	for m, held := range a.terminator.heldFlowsByOwner(a.route) {
		for len(held) > 0 && ctx.Err() == nil {
			n := min(len(held), announceBatchSize)
			a.sendBatch(ctx, m.Control, held[:n])
			held = held[n:]
		}
	}
}

// sendBatch announces a batch of flows to one owner. It does not retry: an owner that misses an announcement locates a
// flow when the next packet of it arrives.
func (a *announcer) sendBatch(ctx context.Context, to netip.AddrPort, held []FlowEpoch) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var reply AnnounceReply
	request := AnnounceRequest{From: a.terminator.Self.Packets, Flows: held}
	if err := a.terminator.Peers.Call(ctx, to, MethodAnnounce, request, &reply); err != nil {
		events.LocateFailed.Log(a.terminator.Logger, events.ErrorAttr(err))
	}
}

// heldFlowsByOwner returns the open flows of this agent, grouped by the other agents that own them under a route.
func (t *Terminator) heldFlowsByOwner(r *services.Route) map[facts.Member][]FlowEpoch {
	perOwner := map[facts.Member][]FlowEpoch{}
	for _, f := range t.flows.all() {
		o, ok := r.OwnerOf(f.hash)
		if !ok || o.Packets == t.Self.Packets {
			continue
		}
		f.mutex.Lock()
		if f.state == stateLocal && f.closedAt.IsZero() {
			perOwner[o] = append(perOwner[o], FlowEpoch{Flow: f.key, Epoch: f.epoch})
		}
		f.mutex.Unlock()
	}
	return perOwner
}

// Announce records that another agent holds the given flows.
func (t *Terminator) Announce(_ context.Context, r AnnounceRequest) (AnnounceReply, error) {
	if r.From == t.Self.Packets {
		return AnnounceReply{}, nil
	}
	now := time.Now()
	for _, e := range r.Flows {
		f, found := t.flows.findOrAdd(e.Flow, e.Flow.Hash(t.Keys.Hash))
		if found {
			f.mutex.Lock()
		}
		t.setHolder(f, found, r.From, e.Epoch, now)
		f.mutex.Unlock()
	}
	return AnnounceReply{}, nil
}

// setHolder marks a locked flow as held by another agent, unless this agent holds it or knows of a later epoch.
func (t *Terminator) setHolder(f *flow, found bool, holder netip.AddrPort, epoch uint64, now time.Time) {
	if found && f.finished() {
		t.recycleFinished(f)
	}
	keep := found && (f.state != stateRemote && f.state != statePending || f.epoch > epoch)
	if keep || holder == t.Self.Packets {
		return
	}
	f.state = stateRemote
	f.peer = holder
	f.epoch = epoch
	f.lastSeen = now
	t.forwardBuffered(f)
}
