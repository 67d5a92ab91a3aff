package dataplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a tick that runs no step because its time is already used up. An entry with a slow sweep would then
// never complete a search.
func TestRepeatWithinCallsStepAtLeastOnce(t *testing.T) {
	steps := 0
	RepeatWithin(0, func() bool { steps++; return true })
	require.Equal(t, 1, steps)
	RepeatWithin(time.Hour, func() bool { steps++; return steps < 5 })
	require.Equal(t, 5, steps)
}
