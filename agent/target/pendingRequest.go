package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootline/coltsfootline/agent/replica"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

// pendingRequest is a request that has not started: it waits for a slot here or is handed over to another agent.
type pendingRequest struct {
	dispatcher *Dispatcher
	request    *http.Request
	// body is the complete body if canHandOver is set.
	body        []byte
	canHandOver bool
	long        bool
	// peer is the agent that the last call of choosePeer returned.
	peer replica.Peer
}

// bufferBody reads the body if its length is known and within replica.MaxBodyBytes. Only such a request can be handed
// over.
func (p *pendingRequest) bufferBody() error {
	r := p.request
	if p.dispatcher.HandOver == nil || r.ContentLength < 0 || r.ContentLength > replica.MaxBodyBytes {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	p.body = body
	p.canHandOver = true
	return nil
}

// serve hands the request over at once or else queues it here, from where it may still be handed over. A queued request
// that the other agent did not run returns to the front of the queue, even after RefuseNew.
func (p *pendingRequest) serve(ctx context.Context) *http.Response {
	d := p.dispatcher
	p.long = d.Slots.IsLong(routeOf(p.request))
	if p.choosePeer(false) {
		if response, outcome := p.handOver(ctx); outcome != replica.OutcomeNotRun {
			return response
		}
	}
	if d.refusing.Load() {
		return d.respondNotRun(ReasonDraining)
	}
	atFront := false
	for {
		reason := d.Slots.Acquire(ctx, p.long, atFront, func() bool { return p.choosePeer(true) })
		if reason == "" {
			return p.runLocally(ctx)
		}
		if reason != ReasonElsewhere {
			return d.respondNotRun(reason)
		}
		if response, outcome := p.handOver(ctx); outcome != replica.OutcomeNotRun {
			return response
		}
		atFront = true
	}
}

func (p *pendingRequest) runLocally(ctx context.Context) *http.Response {
	if p.canHandOver {
		p.request.Body = io.NopCloser(bytes.NewReader(p.body))
	}
	response, _ := p.dispatcher.runLocally(ctx, p.request, p.long)
	return response
}

// choosePeer reports whether another agent should run the request, and stores that agent in peer.
func (p *pendingRequest) choosePeer(waited bool) bool {
	d := p.dispatcher
	if !p.canHandOver {
		return false
	}
	now := time.Now()
	peer, ok := d.HandOver.Choose(now, d.Load(now), placement.Request{Queued: waited, Long: p.long})
	p.peer = peer
	return ok
}

func (p *pendingRequest) handOver(ctx context.Context) (*http.Response, replica.Outcome) {
	d := p.dispatcher
	response, outcome := d.HandOver.Run(ctx, p.request, p.body, p.peer)
	switch outcome {
	case replica.OutcomeAnswered:
		prepareForCaller(response)
		return response, outcome
	case replica.OutcomeUnknown:
		return d.respondUnknown(ReasonHandOverLost), outcome
	default:
		return nil, outcome
	}
}
