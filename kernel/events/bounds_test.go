package events

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type stuckReader struct{ release chan struct{} }

func (r stuckReader) Write(b []byte) (int, error) {
	<-r.release
	return len(b), nil
}

// A reader that never reads costs records, not time.
func TestWriterNeverBlocks(t *testing.T) {
	r := stuckReader{release: make(chan struct{})}
	defer close(r.release)
	w := NewWriter(r)
	l := NewLogger(w, Options{}, "i")
	done := make(chan struct{})
	go func() {
		for range 3 * queuedRecords {
			Started.Log(l)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("logging blocked")
	}
	require.GreaterOrEqual(t, w.Dropped(), uint64(queuedRecords))
}

func TestLimiterBoundsAnEventAndCountsTheRest(t *testing.T) {
	var l Limiter
	now := time.Unix(100, 0)
	allowed := 0
	for range recordsPerSecond + 7 {
		if l.Allow(now, FlowPlaced) {
			allowed++
		}
	}
	require.Equal(t, recordsPerSecond, allowed)
	require.True(t, l.Allow(now, FlowReset), "each event has its own bound")
	require.Empty(t, l.Suppressed(now))
	require.Equal(t, []Suppressed{{Event: FlowPlaced, Count: 7}}, l.Suppressed(now.Add(time.Second)))
	require.True(t, l.Allow(now.Add(time.Second), FlowPlaced))
}
