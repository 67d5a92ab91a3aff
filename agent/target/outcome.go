// Package target gives requests to the target beside the agent, no more at once than it has slots.
package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ProblemType is the type of a problem document (RFC 9457) that stands for an answer.
type ProblemType string

// The problem types. NotRun is certain: the request never reached a target and may be repeated.
// Unknown means that it may have run.
const (
	ProblemNotRun  ProblemType = "notRun"
	ProblemUnknown ProblemType = "unknown"
)

// Problem is the body of a response that the agent gives in place of a target's answer.
type Problem struct {
	Type   ProblemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Reason Reason      `json:"reason"`
}

// Reason says why a request has no answer.
type Reason string

// The reasons.
const (
	ReasonQueueFull    Reason = "queueFull"
	ReasonOverload     Reason = "overload"
	ReasonDeadline     Reason = "deadline"
	ReasonCancelled    Reason = "cancelled"
	ReasonDraining     Reason = "draining"
	ReasonUnreachable  Reason = "targetUnreachable"
	ReasonTargetFailed Reason = "targetFailed"
	ReasonLost         Reason = "handOverLost"
	// ReasonElsewhere never reaches a caller: another agent is to run the request.
	ReasonElsewhere Reason = "elsewhere"
)

const problemContentType = "application/problem+json"

func notRun(reason Reason, retryAfter time.Duration) *http.Response {
	r := problem(Problem{
		Type:   ProblemNotRun,
		Title:  "the request was not run",
		Status: http.StatusServiceUnavailable,
		Reason: reason,
	})
	seconds := int((retryAfter + time.Second - 1) / time.Second)
	r.Header.Set("Retry-After", strconv.Itoa(seconds))
	return r
}

func unknown(reason Reason) *http.Response {
	return problem(Problem{
		Type:   ProblemUnknown,
		Title:  "whether the request ran is unknown",
		Status: http.StatusBadGateway,
		Reason: reason,
	})
}

func problem(p Problem) *http.Response {
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
