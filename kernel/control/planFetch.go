package control

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

const (
	// pieceTimeout limits each call for a piece of an update. The process of the peer may be suspended for most of 100 ms by
	// the limit of its core, several times in a row.
	pieceTimeout = 500 * time.Millisecond
	// downloadTimeout limits the transfer of one update. With peerFetchLimit and fetchTimeout it is below the 5 s after
	// which a plan must be in force.
	downloadTimeout = 1500 * time.Millisecond
)

// PlanRefusedError reports a peer that has the plan but does not send it now. Elsewhere lists others that have it.
type PlanRefusedError struct {
	Retry     time.Duration
	Elsewhere []netip.AddrPort
}

// Error implements the error interface.
func (e *PlanRefusedError) Error() string {
	return "peer sends the plan to others; try again in " + e.Retry.String()
}

// TransferLostError reports a peer that no longer has the update whose pieces it sent.
type TransferLostError struct{ Version, Expected uint64 }

// Error implements the error interface.
func (e *TransferLostError) Error() string {
	return "peer no longer has the plan update that it sent a part of"
}

// download is a plan that was fetched from a peer. The plan is nil if the peer has none that is newer.
type download struct {
	plan       *plan.Plan
	history    *plan.HistoryRecord
	size       int
	difference bool
	started    time.Time
	// key and update are the update as it was received.
	key    updateKey
	update []byte
}

// kind names the form in which the plan came.
func (d *download) kind() string {
	switch {
	case d.size == 0:
		return "uncompressed"
	case d.difference:
		return "difference"
	}
	return "whole"
}

// fetchLoop fetches the newer plans that peers report until ctx is cancelled.
func (p *Plans) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reported:
			p.catchUp(ctx)
		}
	}
}

// catchUp fetches plans until the newest one that peers have reported is in use or the store was read.
func (p *Plans) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		step := p.sources.next(time.Now(), p.Version())
		switch {
		case step.Version == 0:
			return
		case step.Store:
			p.fetchFromStore(ctx, step.Version)
			p.sources.reset()
			return
		case step.Wait > 0:
			p.awaitReport(ctx, step.Wait)
		default:
			p.fetchFromPeer(ctx, step.From)
		}
	}
}

// awaitReport waits for d, or until a peer reports a newer plan.
func (p *Plans) awaitReport(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-p.reported:
	case <-t.C:
	}
}

// fetchFromStore reads the plan from the store after no peer sent it.
func (p *Plans) fetchFromStore(ctx context.Context, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	kind, name := p.Format.Location()
	object, err := p.Store.Get(ctx, kind, name)
	if err != nil {
		events.StoreUnavailable.Log(p.Logger, events.ErrorAttr(err), slog.Uint64("planVersion", version))
		return
	}
	p.applyObjects([]store.Object{object}, "storeAfterPeer", true)
}

// PlanBehindError reports a store that holds an older plan than the one in use.
type PlanBehindError struct{ Stored, Used uint64 }

// Error implements the error interface.
func (e *PlanBehindError) Error() string {
	return "store holds plan " + strconv.FormatUint(e.Stored, 10) + ", but plan " + strconv.FormatUint(e.Used, 10) + " is in use"
}

// readStoredVersion returns the version of the plan in the store, or 0 if there is none that can be decoded.
func (p *Plans) readStoredVersion(ctx context.Context) (uint64, error) {
	kind, name := p.Format.Location()
	object, err := p.Store.Get(ctx, kind, name)
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	decoded, err := p.Format.Decode(object.Spec, &plan.Steps{})
	if err != nil {
		events.PlanRefused.Log(p.Logger, slog.Uint64("revision", object.Revision), events.ErrorAttr(err))
		return 0, nil
	}
	return decoded.Version, nil
}

// fetchFromPeer reads and applies the peer's plan, and records the result for the choice of the next peer.
func (p *Plans) fetchFromPeer(ctx context.Context, from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, downloadTimeout)
	defer cancel()
	used := p.current.Load()
	d, err := p.download(ctx, from, used)
	var notApplicable *plan.NotApplicableError
	if errors.As(err, &notApplicable) {
		countFetch("notApplicable")
		events.PlanDiffRefused.Log(p.Logger, slog.String("peer", from.String()), events.ErrorAttr(err))
		d, err = p.download(ctx, from, nil)
	}
	var refused *PlanRefusedError
	switch {
	case errors.As(err, &refused):
		countFetch("refused")
		events.PlanFetchRefused.Log(p.Logger, slog.String("peer", from.String()), slog.Int64("ageMs", refused.Retry.Milliseconds()),
			slog.Int("count", len(refused.Elsewhere)))
		p.sources.refused(time.Now(), from, refused.Retry, refused.Elsewhere)
	case err != nil:
		countFetch("failed")
		events.PeerFailed.Log(p.Logger, slog.String("peer", from.String()), events.ErrorAttr(err))
		p.sources.failed(from)
	case d.plan == nil || !p.isWanted(d.plan.Version):
		p.sources.failed(from)
	default:
		logFetched(p.Logger, time.Now(), from, d)
		p.server.adopt(d)
		now := time.Now()
		history := d.history.History(now)
		p.apply(now, from.String(), 0, func(current *plan.Plan) *plan.Plan {
			next := *d.plan
			next.History = plan.SucceedFromPeer(now, current, &next, history)
			return &next
		})
		p.sources.succeeded(time.Now())
	}
}

