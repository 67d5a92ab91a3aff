package scenario

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/coltsfootline/coltsfootline/rig/caller"
)

const latencyRequestsPerSecond = 50

func init() {
	Scenarios.Register("latency", Scenario{
		Purpose: "few requests that need no work: what the path itself costs",
		Planned: true,
		Adjust: func(l *caller.Load) {
			l.RequestsPerSecond = latencyRequestsPerSecond
			l.ShortMs = 0
			l.LongShare = 0
		},
	})
}

// latencies collects times of requests.
type latencies struct {
	histogram *hdrhistogram.Histogram
}

func newLatencies() latencies {
	return latencies{histogram: hdrhistogram.New(1, greatestLatencyUs, histogramDigits)}
}

func (l latencies) record(ms float64) {
	_ = l.histogram.RecordValue(max(int64(ms*microsPerMilli), 1))
}

// quantileMs is the time, in milliseconds, that the given percentage of requests did not exceed.
func (l latencies) quantileMs(percent float64) float64 {
	return float64(l.histogram.ValueAtQuantile(percent)) / microsPerMilli
}
