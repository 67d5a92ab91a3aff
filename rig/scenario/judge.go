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
	lateAfterMs       = 3000
	greatestLatencyUs = 600 * 1000 * 1000
	histogramDigits   = 3
	microsPerMilli    = 1000
)

// readLines decodes a file of JSON lines; a last line cut by a kill is left out.
func readLines[T any](file string) ([]T, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var all []T
	d := json.NewDecoder(bufio.NewReaderSize(f, 1<<20))
	for {
		var v T
		err := d.Decode(&v)
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
		all = append(all, v)
	}
}

// runsByStamp counts how often each stamp began to run.
type runsByStamp map[string]int

// judge compares what callers saw with what targets ran.
func judge(c *cluster.Cluster, outcomeFiles []string, loads []caller.Load, r *Result) error {
	runs, err := judgeRuns(c, r)
	if err != nil {
		return err
	}
	short := newLatencies()
	long := newLatencies()
	var ideals []arrival
	crest := newCrest(loads)
	split := newPhases(loads)
	for _, file := range outcomeFiles {
		outcomes, err := readLines[caller.Outcome](file)
		if err != nil {
			return err
		}
		for _, o := range outcomes {
			judgeOutcome(o, runs, r)
			recordLatency(o, short, long)
			crest.note(o)
			split.note(o)
			if !o.Final && o.Kind != caller.KindDial {
				ideals = append(ideals, arrival{service: o.Service, at: float64(o.AtMs), work: o.WorkMs, counts: !o.Long})
			}
		}
	}
	r.IdealShortP99Ms = idealP99(ideals, c.Size)
	crest.sumUp(c.Size, r)
	split.sumUp(r)
	r.ShortP50Ms = short.quantileMs(50)
	r.ShortP99Ms = short.quantileMs(99)
	if long.histogram.TotalCount() > 0 {
		p := long.quantileMs(99)
		r.LongP99Ms = &p
	}
	return nil
}

func judgeRuns(c *cluster.Cluster, r *Result) (runsByStamp, error) {
	runs := runsByStamp{}
	busy := map[string]map[string]float64{}
	late := 0
	retired := false
	for _, n := range c.Agents {
		records, err := readLines[target.Run](c.RunsFile(n))
		if err != nil {
			return nil, err
		}
		retired = retired || n.RetiredMs > 0
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
			runs[run.Stamp]++
			if run.Wanted != run.Service {
				r.WrongService++
			}
			if run.Active > n.Service.Slots {
				r.SlotsExceeded++
			}
			if n.RetiredMs > 0 && run.AtMs > n.RetiredMs+lateAfterMs {
				late++
			}
		}
	}
	if retired {
		r.LateWorkOnRetiring = &late
	} else {
		r.Imbalance = imbalance(busy)
	}
	return runs, nil
}

// imbalance is the greatest over the mean of busy slot time per host, for the worst service.
func imbalance(busy map[string]map[string]float64) float64 {
	worst := 0.0
	for _, hosts := range busy {
		var total, greatest float64
		for _, b := range hosts {
			total += b
			greatest = max(greatest, b)
		}
		if total > 0 {
			worst = max(worst, greatest*float64(len(hosts))/total)
		}
	}
	return worst
}

func judgeOutcome(o caller.Outcome, runs runsByStamp, r *Result) {
	if o.Kind == caller.KindDial {
		return
	}
	r.Requests++
	switch o.Kind {
	case caller.KindAnswered:
		r.Answered++
	case caller.KindNotRun:
		r.NotRun++
		if runs[o.Stamp] > 0 {
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
	if o.Unrepeatable && runs[o.Stamp] > 1 {
		r.RanTwice++
	}
}

func recordLatency(o caller.Outcome, short, long latencies) {
	if o.Kind != caller.KindAnswered || o.Final {
		return
	}
	h := short
	if o.Long {
		h = long
	}
	h.record(o.Ms)
}
