package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// TestWatchEndsBeforePlanActivationLimit checks that a watch without a reply ends, and is retried, within the 3 s after
// which an acknowledged plan must be in force.
func TestWatchEndsBeforePlanActivationLimit(t *testing.T) {
	const planActivationLimit = 3 * time.Second
	require.Less(t, watchTimeout+store.WatchMargin+minRetryDelay, planActivationLimit)
}
