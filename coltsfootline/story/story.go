package story

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// before and after bound what is told around a request: its flow may have opened a while ago, and a caller waits for
	// some seconds at most.
	before = 10 * time.Second
	after  = 10 * time.Second
	// maxLineBytes bounds a line of a log.
	maxLineBytes = 1 << 20
)

// Logs are the records of several instances.
type Logs struct {
	records []Record
	// Skipped counts lines without a record.
	Skipped int
}

// Read adds the records of one log.
func (l *Logs) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for s.Scan() {
		record, ok := Parse(s.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		if record.Flow != "" || record.changesInstance() {
			l.records = append(l.records, record)
		}
	}
	return s.Err()
}

// Story is what happened to a request, or to a flow.
type Story struct {
	Request string   `json:"request,omitempty"`
	Flows   []string `json:"flows"`
	Records []Record `json:"records"`
	Cause   Cause    `json:"cause"`
}

// OfRequest tells what happened to a request. Without a record of it there is no story.
func (l *Logs) OfRequest(id string) (*Story, bool) {
	var own []Record
	for _, r := range l.records {
		if r.Request == id {
			own = append(own, r)
		}
	}
	return l.tell(id, own)
}

// OfFlow tells what happened to the flows of a caller's address and port.
func (l *Logs) OfFlow(caller string) (*Story, bool) {
	var own []Record
	for _, r := range l.records {
		if strings.HasPrefix(r.Flow, caller+">") || r.Flow == caller {
			own = append(own, r)
		}
	}
	return l.tell("", own)
}

// tell gathers the records of the flows that own names, and those of the instances that handled them.
func (l *Logs) tell(id string, own []Record) (*Story, bool) {
	if len(own) == 0 {
		return nil, false
	}
	slices.SortStableFunc(own, byTime)
	from, to := own[0].Time.Add(-before), own[len(own)-1].Time.Add(after)
	s := &Story{Request: id}
	for _, r := range own {
		if !slices.Contains(s.Flows, r.Flow) {
			s.Flows = append(s.Flows, r.Flow)
		}
	}
	within := l.within(from, to)
	instances := map[string]bool{}
	for _, r := range within {
		if slices.Contains(s.Flows, r.Flow) {
			instances[r.Instance] = true
			instances[r.To] = true
		}
	}
	for _, r := range within {
		if slices.Contains(s.Flows, r.Flow) || r.Flow == "" && (instances[r.Instance] || r.Member != "" && instances[r.Member]) {
			s.Records = append(s.Records, r)
		}
	}
	s.Cause = causeOf(s)
	return s, true
}

func (l *Logs) within(from, to time.Time) []Record {
	var some []Record
	for _, r := range l.records {
		if !r.Time.Before(from) && !r.Time.After(to) {
			some = append(some, r)
		}
	}
	slices.SortStableFunc(some, byTime)
	return some
}

func byTime(a, b Record) int {
	return a.Time.Compare(b.Time)
}
