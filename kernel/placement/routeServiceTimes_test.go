package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRouteServiceTimesDetectLongRoutes(t *testing.T) {
	var r RouteServiceTimes
	require.False(t, r.IsLong("/batch"), "an unknown route counts as short")
	for i := range 400 {
		r.Observe("/run", 20*time.Millisecond)
		if i%200 == 0 {
			r.Observe("/batch", 2*time.Second)
		}
	}
	require.True(t, r.IsLong("/batch"))
	require.False(t, r.IsLong("/run"))
}

// TestSingleRouteIsNeverLong checks that the limit on long requests never applies to a service whose only route is
// slow, which could then use only half of its slots.
func TestSingleRouteIsNeverLong(t *testing.T) {
	var r RouteServiceTimes
	for range 100 {
		r.Observe("/batch", 2*time.Second)
	}
	require.False(t, r.IsLong("/batch"))
}

func TestExpectedWaitGrowsWithQueue(t *testing.T) {
	var s MeanServiceTime
	require.Zero(t, s.ExpectedWait(10, 4))
	s.Observe(40 * time.Millisecond)
	require.Equal(t, 10*time.Millisecond, s.ExpectedWait(0, 4))
	require.Equal(t, 100*time.Millisecond, s.ExpectedWait(9, 4))
}

func TestRetryAfterSpreadsRetries(t *testing.T) {
	require.Equal(t, time.Second, RetryAfter(3*time.Second, 0))
	require.Equal(t, 7*time.Second, RetryAfter(3*time.Second, 1))
}
