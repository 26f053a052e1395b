package pipeline

import (
	"time"

	"lugward/internal/event"
)

// ReadyLongerThan reports whether the job became ready more than a time ago.
func (j *Job) ReadyLongerThan(wait time.Duration, now event.Time) bool {
	return now-j.ReadySince > wait
}

// StartOverdue reports whether the job has been ready for longer than a limit and no
// task of it has been placed yet. A job at fault is never overdue: waiting does not
// entitle it to more than its probe.
func (j *Job) StartOverdue(limit time.Duration, now event.Time) bool {
	return j.ReadyLongerThan(limit, now) && !j.HasStarted() && !j.AtFault()
}
