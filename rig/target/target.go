// Package target stands in for a target: it answers requests and records each run.
package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The headers and query fields by which a caller says what it wants.
const (
	StampHeader   = "Request-Stamp"
	ServiceHeader = "Wanted-Service"
	FinalHeader   = "Final-Request"
	FieldMillis   = "ms"
	FieldBytes    = "bytes"
)

// Run is one record of the runs file. A run has a record when it starts and one when it ends.
type Run struct {
	Stamp    string `json:"stamp"`
	Service  string `json:"service"`
	Wanted   string `json:"wanted"`
	Instance string `json:"instance"`
	AtMs     int64  `json:"atMs"`
	BusyUs   int64  `json:"busyUs"`
	End      bool   `json:"end"`
	Active   int    `json:"active"`
	Final    bool   `json:"final,omitempty"`
}

// Target answers for one service. Set the exported fields before use.
type Target struct {
	Instance string
	Service  string
	Runs     io.Writer

	mutex  sync.Mutex
	active int
}

// Preamble starts each answer.
type Preamble struct {
	Stamp    string `json:"stamp"`
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Received int64  `json:"received"`
	Bytes    int    `json:"bytes"`
}

// ServeHTTP runs a request: it reads the body, works for the asked time and answers with the asked number of octets.
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
	work(r, millis(r))
	size, _ := strconv.Atoi(r.URL.Query().Get(FieldBytes))
	p := Preamble{Stamp: run.Stamp, Service: t.Service, Instance: t.Instance, Received: received, Bytes: size}
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(p) == nil {
		_, _ = w.Write(Filler(run.Stamp, size))
	}
}

func millis(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.URL.Query().Get(FieldMillis), 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func work(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
	case <-timer.C:
	}
}

func (t *Target) record(r Run, at time.Time, change int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.active += change
	r.Active = t.active
	r.AtMs = at.UnixMilli()
	line, err := json.Marshal(r)
	if err == nil {
		_, _ = t.Runs.Write(append(line, '\n'))
	}
}

// Filler is the body that belongs to a stamp: no other stamp has the same.
func Filler(stamp string, size int) []byte {
	b := make([]byte, size)
	if stamp == "" {
		return b
	}
	for i := range b {
		b[i] = stamp[i%len(stamp)] + byte(i/len(stamp)%7)
	}
	return b
}
