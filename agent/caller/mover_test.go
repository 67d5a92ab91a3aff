package caller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestQuiet(t *testing.T) {
	l := DrainLimits{Linger: 30 * time.Second}
	begun := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return begun.Add(time.Duration(seconds) * time.Second) }
	require.False(t, l.quiet(at(2), begun, time.Time{}))
	require.True(t, l.quiet(at(3), begun, time.Time{}))
	require.False(t, l.quiet(at(12), begun, at(10)), "an entry still sends packets here")
	require.True(t, l.quiet(at(13), begun, at(10)))
	require.True(t, l.quiet(at(30), begun, at(30)), "the bound is reached")
}
