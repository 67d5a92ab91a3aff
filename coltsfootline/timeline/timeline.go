package timeline

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// marginBefore and marginAfter extend the time range of the records of a request. Its flow may have opened some
	// time before, and a caller waits for a few seconds at most.
	marginBefore = 10 * time.Second
	marginAfter  = 10 * time.Second
	// maxLineBytes limits the length of a log line. Reading a log with a longer line fails.
	maxLineBytes = 1 << 20
)

// Logs holds the log records of several instances. The zero value is ready to use.
type Logs struct {
	records []Record
	// Skipped is the number of lines that are not log records.
	Skipped int
}

// Read adds the records of one log that concern a flow or an instance.
func (l *Logs) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for s.Scan() {
		record, ok := Parse(s.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		if record.Flow != "" || record.concernsInstance() {
			l.records = append(l.records, record)
		}
	}
	return s.Err()
}

// Timeline is the sequence of records of a request or flow, and the likely cause of its outcome.
type Timeline struct {
	Request string   `json:"request,omitempty"`
	Flows   []string `json:"flows"`
	Records []Record `json:"records"`
	Cause   Cause    `json:"cause"`
}

// OfRequest returns the timeline of the request with the given ID. It returns false if no record names the request.
func (l *Logs) OfRequest(id string) (*Timeline, bool) {
	var matching []Record
	for _, r := range l.records {
		if r.Request == id {
			matching = append(matching, r)
		}
	}
	return l.build(id, matching)
}

// OfFlow returns the timeline of a flow in its text form, caller>service, or of all flows of a caller's address and
// port. It returns false if no record names them.
func (l *Logs) OfFlow(flowOrCaller string) (*Timeline, bool) {
	var matching []Record
	for _, r := range l.records {
		if strings.HasPrefix(r.Flow, flowOrCaller+">") || r.Flow == flowOrCaller {
			matching = append(matching, r)
		}
	}
	return l.build("", matching)
}

// build returns the timeline of the flows of the matching records. It contains the records of these flows and, from the
// same time range, the records about the instances that handled them.
func (l *Logs) build(id string, matching []Record) (*Timeline, bool) {
	if len(matching) == 0 {
		return nil, false
	}
	slices.SortStableFunc(matching, byTime)
	from, to := matching[0].Time.Add(-marginBefore), matching[len(matching)-1].Time.Add(marginAfter)
	t := &Timeline{Request: id}
	for _, r := range matching {
		if !slices.Contains(t.Flows, r.Flow) {
			t.Flows = append(t.Flows, r.Flow)
		}
	}
	inRange := l.between(from, to)
	instances := map[string]bool{}
	for _, r := range inRange {
		if slices.Contains(t.Flows, r.Flow) {
			instances[r.Instance] = true
			instances[r.To] = true
		}
	}
	for _, r := range inRange {
		if slices.Contains(t.Flows, r.Flow) || r.Flow == "" && (instances[r.Instance] || r.Member != "" && instances[r.Member]) {
			t.Records = append(t.Records, r)
		}
	}
	t.Cause = findCause(t)
	return t, true
}

// between returns the records in a time range, sorted by time.
func (l *Logs) between(from, to time.Time) []Record {
	var records []Record
	for _, r := range l.records {
		if !r.Time.Before(from) && !r.Time.After(to) {
			records = append(records, r)
		}
	}
	slices.SortStableFunc(records, byTime)
	return records
}

func byTime(a, b Record) int {
	return a.Time.Compare(b.Time)
}
