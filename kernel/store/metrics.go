package store

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

var operationNames = [...]string{"get", "list", "watch", "create", "replace", "delete"}

// Count increments the call counter in the default metrics set. Status 0 means that there was no response.
func Count(o Operation, status int) {
	metrics.GetOrCreateCounter(`coltsfootline_store_calls_total{operation="` + operationNames[o] +
		`",status="` + strconv.Itoa(status) + `"}`).Inc()
}
