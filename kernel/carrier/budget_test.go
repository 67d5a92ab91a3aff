package carrier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Whatever a tick did before, searches go on by one step: otherwise an entry whose sweep takes long would never end one.
func TestSpendTakesAtLeastOneStep(t *testing.T) {
	steps := 0
	Spend(0, func() bool { steps++; return true })
	require.Equal(t, 1, steps)
	Spend(time.Hour, func() bool { steps++; return steps < 5 })
	require.Equal(t, 5, steps)
}
