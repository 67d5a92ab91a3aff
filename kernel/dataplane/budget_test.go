package dataplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A search must advance by at least one step per tick, even if the rest of the tick used up the time. Otherwise an
// entry with a slow sweep never completes a search.
func TestRepeatWithinCallsStepAtLeastOnce(t *testing.T) {
	steps := 0
	RepeatWithin(0, func() bool { steps++; return true })
	require.Equal(t, 1, steps)
	RepeatWithin(time.Hour, func() bool { steps++; return steps < 5 })
	require.Equal(t, 5, steps)
}
