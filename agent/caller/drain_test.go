package caller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLingerDone(t *testing.T) {
	l := DrainLimits{Linger: 30 * time.Second}
	started := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return started.Add(time.Duration(seconds) * time.Second) }
	require.False(t, l.lingerDone(at(2), started, time.Time{}))
	require.True(t, l.lingerDone(at(3), started, time.Time{}))
	require.False(t, l.lingerDone(at(12), started, at(10)), "an entry still sends packets here")
	require.True(t, l.lingerDone(at(13), started, at(10)))
	require.True(t, l.lingerDone(at(30), started, at(30)), "the limit is reached")
}
