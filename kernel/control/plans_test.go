package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// TestWatchEndsBeforePlanActivationLimit checks that a watch without a reply ends, and that the listing after it and the
// spread of the plan fit into the 3 s after which an acknowledged plan must be in force, with a tenth of a second to spare.
func TestWatchEndsBeforePlanActivationLimit(t *testing.T) {
	const (
		planActivationLimit = 3 * time.Second
		// slowListing is the time of a listing by a slow store over a new connection, and spread that from a watcher to all
		// instances of a small deployment.
		slowListing = 320 * time.Millisecond
		spread      = 300 * time.Millisecond
	)
	require.Less(t, watchTimeout+store.WatchMargin+minRetryDelay+slowListing+spread, planActivationLimit-100*time.Millisecond)
}
