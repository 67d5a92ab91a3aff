package scenario

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"github.com/coltsfootline/coltsfootline/rig/caller"
	"github.com/coltsfootline/coltsfootline/rig/cluster"
	"github.com/coltsfootline/coltsfootline/rig/target"
)

const (
	// retirementGraceMs is how long a target may start requests after its agent was told to retire.
	retirementGraceMs          = 3000
	maxLatencyUs               = 600 * 1000 * 1000
	histogramSignificantDigits = 3
	microsPerMilli             = 1000
)

// readJSONLines decodes a file of JSON values, one per line. It ignores an incomplete last line, which a killed process
// can leave.
func readJSONLines[T any](file string) ([]T, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var records []T
	d := json.NewDecoder(bufio.NewReaderSize(f, 1<<20))
	for {
		var v T
		err := d.Decode(&v)
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return records, nil
		}
		if err != nil {
			return nil, err
		}
		records = append(records, v)
	}
}

// runsByRequestID maps each request ID to the number of times that targets started the request.
type runsByRequestID map[string]int

// evaluate compares the outcomes that callers recorded with the runs that targets recorded, and sets the counts and
// latencies of the result.
func evaluate(c *cluster.Cluster, outcomeFiles []string, loads []caller.Load, r *Result) error {
	runs, err := evaluateRuns(c, r)
	if err != nil {
		return err
	}
	short := newLatencyHistogram()
	long := newLatencyHistogram()
	var arrivals []arrival
	surges := newSurgeStats(loads)
	stragglers := newStragglerStats(loads)
	for _, file := range outcomeFiles {
		outcomes, err := readJSONLines[caller.Outcome](file)
		if err != nil {
			return err
		}
		for _, o := range outcomes {
			countOutcome(o, runs, r)
			recordLatency(o, short, long)
			surges.record(o)
			stragglers.record(o)
			if !o.Final && o.Kind != caller.KindDialFailed {
				arrivals = append(arrivals, arrival{service: o.Service, atMs: float64(o.AtMs), workMs: o.WorkMs, measured: !o.Long})
			}
		}
	}
	r.IdealShortP99Ms = idealP99(arrivals, c.Size)
	surges.report(c.Size, r)
	stragglers.report(r)
	r.ShortP50Ms = short.percentileMs(50)
	r.ShortP99Ms = short.percentileMs(99)
	if long.histogram.TotalCount() > 0 {
		p := long.percentileMs(99)
		r.LongP99Ms = &p
	}
	return nil
}

// evaluateRuns counts how often each request started and the violations in the records of all targets. It sets
// LateWorkOnRetiring if any agent retired, otherwise Imbalance.
func evaluateRuns(c *cluster.Cluster, r *Result) (runsByRequestID, error) {
	runs := runsByRequestID{}
	busy := map[string]map[string]float64{}
	lateRuns := 0
	anyRetired := false
	for _, n := range c.Agents {
		records, err := readJSONLines[target.Run](c.RunsFile(n))
		if err != nil {
			return nil, err
		}
		anyRetired = anyRetired || n.RetiredMs > 0
		name := n.Service.Service.Name
		if busy[name] == nil {
			busy[name] = map[string]float64{}
		}
		for _, run := range records {
			if run.End && !run.Final {
				busy[name][n.Name] += float64(run.BusyUs)
			}
			if run.End {
				continue
			}
			runs[run.RequestID]++
			if run.WantedService != run.Service {
				r.WrongService++
			}
			if run.Active > n.Service.Slots {
				r.SlotsExceeded++
			}
			if n.RetiredMs > 0 && run.AtMs > n.RetiredMs+retirementGraceMs {
				lateRuns++
			}
		}
	}
	if anyRetired {
		r.LateWorkOnRetiring = &lateRuns
	} else {
		r.Imbalance = imbalance(busy)
	}
	return runs, nil
}

// imbalance returns the busy time of the busiest host of a service divided by the mean over the hosts of that service,
// for the service where this ratio is highest. The argument maps service names and instances to busy times.
func imbalance(busy map[string]map[string]float64) float64 {
	worst := 0.0
	for _, hosts := range busy {
		var total, busiest float64
		for _, b := range hosts {
			total += b
			busiest = max(busiest, b)
		}
		if total > 0 {
			worst = max(worst, busiest*float64(len(hosts))/total)
		}
	}
	return worst
}

// countOutcome adds the outcome of a request to the counts of the result.
func countOutcome(o caller.Outcome, runs runsByRequestID, r *Result) {
	if o.Kind == caller.KindDialFailed {
		return
	}
	r.Requests++
	switch o.Kind {
	case caller.KindAnswered:
		r.Answered++
	case caller.KindNotRun:
		r.NotRun++
		if runs[o.RequestID] > 0 {
			r.NotRunButRan++
		}
	case caller.KindCrossed:
		r.CrossedAnswers++
	case caller.KindCut:
		r.CutAnswers++
	case caller.KindBroken:
		r.Unknown++
		r.SlowestEndMs = max(r.SlowestEndMs, o.Ms)
	default:
		r.Unknown++
	}
	if o.NonIdempotent && runs[o.RequestID] > 1 {
		r.RanTwice++
	}
}

func recordLatency(o caller.Outcome, short, long latencyHistogram) {
	if o.Kind != caller.KindAnswered || o.Final {
		return
	}
	h := short
	if o.Long {
		h = long
	}
	h.record(o.Ms)
}
