package pipeline

import (
	"time"

	"lugward/internal/event"
)

// clock holds the time of the input being handled and the offset between monotonic time
// and wall-clock time.
type clock struct {
	now         event.Time
	clockOffset int64 // Unix time in ns at monotonic time 0, zero if not known yet
}

// SetNow sets the time of the input being handled.
func (c *clock) SetNow(now event.Time) { c.now = now }

// Now returns the time of the input being handled.
func (c *clock) Now() event.Time { return c.now }

// SetClock sets the wall-clock time at a monotonic time, so that times stored by other
// processes can be converted to monotonic times.
func (c *clock) SetClock(now event.Time, wall time.Time) {
	c.clockOffset = wall.UnixNano() - int64(now)
}

// UnixNano returns the wall-clock time at a monotonic time, in Unix ns, or zero if it is
// not known yet.
func (c *clock) UnixNano(now event.Time) int64 {
	if c.clockOffset == 0 {
		return 0
	}
	return c.clockOffset + int64(now)
}

// UnixMS returns the wall-clock time at a monotonic time, in Unix ms, or zero if it is not
// known yet.
func (c *clock) UnixMS(now event.Time) int64 {
	return c.UnixNano(now) / int64(time.Millisecond)
}

// monotonicTime converts a stored time in Unix ms to a monotonic time. The result is never
// in the future, even if the clock of the process that stored the time is ahead.
func (c *clock) monotonicTime(unixMS int64) event.Time {
	return min(event.Time(unixMS*int64(time.Millisecond)-c.clockOffset), max(c.now, 1))
}

// secondsToDuration converts seconds, the unit of job specifications, to a duration.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
