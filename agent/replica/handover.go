package replica

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/placement"
)

// The headers between agents.
const (
	IDHeader      = "Hand-Over-Id"
	OutcomeHeader = "Hand-Over-Outcome"
)

// outcomeNotRun marks an answer that says that the request did not start and never will.
const outcomeNotRun = "notRun"

const (
	// MaxBodyBytes bounds the body of a request that may be handed over, since it may have to run here after all.
	MaxBodyBytes    = 64 << 10
	connectTimeout  = 300 * time.Millisecond
	cancelTimeout   = time.Second
	idleConnections = 64
)

// Caller calls methods of other agents.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Verdict says what became of a hand-over.
type Verdict int

// The verdicts.
const (
	// VerdictStay: nothing was handed over, or the other agent certainly did not start it.
	VerdictStay Verdict = iota
	// VerdictAnswered: the response is the other agent's.
	VerdictAnswered
	// VerdictUnknown: the request may have run.
	VerdictUnknown
)

// Counters counts hand-overs by outcome.
type Counters struct {
	Answered *metrics.Counter
	Refused  *metrics.Counter
	Unknown  *metrics.Counter
}

// NewCounters registers the counters in a set.
func NewCounters(s *metrics.Set) *Counters {
	named := func(outcome string) *metrics.Counter {
		return s.GetOrCreateCounter(`coltsfootline_agent_hand_overs_total{outcome="` + outcome + `"}`)
	}
	return &Counters{Answered: named("answered"), Refused: named("refused"), Unknown: named("unknown")}
}

// HandOver gives requests to other agents as a policy decides. Set the exported fields before use.
type HandOver struct {
	Instance string
	Policy   placement.Policy
	Loads    *Loads
	Controls func(instance string) (netip.AddrPort, bool)
	Caller   Caller
	Counters *Counters
	Logger   *slog.Logger

	setUp     sync.Once
	transport *http.Transport
	prefix    string
	number    atomic.Uint64
}

// Choose returns the agent that should run a request which arrived here.
func (h *HandOver) Choose(now time.Time, own placement.Load, r placement.Request) (Peer, bool) {
	peers := h.Loads.Fresh(now)
	loads := make([]placement.Load, len(peers))
	for i, p := range peers {
		loads[i] = p.Load
	}
	i := h.Policy.Choose(own, loads, r)
	if i < 0 {
		return Peer{}, false
	}
	return peers[i], true
}

// Run has a request run by another agent. Body is the request's whole body.
func (h *HandOver) Run(ctx context.Context, r *http.Request, body []byte, to Peer) (*http.Response, Verdict) {
	h.setUp.Do(h.prepare)
	id := h.prefix + strconv.FormatUint(h.number.Add(1), 10)
	h.Loads.Sent(to.Load.Instance)
	response, err := h.transport.RoundTrip(h.outgoing(ctx, r, body, to, id))
	if err == nil && response.Header.Get(OutcomeHeader) == outcomeNotRun {
		_ = response.Body.Close()
		h.Loads.Forget(to.Load.Instance)
		h.Counters.Refused.Inc()
		return nil, VerdictStay
	}
	if err == nil {
		response.Header.Del(OutcomeHeader)
		h.Counters.Answered.Inc()
		return response, VerdictAnswered
	}
	events.HandOverFailed.Log(h.Logger, events.Failure(err), slog.String("to", to.Load.Instance))
	h.Loads.Forget(to.Load.Instance)
	if neverConnected(err) {
		h.Counters.Refused.Inc()
		return nil, VerdictStay
	}
	return nil, h.settle(ctx, to, id)
}

// neverConnected reports that a request failed before it had a connection, so that the other agent can't know of it.
func neverConnected(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

func (h *HandOver) prepare() {
	dialer := &net.Dialer{Timeout: connectTimeout}
	h.transport = &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnections,
	}
	h.prefix = h.Instance + "-" + strconv.FormatUint(rand.Uint64(), 36) + "-"
}

func (h *HandOver) outgoing(ctx context.Context, r *http.Request, body []byte, to Peer, id string) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = to.Requests.String()
	out.Close = false
	out.Body = io.NopCloser(bytes.NewReader(body))
	out.ContentLength = int64(len(body))
	out.TransferEncoding = nil
	out.Header.Set(IDHeader, id)
	return out
}

// settle finds out whether a request whose answer was lost has started, and stops it if not.
func (h *HandOver) settle(ctx context.Context, to Peer, id string) Verdict {
	control, ok := h.Controls(to.Load.Instance)
	if !ok {
		h.Counters.Unknown.Inc()
		return VerdictUnknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	var reply CancelReply
	err := h.Caller.Call(ctx, control, MethodCancel, CancelRequest{ID: id}, &reply)
	if err != nil || reply.Started {
		h.Counters.Unknown.Inc()
		return VerdictUnknown
	}
	h.Counters.Refused.Inc()
	return VerdictStay
}
