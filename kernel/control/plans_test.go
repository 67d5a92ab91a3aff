package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootline/coltsfootline/kernel/store"
)

// A plan must be in force 3 s after its acknowledgement; a watch that hears nothing must not take longer to be given up.
func TestSilentWatchIsGivenUpInTime(t *testing.T) {
	const inForce = 3 * time.Second
	require.Less(t, watchWait+store.WatchMargin+retryLeast, inForce)
}
