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
		AdjustLoad: func(l *caller.Load) {
			l.RequestsPerSecond = latencyRequestsPerSecond
			l.ShortMs = 0
			l.LongShare = 0
		},
	})
}

// latencyHistogram records request latencies.
type latencyHistogram struct {
	histogram *hdrhistogram.Histogram
}

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{histogram: hdrhistogram.New(1, maxLatencyUs, histogramSignificantDigits)}
}

func (l latencyHistogram) record(ms float64) {
	_ = l.histogram.RecordValue(max(int64(ms*microsPerMilli), 1))
}

// percentileMs returns the latency, in milliseconds, at the given percentile.
func (l latencyHistogram) percentileMs(percentile float64) float64 {
	return float64(l.histogram.ValueAtQuantile(percentile)) / microsPerMilli
}
