package peer

import (
	"context"
	"time"

	"github.com/coltsfootline/coltsfootline/kernel/facts"
)

func (s *Spread) exchange(ctx context.Context, r ExchangeRequest) (ExchangeReply, error) {
	var reply ExchangeReply
	ok := s.Do(ctx, func(now time.Time) {
		s.detector.Heard(r.Instance, now)
		s.openLink(ctx, r.Instance)
		reply.HeardMs = s.detector.Ages(r.Suspects, now)
		if s.Plan != nil {
			reply.PlanVersion = s.Plan.Version()
			s.hearPlan(r.Instance, r.PlanVersion)
		}
		reply.Digest = s.set.Digest()
		if reply.Digest != r.Digest {
			reply.Parts = s.set.PartDigests()
		}
	})
	if !ok {
		return reply, ctx.Err()
	}
	return reply, nil
}

func (s *Spread) reconcile(ctx context.Context, r ReconcileRequest) (ReconcileReply, error) {
	var reply ReconcileReply
	if !s.Do(ctx, func(time.Time) { reply.Facts, reply.Wanted = s.set.Compare(r.Parts, r.Versions) }) {
		return reply, ctx.Err()
	}
	return reply, nil
}

func (s *Spread) hearPlan(instance string, version uint64) {
	for _, m := range s.view.Load().Members {
		if m.Instance == instance {
			s.Plan.Heard(version, m.Control)
			return
		}
	}
}

// openLink makes facts flow back to an agent that exchanges with this entry.
func (s *Spread) openLink(ctx context.Context, instance string) {
	for _, m := range s.view.Load().Members {
		if m.Instance == instance && m.Role == facts.RoleAgent {
			s.link(context.WithoutCancel(ctx), m.Control)
		}
	}
}

func (s *Spread) spread(ctx context.Context, r SpreadRequest) (SpreadReply, error) {
	ok := s.Do(ctx, func(now time.Time) {
		if s.Plan != nil && r.From.IsValid() {
			s.Plan.Heard(r.PlanVersion, r.From)
		}
		s.Accept(now, r.Facts)
	})
	if !ok {
		return SpreadReply{}, ctx.Err()
	}
	return SpreadReply{}, nil
}
