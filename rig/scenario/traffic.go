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

// controlBytes reads how many octets of control messages each process has read and written so far.
func (e *Experiment) controlBytes(ctx context.Context) map[string]float64 {
	found := map[string]float64{}
	for _, n := range e.Cluster.Running() {
		if total, ok := sumMetric(ctx, "http://"+n.Admin.String()+"/metrics"); ok {
			found[n.Name] = total
		}
	}
	return found
}

func sumMetric(ctx context.Context, url string) (float64, bool) {
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

// greatestRate is the greatest growth a second of any process that lived through the whole time.
func greatestRate(before, after map[string]float64, elapsed time.Duration) float64 {
	greatest := 0.0
	for name, b := range before {
		if a, ok := after[name]; ok {
			greatest = max(greatest, (a-b)/elapsed.Seconds())
		}
	}
	return greatest
}