func countFetch(result string) {
	metrics.GetOrCreateCounter(`coltsfootline_plan_fetches_total{result="` + result + `"}`).Inc()
}

// download reads a plan that is newer than used from a peer. A nil used stands for no plan.
func (p *Plans) download(ctx context.Context, from netip.AddrPort, used *plan.Plan) (download, error) {
	d := download{started: time.Now()}
	r := &pieceReader{
		ctx: ctx, call: func(ctx context.Context, request PlanRequest, reply *PlanReply) error {
			return p.Pool.Call(ctx, from, MethodPlan, request, reply)
		},
		request: PlanRequest{Pieces: true, Transfer: rand.Uint64(), From: p.Self},
	}
	if used != nil {
		r.request.Have = used.Version
	}
	reply, err := r.ask()
	switch {
	case err != nil:
		return d, err
	case reply.Plan.Version != 0:
		// The peer is of an older build.
		reply.Plan.Index()
		d.plan = &reply.Plan
		return d, nil
	case reply.Size == 0:
		return d, nil
	}
	d.history, d.size, d.difference = reply.History, reply.Size, reply.Difference
	r.begin(reply)
	if d.plan, err = plan.DecodeUpdate(r, used, stepsBeside(p.inForce())); err != nil {
		return d, err
	}
	// The plan may be complete before the end of the compressed data.
	if _, err = io.Copy(io.Discard, r); err != nil {
		return d, err
	}
	d.key, d.update = updateKey{base: reply.Base, version: reply.Version}, r.received
	return d, nil
}

// pieceReader reads an update from a peer, a piece at a time. Between the pieces the plan is decoded, so that transfer and
// decoding are spread over the same time.
type pieceReader struct {
	ctx     context.Context
	call    func(ctx context.Context, request PlanRequest, reply *PlanReply) error
	request PlanRequest
	size    int
	// received is the update so far, and piece is the part of it that was not yet read.
	received []byte
	piece    []byte
}

// ask requests the next piece. A refusal is an error of type *PlanRefusedError.
func (r *pieceReader) ask() (PlanReply, error) {
	ctx, cancel := context.WithTimeout(r.ctx, pieceTimeout)
	defer cancel()
	var reply PlanReply
	if err := r.call(ctx, r.request, &reply); err != nil {
		return reply, err
	}
	if reply.RetryMs > 0 {
		retry := time.Duration(reply.RetryMs) * time.Millisecond
		return reply, errors.WithStack(&PlanRefusedError{Retry: retry, Elsewhere: reply.Elsewhere})
	}
	return reply, nil
}

// begin takes the first piece.
func (r *pieceReader) begin(first PlanReply) {
	r.request.Version, r.request.Base, r.size = first.Version, first.Base, first.Size
	r.take(first.Piece)
}

// take appends a piece.
func (r *pieceReader) take(piece []byte) {
	r.received = append(r.received, piece...)
	r.piece = piece
	r.request.Offset = len(r.received)
}

// Read implements io.Reader.
func (r *pieceReader) Read(b []byte) (int, error) {
	if len(r.piece) == 0 {
		if r.request.Offset >= r.size {
			return 0, io.EOF
		}
		reply, err := r.ask()
		if err != nil {
			return 0, err
		}
		if reply.Version != r.request.Version || reply.Base != r.request.Base || reply.Size != r.size || len(reply.Piece) == 0 {
			return 0, errors.WithStack(&TransferLostError{Version: reply.Version, Expected: r.request.Version})
		}
		r.take(reply.Piece)
	}
	n := copy(b, r.piece)
	r.piece = r.piece[n:]
	return n, nil
}

// logFetched logs and counts a plan that was fetched from a peer.
func logFetched(l *slog.Logger, now time.Time, from netip.AddrPort, d download) {
	kind := d.kind()
	metrics.GetOrCreateCounter(`coltsfootline_plan_fetches_total{result="` + kind + `"}`).Inc()
	events.PlanFetched.Log(l, slog.Uint64("planVersion", d.plan.Version), slog.String("peer", from.String()),
		slog.String("reason", kind), slog.Int("count", d.size), slog.Int64("ageMs", now.Sub(d.started).Milliseconds()))
}
