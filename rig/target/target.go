// Package target emulates a target: it answers requests and records each run.
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
	StampHeader          = "Request-Stamp"
	ServiceHeader        = "Wanted-Service"
	FinalHeader          = "Final-Request"
	WorkMsParameter      = "ms"
	AnswerBytesParameter = "bytes"
)

// Run is one record of the runs file. Each request is recorded when it starts and when it ends.
type Run struct {
	// Stamp identifies the request.
	Stamp   string `json:"stamp"`
	Service string `json:"service"`
	// Wanted is the service that the caller asked for.
	Wanted   string `json:"wanted"`
	Instance string `json:"instance"`
	AtMs     int64  `json:"atMs"`
	BusyUs   int64  `json:"busyUs"`
	End      bool   `json:"end"`
	// Active is the number of requests that the target runs, including this one when it starts.
	Active int  `json:"active"`
	Final  bool `json:"final,omitempty"`
}

// Target serves the requests of one service. Set the exported fields before use.
type Target struct {
	Instance string
	Service  string
	Runs     io.Writer

	mutex  sync.Mutex
	active int
}

// Preamble is the first line of each answer.
type Preamble struct {
	Stamp    string `json:"stamp"`
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Received int64  `json:"received"`
	Bytes    int    `json:"bytes"`
}

// ServeHTTP reads the body, waits for the requested work time and answers with a Preamble and the requested number of
// bytes.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	run := Run{
		Stamp:    r.Header.Get(StampHeader),
		Service:  t.Service,
		Wanted:   r.Header.Get(ServiceHeader),
		Instance: t.Instance,
		Final:    r.Header.Get(FinalHeader) != "",
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
	p := Preamble{Stamp: run.Stamp, Service: t.Service, Instance: t.Instance, Received: received, Bytes: size}
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(p) == nil {
		_, _ = w.Write(BodyForStamp(run.Stamp, size))
	}
}

func workTime(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.URL.Query().Get(WorkMsParameter), 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func simulateWork(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
	case <-timer.C:
	}
}

// record changes the number of active requests by delta and writes a record that contains it.
func (t *Target) record(r Run, at time.Time, delta int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.active += delta
	r.Active = t.active
	r.AtMs = at.UnixMilli()
	line, err := json.Marshal(r)
	if err == nil {
		_, _ = t.Runs.Write(append(line, '\n'))
	}
}

// BodyForStamp returns a body of the given size that is derived from the stamp, so that callers notice bytes of an
// answer to another request.
func BodyForStamp(stamp string, size int) []byte {
	b := make([]byte, size)
	if stamp == "" {
		return b
	}
	for i := range b {
		b[i] = stamp[i%len(stamp)] + byte(i/len(stamp)%7)
	}
	return b
}
