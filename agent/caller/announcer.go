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
	announceTimeout = 2 * time.Second
	announceBatch   = 1024
)

// announcer tells the owners under a route which of their flows this agent holds.
type announcer struct {
	owner *Terminator
	route *services.Route
}

func (a *announcer) run(ctx context.Context) {
	for m, held := range a.owner.heldFor(a.route) {
		for len(held) > 0 && ctx.Err() == nil {
			n := min(len(held), announceBatch)
			a.send(ctx, m.Control, held[:n])
			held = held[n:]
		}
	}
}

// send loses nothing for good when it fails: the new owner locates flows that it doesn't know.
func (a *announcer) send(ctx context.Context, to netip.AddrPort, held []FlowEpoch) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var reply AnnounceReply
	request := AnnounceRequest{From: a.owner.Self.Packets, Flows: held}
	if err := a.owner.Peers.Call(ctx, to, MethodAnnounce, request, &reply); err != nil {
		events.LocateFailed.Log(a.owner.Logger, events.Failure(err))
	}
}

func (t *Terminator) heldFor(r *services.Route) map[facts.Member][]FlowEpoch {
	perOwner := map[facts.Member][]FlowEpoch{}
	for _, f := range t.flows.all() {
		o, ok := r.OwnerOf(f.hash)
		if !ok || o.Packets == t.Self.Packets {
			continue
		}
		f.mutex.Lock()
		if f.state == stateLocal && f.closed.IsZero() {
			perOwner[o] = append(perOwner[o], FlowEpoch{Flow: f.key, Epoch: f.epoch})
		}
		f.mutex.Unlock()
	}
	return perOwner
}

// Announce notes which flows another agent holds.
func (t *Terminator) Announce(_ context.Context, r AnnounceRequest) (AnnounceReply, error) {
	now := time.Now()
	for _, e := range r.Flows {
		f, found := t.flows.findOrAdd(e.Flow, e.Flow.Hash(t.Keys.Hash))
		if found {
			f.mutex.Lock()
		}
		t.noteHolder(f, found, r.From, e.Epoch, now)
		f.mutex.Unlock()
	}
	return AnnounceReply{}, nil
}

func (t *Terminator) noteHolder(f *flow, found bool, holder netip.AddrPort, epoch uint64, now time.Time) {
	if found && f.finished() {
		t.recycle(f)
	}
	known := found && (f.state != stateForeign && f.state != statePending || f.epoch > epoch)
	if known || holder == t.Self.Packets {
		return
	}
	f.state = stateForeign
	f.peer = holder
	f.epoch = epoch
	f.lastSeen = now
	t.forwardHeld(f)
}
