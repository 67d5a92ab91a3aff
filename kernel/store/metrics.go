package store

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

var operationNames = [...]string{"get", "list", "watch", "create", "replace", "delete"}

// Count counts a call in the default metrics; status 0 stands for no answer.
func Count(o Operation, status int) {
	metrics.GetOrCreateCounter(`coltsfootline_store_calls_total{operation="` + operationNames[o] +
		`",status="` + strconv.Itoa(status) + `"}`).Inc()
}
