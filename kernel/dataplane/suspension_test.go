package dataplane

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A wall clock that was set by seconds once looked like a suspension, and each loop dropped the packets in its socket.
func TestSettingTheClockIsNoPause(t *testing.T) {
	suspended := time.Duration(0)
	c := suspensionClock{read: func() time.Duration { return suspended }}
	c.advance()
	const step = 2400 * time.Millisecond
	require.LessOrEqual(t, c.pause(time.Millisecond, step), maxPause)
	suspended = step
	require.Greater(t, c.pause(time.Millisecond, step), maxPause)
	require.LessOrEqual(t, c.pause(time.Millisecond, step), maxPause, "a suspension counts once")
	require.Equal(t, step, c.pause(step, step))
}

func TestRealClocksAreReadable(t *testing.T) {
	var c suspensionClock
	c.advance()
	require.GreaterOrEqual(t, c.advance(), -time.Second)
	require.Less(t, c.advance(), time.Second)
}
