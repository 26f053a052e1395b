package pipeline

import (
	"time"

	"lugward/internal/event"
)

// SetClock sets the time of day at a monotonic time, so that times stored by another
// process can be compared with monotonic ones.
func (t *Table) SetClock(now event.Time, wall time.Time) {
	t.clockOffset = wall.UnixNano() - int64(now)
}

// UnixMS is the time of day at a monotonic time, 0 while it is not known.
func (t *Table) UnixMS(now event.Time) int64 {
	if t.clockOffset == 0 {
		return 0
	}
	return (t.clockOffset + int64(now)) / int64(time.Millisecond)
}

// monotonicTime converts a stored time, in Unix ms, to a point on the monotonic clock. It is
// never in the future, also if the clock of the process that stored it is ahead.
func (t *Table) monotonicTime(unixMS int64) event.Time {
	return min(event.Time(unixMS*int64(time.Millisecond)-t.clockOffset), max(t.now, 1))
}

// secondsToDuration converts a number of seconds, as jobs give it.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
