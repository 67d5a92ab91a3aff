// Package target runs requests on the target beside the agent and limits how many run at once.
package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ProblemType is the type of a problem document (RFC 9457).
type ProblemType string

// The problem types.
const (
	// ProblemNotRun means that the request certainly never reached a target, so that the caller may repeat it.
	ProblemNotRun ProblemType = "notRun"
	// ProblemUnknown means that the request may have run.
	ProblemUnknown ProblemType = "unknown"
)

// Problem is the body of a response that the agent sends when it has none from the target.
type Problem struct {
	Type   ProblemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Reason Reason      `json:"reason"`
}

// Reason is why a request has no response from the target.
type Reason string

// The reasons.
const (
	// ReasonQueueFull means that the queue is full or, for a handed-over request, that it can't start at once.
	ReasonQueueFull Reason = "queueFull"
	// ReasonOverload means that the expected wait exceeds Slots.MaxWait.
	ReasonOverload Reason = "overload"
	// ReasonDeadline means that the caller's deadline passed, or would pass before a slot is free.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled means that the request was cancelled before it started, or that its body could not be read.
	ReasonCancelled Reason = "cancelled"
	// ReasonDraining means that the agent is draining and starts no new requests.
	ReasonDraining Reason = "draining"
	// ReasonTargetUnreachable means that the request failed before any byte of it was sent to the target.
	ReasonTargetUnreachable Reason = "targetUnreachable"
	// ReasonTargetFailed means that the request failed after at least a part of it was sent to the target.
	ReasonTargetFailed Reason = "targetFailed"
	// ReasonHandOverLost means that a hand-over got no response and could not be cancelled.
	ReasonHandOverLost Reason = "handOverLost"
	// ReasonElsewhere means that a waiting request should be handed over to another agent. It is never sent to a caller.
	ReasonElsewhere Reason = "elsewhere"
)

const problemContentType = "application/problem+json"

func newNotRunResponse(reason Reason, retryAfter time.Duration) *http.Response {
	r := newProblemResponse(Problem{
		Type:   ProblemNotRun,
		Title:  "the request was not run",
		Status: http.StatusServiceUnavailable,
		Reason: reason,
	})
	seconds := int((retryAfter + time.Second - 1) / time.Second)
	r.Header.Set("Retry-After", strconv.Itoa(seconds))
	return r
}

func newUnknownResponse(reason Reason) *http.Response {
	return newProblemResponse(Problem{
		Type:   ProblemUnknown,
		Title:  "whether the request ran is unknown",
		Status: http.StatusBadGateway,
		Reason: reason,
	})
}

func newProblemResponse(p Problem) *http.Response {
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte("{}")
	}
	return &http.Response{
		StatusCode:    p.Status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"Content-Type": {problemContentType}},
		ContentLength: int64(len(body)),
		Body:          io.NopCloser(strings.NewReader(string(body))),
	}
}
