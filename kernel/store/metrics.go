package store

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

// operationNames holds the metric label of each operation.
var operationNames = [...]string{"get", "list", "watch", "create", "replace", "delete"}

// CountCall increments the counter of calls with this operation and HTTP status in the default metrics set. Status 0
// means that there was no response. It is meant for Client.OnCall.
func CountCall(o Operation, status int) {
	metrics.GetOrCreateCounter(`coltsfootline_store_calls_total{operation="` + operationNames[o] +
		`",status="` + strconv.Itoa(status) + `"}`).Inc()
}
