package dataplane

import (
	"io"
	"log/slog"

	"github.com/coltsfootline/coltsfootline/kernel/events"
	"github.com/coltsfootline/coltsfootline/kernel/flow"
	"github.com/coltsfootline/coltsfootline/kernel/plan"
	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// Components holds the parts that depend on the packet form and that entries and agents have in common.
type Components struct {
	Codec  flow.Codec
	Format plan.Format
	Store  *store.Client
	Logger *slog.Logger
}

// NewComponents looks up the registered codec and plan format of a form and creates the store client and a non-blocking
// logger. It also registers the metric of dropped log records.
func NewComponents(form, storeURL string, logs io.Writer, o events.Options, instance string) (Components, error) {
	codec, err := flow.Codecs.Get(form)
	if err != nil {
		return Components{}, err
	}
	format, err := plan.Formats.Get(form)
	if err != nil {
		return Components{}, err
	}
	client, err := store.NewClient(storeURL, form)
	if err != nil {
		return Components{}, err
	}
	writer := events.NewWriter(logs)
	RegisterGauge("coltsfootline_log_records_dropped_total", func() float64 { return float64(writer.Dropped()) })
	logger := events.NewLogger(writer, o, instance)
	client.Observe(logger)
	return Components{Codec: codec, Format: format, Store: client, Logger: logger}, nil
}
