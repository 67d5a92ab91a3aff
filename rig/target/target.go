// Package target emulates a target: an HTTP server that simulates work, answers requests and records each run.
package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers and query parameters with which callers describe a request.
const (
	RequestIDHeader      = "Request-Stamp"
	WantedServiceHeader  = "Wanted-Service"
	FinalHeader          = "Final-Request"
	WorkMsParameter      = "ms"
	AnswerBytesParameter = "bytes"
)

// Run is one record of the runs file, which holds a JSON object per line. Each request is recorded when it starts and
// when it ends.
type Run struct {
	// RequestID identifies the request.
	RequestID string `json:"stamp"`
	Service   string `json:"service"`
	// WantedService is the service that the caller asked for.
	WantedService string `json:"wanted"`
	Instance      string `json:"instance"`
	// AtMs is the time of the record, in Unix milliseconds.
	AtMs int64 `json:"atMs"`
	// BusyUs is how long the request ran, in microseconds; it is set when the request ends.
	BusyUs int64 `json:"busyUs"`
	// End is false when the request starts and true when it ends.
	End bool `json:"end"`
	// Active is the number of requests that the target runs, including this one when it starts.
	Active int `json:"active"`
	// Final marks the final request of a connection.
	Final bool `json:"final,omitempty"`
}

// Target serves the requests of one service. Set the exported fields before use.
type Target struct {
	Instance string
	Service  string
	Runs     io.Writer

	mutex  sync.Mutex
	active int
}

// Preamble is the first line of each answer. Callers use it to check that the answer belongs to their request.
type Preamble struct {
	RequestID string `json:"stamp"`
	Service   string `json:"service"`
	Instance  string `json:"instance"`
	// Received is the size of the request body, and Bytes the size of the answer after the preamble.
	Received int64 `json:"received"`
	Bytes    int   `json:"bytes"`
}

// ServeHTTP reads the body, waits for the requested work time and answers with a Preamble and the requested number of
// bytes.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	run := Run{
		RequestID:     r.Header.Get(RequestIDHeader),
		Service:       t.Service,
		WantedService: r.Header.Get(WantedServiceHeader),
		Instance:      t.Instance,
		Final:         r.Header.Get(FinalHeader) != "",
	}
	t.record(run, start, 1)
	defer func() {
		run.End = true
		run.BusyUs = time.Since(start).Microseconds()
		t.record(run, time.Now(), -1)
	}()
	received, _ := io.Copy(io.Discard, r.Body)
	simulateWork(r, workTime(r))
	size, _ := strconv.Atoi(r.URL.Query().Get(AnswerBytesParameter))
	p := Preamble{RequestID: run.RequestID, Service: t.Service, Instance: t.Instance, Received: received, Bytes: size}
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(p) == nil {
		_, _ = w.Write(BodyForRequest(run.RequestID, size))
	}
}

// workTime returns the requested work time, or 0 if the parameter is missing or invalid.
func workTime(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.URL.Query().Get(WorkMsParameter), 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// simulateWork waits for the work time or until the request is cancelled.
func simulateWork(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
	case <-timer.C:
	}
}

// record adds activeDelta to the number of active requests and writes a record that contains the new number.
func (t *Target) record(r Run, at time.Time, activeDelta int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.active += activeDelta
	r.Active = t.active
	r.AtMs = at.UnixMilli()
	line, err := json.Marshal(r)
	if err == nil {
		_, _ = t.Runs.Write(append(line, '\n'))
	}
}

// BodyForRequest returns a body of the given size that is derived from the request ID, so that callers notice bytes
// that belong to another request.
func BodyForRequest(requestID string, size int) []byte {
	b := make([]byte, size)
	if requestID == "" {
		return b
	}
	for i := range b {
		b[i] = requestID[i%len(requestID)] + byte(i/len(requestID)%7)
	}
	return b
}
