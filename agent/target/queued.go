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

// queued is a request on its way to a slot, here or at another agent.
type queued struct {
	dispatcher *Dispatcher
	request    *http.Request
	body       []byte
	movable    bool
	long       bool
	chosen     replica.Peer
}

// buffer reads the body of a request that may be handed over: a small one of known length.
func (q *queued) buffer() error {
	r := q.request
	if q.dispatcher.HandOver == nil || r.ContentLength < 0 || r.ContentLength > replica.MaxBodyBytes {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	q.body = body
	q.movable = true
	return nil
}

func (q *queued) serve(ctx context.Context) *http.Response {
	d := q.dispatcher
	q.long = d.Slots.Long(routeOf(q.request))
	if q.elsewhere(false) {
		if response, verdict := q.handOver(ctx); verdict != replica.VerdictStay {
			return response
		}
	}
	if d.refusing.Load() {
		return d.refuse(ReasonDraining)
	}
	inFront := false
	for {
		reason := d.Slots.Acquire(ctx, q.long, inFront, func() bool { return q.elsewhere(true) })
		if reason == "" {
			return q.runHere(ctx)
		}
		if reason != ReasonElsewhere {
			return d.refuse(reason)
		}
		if response, verdict := q.handOver(ctx); verdict != replica.VerdictStay {
			return response
		}
		inFront = true
	}
}

func (q *queued) runHere(ctx context.Context) *http.Response {
	if q.movable {
		q.request.Body = io.NopCloser(bytes.NewReader(q.body))
	}
	response, _ := q.dispatcher.runHere(ctx, q.request, q.long)
	return response
}

// elsewhere asks whether another agent should run the request.
func (q *queued) elsewhere(waited bool) bool {
	d := q.dispatcher
	if !q.movable {
		return false
	}
	now := time.Now()
	chosen, ok := d.HandOver.Choose(now, d.Load(now), placement.Request{Queued: waited, Long: q.long})
	q.chosen = chosen
	return ok
}

func (q *queued) handOver(ctx context.Context) (*http.Response, replica.Verdict) {
	d := q.dispatcher
	response, verdict := d.HandOver.Run(ctx, q.request, q.body, q.chosen)
	switch verdict {
	case replica.VerdictAnswered:
		forCaller(response)
		return response, verdict
	case replica.VerdictUnknown:
		return d.lose(ReasonLost), verdict
	default:
		return nil, verdict
	}
}
