package peer

import (
	"context"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

// handleExchange replies with the digest of this instance's set, and with the partition digests if the sets differ.
func (g *Gossip) handleExchange(ctx context.Context, r ExchangeRequest) (ExchangeReply, error) {
	var reply ExchangeReply
	ok := g.Do(ctx, func(now time.Time) {
		g.detector.RecordContact(r.Instance, now)
		g.openAgentLink(ctx, r.Instance)
		reply.ContactAgesMs = g.detector.ContactAges(r.Suspects, now)
		if g.Plan != nil {
			reply.PlanVersion = g.Plan.Version()
			g.observePlanVersion(r.Instance, r.PlanVersion)
		}
		g.observeEra(r.StoreEra)
		reply.StoreEra = g.storeEra()
		reply.EvacuationsKnown = g.evacuationsKnown
		reply.Digest = g.set.Digest()
		if reply.Digest != r.Digest {
			reply.PartitionDigests = g.set.PartitionDigests()
		}
	})
	if !ok {
		return reply, ctx.Err()
	}
	return reply, nil
}

// handleReconcile replies with the differences between this instance's set and the summaries of the requester.
func (g *Gossip) handleReconcile(ctx context.Context, r ReconcileRequest) (ReconcileReply, error) {
	var reply ReconcileReply
	if !g.Do(ctx, func(time.Time) { reply.Facts, reply.Wanted = g.set.Diff(r.Partitions, r.Summaries) }) {
		return reply, ctx.Err()
	}
	return reply, nil
}

// observePlanVersion passes on the plan version of a known member with the member's control address.
func (g *Gossip) observePlanVersion(instance string, version uint64) {
	if m, known := g.members[instance]; known {
		g.Plan.ObserveVersion(version, m.Control)
	}
}

// openAgentLink opens a link to an agent that exchanges with this entry, so that facts can be pushed to the agent.
func (g *Gossip) openAgentLink(ctx context.Context, instance string) {
	if m, known := g.members[instance]; known && m.Role == facts.RoleAgent {
		g.link(context.WithoutCancel(ctx), m.Control)
	}
}

// handleSpread accepts the facts, the plan version and the era that a peer pushes.
func (g *Gossip) handleSpread(ctx context.Context, r SpreadRequest) (SpreadReply, error) {
	ok := g.Do(ctx, func(now time.Time) {
		if g.Plan != nil && r.From.IsValid() {
			g.Plan.ObserveVersion(r.PlanVersion, r.From)
		}
		g.observeEra(r.StoreEra)
		g.Accept(now, r.Facts)
	})
	if !ok {
		return SpreadReply{}, ctx.Err()
	}
	return SpreadReply{}, nil
}
