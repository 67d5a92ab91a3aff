package cmd

import (
	"context"
	"maps"
	"time"

	"github.com/coltsfootline/coltsfootline/agent/caller"
	"github.com/coltsfootline/coltsfootline/agent/replica"
	"github.com/coltsfootline/coltsfootline/kernel/peer"
)

func (a *agent) handlers() map[string]peer.Handler {
	all := map[string]peer.Handler{
		caller.MethodLocate:   peer.Handle(a.terminator.Locate),
		caller.MethodAnnounce: peer.Handle(a.terminator.Announce),
		caller.MethodOffer:    peer.Handle(a.terminator.Offer),
		caller.MethodGrant:    peer.Handle(a.terminator.Grant),
		caller.MethodQuery:    peer.Handle(a.terminator.Query),
		replica.MethodTell:    peer.Handle(a.loads.Tell),
		replica.MethodCancel:  peer.Handle(a.registry.Answer),
		peer.MethodDrain:      peer.Handle(a.askDrain),
		peer.MethodMove:       peer.Handle(a.move),
		peer.MethodStatus:     peer.Handle(a.status),
	}
	maps.Copy(all, a.spread.Handlers())
	return all
}

// askDrain begins a drain, as SIGTERM does; the process ends when it is over.
func (a *agent) askDrain(_ context.Context, _ peer.DrainRequest) (peer.DrainReply, error) {
	select {
	case a.drainAsked <- struct{}{}:
	default:
	}
	return peer.DrainReply{Open: a.terminator.OpenConnections()}, nil
}

// move moves the connections held now to other agents for at most the asked time.
func (a *agent) move(ctx context.Context, r peer.MoveRequest) (peer.MoveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.LimitMs)*time.Millisecond)
	defer cancel()
	return peer.MoveReply{Moved: a.terminator.MoveAll(ctx, a.terminator.ToAny)}, nil
}

func (a *agent) status(_ context.Context, _ peer.StatusRequest) (peer.StatusReply, error) {
	load := a.dispatcher.Slots.Load(time.Now())
	return peer.StatusReply{
		Instance: a.settings.Instance,
		Digest:   a.spread.View().Digest,
		Open:     a.terminator.OpenConnections(),
		Busy:     load.Busy,
		Waiting:  load.Waiting,
	}, nil
}
