// Package caller emulates callers: long-lived TCP connections through a user-space TCP stack.
package caller

// Kind is the outcome of a request as its caller saw it.
type Kind string

// The kinds of outcome.
const (
	// KindAnswered is a complete answer to the right request.
	KindAnswered Kind = "answered"
	// KindNotRun is an error answer which states that the request did not run.
	KindNotRun Kind = "notRun"
	// KindUnknown is any other error answer: the request may have run.
	KindUnknown Kind = "unknown"
	// KindCrossed is an answer that does not match the request.
	KindCrossed Kind = "crossed"
	// KindCut is an answer whose body could not be read to the end.
	KindCut Kind = "cut"
	// KindBroken is a request whose connection failed before the header of the answer was read.
	KindBroken Kind = "broken"
	// KindDialFailed is a connection that could not be opened.
	KindDialFailed Kind = "dialFailed"
)

// Outcome is one record of the outcomes file, which holds a JSON object per line.
type Outcome struct {
	// RequestID identifies the request, or the connection if it could not be opened.
	RequestID     string `json:"stamp"`
	Service       string `json:"service"`
	Kind          Kind   `json:"kind"`
	NonIdempotent bool   `json:"unrepeatable"`
	Long          bool   `json:"long"`
	// AtMs is when the request was sent or the dial failed, in Unix milliseconds.
	AtMs int64 `json:"atMs"`
	// Ms is the time from sending the request to its outcome, WorkMs the work time that it asked for.
	Ms     float64 `json:"ms"`
	WorkMs float64 `json:"workMs"`
	// AfterMs is when the request was sent, in milliseconds after the start of the load.
	AfterMs float64 `json:"afterMs"`
	Detail  string  `json:"detail,omitempty"`
	// Final marks the last request of a connection, which checks that the connection still works.
	Final bool `json:"final,omitempty"`
}

// Summary is the JSON object that a caller process prints when it exits.
type Summary struct {
	Connections int `json:"connections"`
	// Broken counts the requests after which the connection could not be reused.
	Broken int `json:"broken"`
	// OpenAtEnd counts the connections that could be reused after their final request.
	OpenAtEnd int `json:"openAtEnd"`
	// DialFailed counts the failed attempts to open a connection.
	DialFailed int `json:"dialFailed"`
}
