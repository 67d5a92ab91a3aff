package dataplane

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspensionClock measures how long the machine has been suspended. Only the clock of the time since boot advances
// meanwhile, unlike the monotonic one; the wall clock may also be set.
type suspensionClock struct {
	// read returns the total time that the machine was suspended since boot. It is nil for the real clocks.
	read func() time.Duration
	// total is what read returned at the last call of advance.
	total time.Duration
}

// advance returns how long the machine was suspended since the previous call.
func (c *suspensionClock) advance() time.Duration {
	read := c.read
	if read == nil {
		read = suspendedSinceBoot
	}
	previous := c.total
	c.total = read()
	return c.total - previous
}

// suspendedSinceBoot returns the total time that the machine was suspended since boot, or 0 if a clock can't be read.
func suspendedSinceBoot() time.Duration {
	var sinceBoot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(sinceBoot.Nano() - monotonic.Nano())
}

// pauseBetween returns the time between two clock readings, including a suspension of the machine.
func (c *suspensionClock) pauseBetween(previous, now time.Time) time.Duration {
	return c.pause(now.Sub(previous), now.Round(0).Sub(previous.Round(0)))
}

// pause returns the duration of a pause that the monotonic and the wall clock measured. It reads the suspension clock
// only if the wall clock advanced for longer than maxPause and the monotonic one did not, because that costs two system
// calls. A wall clock that was merely set causes no pause.
func (c *suspensionClock) pause(monotonic, wall time.Duration) time.Duration {
	if monotonic > maxPause || wall <= maxPause {
		return monotonic
	}
	return monotonic + max(c.advance(), 0)
}
