package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// TestSilentWatchIsGivenUpInTime checks that a watch without a reply ends, and is retried, within the 3 s after which
// an acknowledged plan must be in force.
func TestSilentWatchIsGivenUpInTime(t *testing.T) {
	const inForce = 3 * time.Second
	require.Less(t, watchTimeout+store.WatchMargin+minRetryDelay, inForce)
}
