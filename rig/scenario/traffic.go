package scenario

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const controlMetric = "coltsfootline_control_bytes_total"

// controlBytes returns the total bytes of control messages, read and written, of each running process.
func (e *Experiment) controlBytes(ctx context.Context) map[string]float64 {
	totals := map[string]float64{}
	for _, n := range e.Cluster.Running() {
		if total, ok := fetchControlBytes(ctx, "http://"+n.Admin.String()+"/metrics"); ok {
			totals[n.Name] = total
		}
	}
	return totals
}

// fetchControlBytes reads a metrics page and adds up the values of controlMetric over all labels. It reports false if
// the page could not be read.
func fetchControlBytes(ctx context.Context, url string) (float64, bool) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	total := 0.0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if name, value, ok := strings.Cut(lines.Text(), " "); ok && strings.HasPrefix(name, controlMetric) {
			v, err := strconv.ParseFloat(value, 64)
			if err == nil {
				total += v
			}
		}
	}
	return total, true
}

// maxBytesPerSecond returns the highest rate of any process that ran for the whole time. The maps hold the totals by
// process name.
func maxBytesPerSecond(before, after map[string]float64, elapsed time.Duration) float64 {
	highest := 0.0
	for name, b := range before {
		if a, ok := after[name]; ok {
			highest = max(highest, (a-b)/elapsed.Seconds())
		}
	}
	return highest
}
