package store

import (
	"log/slog"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coltsfootline/coltsfootline/kernel/events"
)

// operationNames holds the metric label of each operation.
var operationNames = [...]string{"get", "list", "watch", "create", "replace", "delete"}

// Observe logs each return of the store from an older copy and exposes the era in the default metrics set.
func (c *Client) Observe(l *slog.Logger) {
	c.OnCall = CountCall
	c.OnReturn = func(previous, era uint64) {
		events.StoreReturned.Log(l, slog.Uint64("previousEra", previous), slog.Uint64("era", era))
	}
	metrics.GetOrCreateGauge("coltsfootline_store_era", func() float64 { return float64(c.Era()) })
}

// CountCall increments the counter of calls with this operation and HTTP status in the default metrics set. Status 0
// means that there was no response. It is meant for Client.OnCall.
func CountCall(o Operation, status int) {
	metrics.GetOrCreateCounter(`coltsfootline_store_calls_total{operation="` + operationNames[o] +
		`",status="` + strconv.Itoa(status) + `"}`).Inc()
}
