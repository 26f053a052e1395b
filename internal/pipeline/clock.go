package pipeline

import (
	"time"
)

// SetClock tells the time of day at a steady time, so that what was stored by
// another process can be counted from.
func (t *Table) SetClock(now time.Duration, wall time.Time) {
	t.wall = wall.UnixNano() - int64(now)
}

// UnixMS is the time of day at a steady time, 0 while it is not known.
func (t *Table) UnixMS(now time.Duration) int64 {
	if t.wall == 0 {
		return 0
	}
	return (t.wall + int64(now)) / 1e6
}

// steady turns a stored time into the steady one; clocks that disagree put
// nothing into the future.
func (t *Table) steady(ms int64) int64 { return min(ms*1e6-t.wall, max(t.Now, 1)) }
