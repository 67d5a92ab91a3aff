package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Failure guarded against: a bucket that is full at first use, or that goes on filling beyond its burst.
func TestTokenBucket(t *testing.T) {
	now := time.Unix(1000, 0)
	take := func(b *TokenBucket) (taken int) {
		for b.Take(now) {
			taken++
		}
		return taken
	}
	require.Zero(t, take(&TokenBucket{}))
	b := TokenBucket{Rate: 10, Burst: 4}
	require.Zero(t, take(&b))
	now = now.Add(200 * time.Millisecond)
	require.Equal(t, 2, take(&b))
	now = now.Add(time.Minute)
	require.Equal(t, 4, take(&b))
	now = now.Add(-time.Second)
	require.Zero(t, take(&b))
	now = now.Add(time.Minute)
	b.Empty(now)
	require.Zero(t, take(&b))
}
