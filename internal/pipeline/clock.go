package pipeline

import "time"

// SetClock sets the time of day at a steady time, so that times stored by another
// process can be compared with the steady one.
func (t *Table) SetClock(now time.Duration, wall time.Time) {
	t.clockOffset = wall.UnixNano() - int64(now)
}

// UnixMS is the time of day at a steady time, 0 while it is not known.
func (t *Table) UnixMS(now time.Duration) int64 {
	if t.clockOffset == 0 {
		return 0
	}
	return (t.clockOffset + int64(now)) / int64(time.Millisecond)
}

// monotonicTime converts a stored time, in Unix ms, to the steady one in ns. It is
// never in the future, also if the clock of the process that stored it is ahead.
func (t *Table) monotonicTime(unixMS int64) int64 {
	return min(unixMS*int64(time.Millisecond)-t.clockOffset, max(t.Now, 1))
}

// nanoseconds converts a duration in seconds, as jobs give it.
func nanoseconds(seconds float64) int64 { return int64(seconds * float64(time.Second)) }
