package cmd

import (
	"context"
	"maps"
	"time"

	"github.com/coltsfootline/coltsfootline/agent/caller"
	"github.com/coltsfootline/coltsfootline/agent/replica"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

// handlers returns the handlers of the control server by RPC method.
func (a *terminatingAgent) handlers() map[string]peer.Handler {
	all := map[string]peer.Handler{
		caller.MethodLocate:      peer.Handle(a.terminator.Locate),
		caller.MethodAnnounce:    peer.Handle(a.terminator.Announce),
		caller.MethodOffer:       peer.Handle(a.terminator.Offer),
		caller.MethodGrant:       peer.Handle(a.terminator.Grant),
		caller.MethodQuery:       peer.Handle(a.terminator.Query),
		replica.MethodReportLoad: peer.Handle(a.loads.HandleReport),
		replica.MethodCancel:     peer.Handle(a.registry.HandleCancel),
		peer.MethodDrain:         peer.Handle(a.requestDrain),
		peer.MethodMove:          peer.Handle(a.move),
		peer.MethodStatus:        peer.Handle(a.status),
	}
	maps.Copy(all, a.gossip.Handlers())
	return all
}

// requestDrain starts the same drain as SIGTERM, after which the process exits.
func (a *terminatingAgent) requestDrain(_ context.Context, _ peer.DrainRequest) (peer.DrainReply, error) {
	select {
	case a.drainRequested <- struct{}{}:
	default:
	}
	return peer.DrainReply{Open: a.terminator.OpenConnections()}, nil
}

// move moves the connections that are open now to other agents, within the requested time limit.
func (a *terminatingAgent) move(ctx context.Context, r peer.MoveRequest) (peer.MoveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.LimitMs)*time.Millisecond)
	defer cancel()
	return peer.MoveReply{Moved: a.terminator.MoveAll(ctx, a.terminator.ToAny)}, nil
}

func (a *terminatingAgent) status(_ context.Context, _ peer.StatusRequest) (peer.StatusReply, error) {
	load := a.dispatcher.Slots.Load(time.Now())
	return peer.StatusReply{
		Instance: a.settings.Instance,
		Digest:   a.gossip.View().Digest,
		Open:     a.terminator.OpenConnections(),
		Busy:     load.Busy,
		Waiting:  load.Waiting,
	}, nil
}
