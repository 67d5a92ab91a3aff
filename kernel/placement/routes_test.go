package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRouteTimesLearnWhatIsLong(t *testing.T) {
	var r RouteTimes
	require.False(t, r.Long("/batch"), "an unknown route counts as short")
	for i := range 400 {
		r.Note("/run", 20*time.Millisecond)
		if i%200 == 0 {
			r.Note("/batch", 2*time.Second)
		}
	}
	require.True(t, r.Long("/batch"))
	require.False(t, r.Long("/run"))
}

// TestOnlyRouteIsNeverLong checks that a service whose requests are all alike keeps all its slots.
func TestOnlyRouteIsNeverLong(t *testing.T) {
	var r RouteTimes
	for range 100 {
		r.Note("/batch", 2*time.Second)
	}
	require.False(t, r.Long("/batch"))
}

func TestWaitGrowsWithTheQueue(t *testing.T) {
	var s ServiceTime
	require.Zero(t, s.Wait(10, 4))
	s.Note(40 * time.Millisecond)
	require.Equal(t, 10*time.Millisecond, s.Wait(0, 4))
	require.Equal(t, 100*time.Millisecond, s.Wait(9, 4))
}

func TestRetryAfterSpreads(t *testing.T) {
	require.Equal(t, time.Second, RetryAfter(3*time.Second, 0))
	require.Equal(t, 7*time.Second, RetryAfter(3*time.Second, 1))
}
