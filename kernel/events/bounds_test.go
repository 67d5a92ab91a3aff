package events

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedDestination blocks every write until release is closed.
type blockedDestination struct{ release chan struct{} }

func (d blockedDestination) Write(b []byte) (int, error) {
	<-d.release
	return len(b), nil
}

// Guards against a logger that waits for a blocked destination. When the queue is full, records must be dropped instead.
func TestWriterNeverBlocks(t *testing.T) {
	d := blockedDestination{release: make(chan struct{})}
	defer close(d.release)
	w := NewWriter(d)
	l := NewLogger(w, Options{}, "i")
	done := make(chan struct{})
	go func() {
		for range 3 * queueCapacity {
			Started.Log(l)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("logging blocked")
	}
	require.GreaterOrEqual(t, w.Dropped(), uint64(queueCapacity))
}

// Guards against one frequent event that suppresses the records of others, and against suppressed records that are not
// reported or are reported before their second is over.
func TestLimiterLimitsEachEventAndCountsSuppressedRecords(t *testing.T) {
	var l Limiter
	now := time.Unix(100, 0)
	allowed := 0
	for range recordsPerSecond + 7 {
		if l.Allow(now, FlowPlaced) {
			allowed++
		}
	}
	require.Equal(t, recordsPerSecond, allowed)
	require.True(t, l.Allow(now, FlowReset), "each event has its own limit")
	require.Empty(t, l.Suppressed(now))
	require.Equal(t, []Suppressed{{Event: FlowPlaced, Count: 7}}, l.Suppressed(now.Add(time.Second)))
	require.True(t, l.Allow(now.Add(time.Second), FlowPlaced))
}
