// Package caller stands in for the callers: long-lived TCP connections from a user-space stack.
package caller

// Kind is how a request ended for its caller.
type Kind string

// The kinds of outcome.
const (
	KindAnswered Kind = "answered"
	KindNotRun   Kind = "notRun"
	KindUnknown  Kind = "unknown"
	KindCrossed  Kind = "crossed"
	KindCut      Kind = "cut"
	KindBroken   Kind = "broken"
	KindDial     Kind = "dialFailed"
)

// Outcome is one record of the outcomes file.
type Outcome struct {
	Stamp        string  `json:"stamp"`
	Service      string  `json:"service"`
	Kind         Kind    `json:"kind"`
	Unrepeatable bool    `json:"unrepeatable"`
	Long         bool    `json:"long"`
	AtMs         int64   `json:"atMs"`
	Ms           float64 `json:"ms"`
	WorkMs       float64 `json:"workMs"`
	// AfterMs is when the request was sent, after the start of the load.
	AfterMs float64 `json:"afterMs"`
	Detail  string  `json:"detail,omitempty"`
	// Final marks the request by which a connection proves at the end that it still works.
	Final bool `json:"final,omitempty"`
}

// Summary is what a caller process prints when it ends.
type Summary struct {
	Connections int `json:"connections"`
	Broken      int `json:"broken"`
	OpenAtEnd   int `json:"openAtEnd"`
	DialFailed  int `json:"dialFailed"`
}
