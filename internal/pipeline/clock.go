package pipeline

import (
	"time"

	"lugward/internal/event"
)

// clock knows the time of the input that is being handled, and how monotonic times
// relate to the time of day.
type clock struct {
	now         event.Time
	clockOffset int64 // Unix time in ns at monotonic time 0; 0: not known yet
}

// SetNow sets the time of the input that is being handled.
func (c *clock) SetNow(now event.Time) { c.now = now }

// Now returns the time of the input that is being handled.
func (c *clock) Now() event.Time { return c.now }

// SetClock sets the time of day at a monotonic time, so that times stored by another
// process can be compared with monotonic ones.
func (c *clock) SetClock(now event.Time, wall time.Time) {
	c.clockOffset = wall.UnixNano() - int64(now)
}

// UnixMS is the time of day at a monotonic time, 0 while it is not known.
func (c *clock) UnixMS(now event.Time) int64 {
	if c.clockOffset == 0 {
		return 0
	}
	return (c.clockOffset + int64(now)) / int64(time.Millisecond)
}

// monotonicTime converts a stored time, in Unix ms, to a point on the monotonic clock. It is
// never in the future, also if the clock of the process that stored it is ahead.
func (c *clock) monotonicTime(unixMS int64) event.Time {
	return min(event.Time(unixMS*int64(time.Millisecond)-c.clockOffset), max(c.now, 1))
}

// secondsToDuration converts a number of seconds, as jobs give it.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
