package events

import (
	"io"
	"sync/atomic"
)

// queueCapacity is how many records are queued for a slow destination before further records are dropped.
const queueCapacity = 512

// Writer writes records to another writer in the background, so that a slow destination never blocks the caller.
// Records that are still queued when the process exits are lost.
type Writer struct {
	destination io.Writer
	records     chan []byte
	done        chan struct{}
	dropped     atomic.Uint64
}

// NewWriter starts a goroutine that writes queued records to the destination.
func NewWriter(destination io.Writer) *Writer {
	w := &Writer{destination: destination, records: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a record. If the queue is full, it drops and counts the record. It never returns an error.
func (w *Writer) Write(record []byte) (int, error) {
	select {
	case w.records <- append([]byte(nil), record...):
	default:
		w.dropped.Add(1)
	}
	return len(record), nil
}

// Dropped returns the number of records that were dropped or that the destination failed to write.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

func (w *Writer) run() {
	for r := range w.records {
		if _, err := w.destination.Write(r); err != nil {
			w.dropped.Add(1)
		}
	}
	close(w.done)
}
