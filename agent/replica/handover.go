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

// The headers that agents add to handed-over requests and to their responses.
const (
	IDHeader      = "Hand-Over-Id"
	OutcomeHeader = "Hand-Over-Outcome"
)

// notRunValue is the value of OutcomeHeader for a request that did not run and never will.
const notRunValue = "notRun"

const (
	// MaxBodyBytes is the largest body of a request that may be handed over. The body is kept in memory, because the
	// request runs locally if the other agent does not run it.
	MaxBodyBytes    = 64 << 10
	connectTimeout  = 300 * time.Millisecond
	cancelTimeout   = time.Second
	idleConnections = 64
)

// ControlClient calls control methods of other agents.
type ControlClient interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Outcome is the result of a hand-over.
type Outcome int

const (
	// OutcomeNotRun means that the other agent did not run the request and never will, so that it can run here.
	OutcomeNotRun Outcome = iota
	// OutcomeAnswered means that the response came from the other agent.
	OutcomeAnswered
	// OutcomeUnknown means that no response arrived and the request may have run.
	OutcomeUnknown
)

// Counters counts hand-overs by outcome. Refused counts OutcomeNotRun, also if the other agent was not reached.
type Counters struct {
	Answered *metrics.Counter
	Refused  *metrics.Counter
	Unknown  *metrics.Counter
}

// NewCounters registers the counters in a set.
func NewCounters(s *metrics.Set) *Counters {
	counter := func(outcome string) *metrics.Counter {
		return s.GetOrCreateCounter(`coltsfootline_agent_hand_overs_total{outcome="` + outcome + `"}`)
	}
	return &Counters{Answered: counter("answered"), Refused: counter("refused"), Unknown: counter("unknown")}
}

// HandOver hands requests over to the agents that a placement policy chooses. Set the exported fields before use.
type HandOver struct {
	Instance string
	Policy   placement.RequestPolicy
	Loads    *Loads
	// ControlAddress returns the control address of an instance, or false if the instance is not known.
	ControlAddress func(instance string) (netip.AddrPort, bool)
	Control        ControlClient
	Counters       *Counters
	Logger         *slog.Logger

	initOnce  sync.Once
	transport *http.Transport
	idPrefix  string
	lastID    atomic.Uint64
}

// Choose returns the agent that should run a request which arrived here, or false if it should run here.
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

// Run has another agent run a request and returns its response if the outcome is OutcomeAnswered. The body must be the
// complete request body.
func (h *HandOver) Run(ctx context.Context, r *http.Request, body []byte, to Peer) (*http.Response, Outcome) {
	h.initOnce.Do(h.setUp)
	id := h.idPrefix + strconv.FormatUint(h.lastID.Add(1), 10)
	h.Loads.AddBusy(to.Load.Instance)
	response, err := h.transport.RoundTrip(h.newOutgoingRequest(ctx, r, body, to, id))
	if err == nil && response.Header.Get(OutcomeHeader) == notRunValue {
		_ = response.Body.Close()
		h.Loads.Remove(to.Load.Instance)
		h.Counters.Refused.Inc()
		return nil, OutcomeNotRun
	}
	if err == nil {
		response.Header.Del(OutcomeHeader)
		h.Counters.Answered.Inc()
		return response, OutcomeAnswered
	}
	events.HandOverFailed.Log(h.Logger, events.ErrorAttr(err), slog.String("to", to.Load.Instance))
	h.Loads.Remove(to.Load.Instance)
	if isDialError(err) {
		h.Counters.Refused.Inc()
		return nil, OutcomeNotRun
	}
	return nil, h.cancelUnanswered(ctx, to, id)
}

// isDialError reports whether a request failed before it had a connection, so that the other agent never received it.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func (h *HandOver) setUp() {
	dialer := &net.Dialer{Timeout: connectTimeout}
	h.transport = &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnections,
	}
	h.idPrefix = h.Instance + "-" + strconv.FormatUint(rand.Uint64(), 36) + "-"
}

func (h *HandOver) newOutgoingRequest(ctx context.Context, r *http.Request, body []byte, to Peer, id string) *http.Request {
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

// cancelUnanswered asks the other agent to cancel a request whose response was lost. It returns OutcomeNotRun if the
// request was cancelled before it started. It returns OutcomeUnknown if the request had started, the cancel call failed
// or the agent's control address is not known.
func (h *HandOver) cancelUnanswered(ctx context.Context, to Peer, id string) Outcome {
	control, ok := h.ControlAddress(to.Load.Instance)
	if !ok {
		h.Counters.Unknown.Inc()
		return OutcomeUnknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	var reply CancelReply
	err := h.Control.Call(ctx, control, MethodCancel, CancelRequest{ID: id}, &reply)
	if err != nil || reply.Started {
		h.Counters.Unknown.Inc()
		return OutcomeUnknown
	}
	h.Counters.Refused.Inc()
	return OutcomeNotRun
}
