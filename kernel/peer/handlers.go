package peer

import (
	"context"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

func (s *Spread) handleExchange(ctx context.Context, r ExchangeRequest) (ExchangeReply, error) {
	var reply ExchangeReply
	ok := s.Do(ctx, func(now time.Time) {
		s.detector.RecordContact(r.Instance, now)
		s.openAgentLink(ctx, r.Instance)
		reply.ContactAgesMs = s.detector.ContactAges(r.Suspects, now)
		if s.Plan != nil {
			reply.PlanVersion = s.Plan.Version()
			s.observePlan(r.Instance, r.PlanVersion)
		}
		reply.Digest = s.set.Digest()
		if reply.Digest != r.Digest {
			reply.PartitionDigests = s.set.PartitionDigests()
		}
	})
	if !ok {
		return reply, ctx.Err()
	}
	return reply, nil
}

func (s *Spread) handleReconcile(ctx context.Context, r ReconcileRequest) (ReconcileReply, error) {
	var reply ReconcileReply
	if !s.Do(ctx, func(time.Time) { reply.Facts, reply.Wanted = s.set.Diff(r.Partitions, r.Summaries) }) {
		return reply, ctx.Err()
	}
	return reply, nil
}

func (s *Spread) observePlan(instance string, version uint64) {
	for _, m := range s.view.Load().Members {
		if m.Instance == instance {
			s.Plan.ObserveVersion(version, m.Control)
			return
		}
	}
}

// openAgentLink opens a link to an agent that exchanges with this entry, so that facts can be pushed to the agent.
func (s *Spread) openAgentLink(ctx context.Context, instance string) {
	for _, m := range s.view.Load().Members {
		if m.Instance == instance && m.Role == facts.RoleAgent {
			s.link(context.WithoutCancel(ctx), m.Control)
		}
	}
}

func (s *Spread) handleSpread(ctx context.Context, r SpreadRequest) (SpreadReply, error) {
	ok := s.Do(ctx, func(now time.Time) {
		if s.Plan != nil && r.From.IsValid() {
			s.Plan.ObserveVersion(r.PlanVersion, r.From)
		}
		s.Accept(now, r.Facts)
	})
	if !ok {
		return SpreadReply{}, ctx.Err()
	}
	return SpreadReply{}, nil
}
