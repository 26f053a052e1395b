package scheduler

import (
	"sort"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// maxStartDelay is how long a job waits to begin in the order of readiness. The
	// largest are to begin within four minutes; in a full site the tasks in their
	// places need most of that to end, and work that was ready before keeps coming
	// into the places that end first: small jobs, and tasks that were stopped.
	maxStartDelay = time.Minute
	// A deadline is at risk if what is left of the time is less than riskFactor
	// times what is expected to be needed, as estimates are often wrong by half and
	// more, and riskMargin.
	riskFactor = 2.0
	riskMargin = 20 * time.Second
)

// precedence orders jobs of the same priority, the greatest first.
type precedence int

const (
	byReadiness precedence = iota
	startOverdue
	gangOverdue
	withinGuarantee
)

// precedenceOf returns the precedence of a job. A gang is overdue as long as any
// of its tasks waits, any other job until its first task is placed; a job that is
// at fault is not, as it never begins.
func precedenceOf(job *pipeline.Job, now event.Time) precedence {
	waited := now - job.ReadySince
	overdue := waited > maxStartDelay && !job.AtFault()
	switch {
	case job.WithinQuota:
		return withinGuarantee
	case overdue && job.IsGang():
		return gangOverdue
	case overdue && !job.HasStarted():
		return startOverdue
	default:
		return byReadiness
	}
}

// order puts jobs within their team's guarantee before others of the same priority,
// then gangs and then other jobs that have waited to begin for long; within equal
// precedence the order of readiness stays.
func order(jobs []*pipeline.Job, now event.Time) {
	sort.SliceStable(jobs, func(a, b int) bool { return goesBefore(jobs[a], jobs[b], now) })
}

// goesBefore tells whether a job is scheduled before another whatever the order of
// readiness.
func goesBefore(job, other *pipeline.Job, now event.Time) bool {
	if job.EffectivePriority != other.EffectivePriority {
		return job.EffectivePriority > other.EffectivePriority
	}
	precedence := precedenceOf(job, now)
	otherPrecedence := precedenceOf(other, now)
	if precedence != otherPrecedence {
		return precedence > otherPrecedence
	}
	return deadlineAtRisk(job, now) && !deadlineAtRisk(other, now)
}

// deadlineAtRisk tells whether a job of a chain has little more time left than it
// and its longest path to the deadline are expected to take: it goes before others
// of its precedence.
func deadlineAtRisk(job *pipeline.Job, now event.Time) bool {
	if !job.Chained || job.EffectiveDeadline == pipeline.NoDeadline {
		return false
	}
	left := job.EffectiveDeadline - now
	needed := riskMargin + time.Duration(riskFactor*job.EstimatedRuntime*nanosecondsPerSecond)
	return left < needed
}
