package events

import (
	"io"
	"sync/atomic"
)

// queuedRecords is how many records wait for a slow reader before further ones are dropped.
const queuedRecords = 512

// Writer passes records to another writer without ever blocking the caller.
type Writer struct {
	to      io.Writer
	records chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewWriter starts a writer.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{to: to, records: make(chan []byte, queuedRecords), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a record, or drops and counts it when the reader is too slow.
func (w *Writer) Write(record []byte) (int, error) {
	select {
	case w.records <- append([]byte(nil), record...):
	default:
		w.dropped.Add(1)
	}
	return len(record), nil
}

// Dropped is how many records were dropped.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

func (w *Writer) run() {
	for r := range w.records {
		if _, err := w.to.Write(r); err != nil {
			w.dropped.Add(1)
		}
	}
	close(w.done)
}
