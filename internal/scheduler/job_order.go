package scheduler

import (
	"cmp"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// Scheduling order. Jobs are scheduled by
//
//  1. effective priority,
//  2. precedence (see the constants of that type),
//  3. whether their pipeline's deadline is at risk,
//  4. the order in which they became ready.

// precedence orders jobs of the same effective priority, highest first.
type precedence int

const (
	// readyOrder is the default: the job is scheduled in the order of readiness.
	readyOrder precedence = iota
	// startOverdue is for jobs that have been ready for startOverdueAfter without a
	// placed task. A job that has started makes progress without further tasks; one
	// that has not started does not.
	startOverdue
	// gangOverdue is for gangs that have been ready for startOverdueAfter and still have
	// unassigned tasks. A gang needs much capacity at once and makes no progress until
	// it is complete.
	gangOverdue
	// withinQuota is for jobs within their team's quota, which is guaranteed.
	withinQuota
)

// startOverdueAfter is how long a job that has not started is scheduled in the order of
// readiness. The objective for the largest jobs is a start within four minutes. In a full
// cluster the running tasks need most of that time to exit, and tasks that became ready
// earlier (of small jobs, or preempted) keep taking the machines that are free first.
const startOverdueAfter = time.Minute

// A deadline is at risk if the time left is less than startMargin plus runtimeMargin
// times the expected runtime. Estimates of the runtime are often wrong by half or more.
const (
	runtimeMargin = 2.0
	startMargin   = 20 * time.Second
)

// sortJobs sorts jobs into scheduling order. They must be in the order of readiness.
func sortJobs(jobs []*pipeline.Job, now event.Time) {
	slices.SortStableFunc(jobs, func(a, b *pipeline.Job) int { return compareJobs(a, b, now) })
}

// compareJobs compares two jobs in scheduling order. It returns 0 if only the order of
// readiness decides.
func compareJobs(a, b *pipeline.Job, now event.Time) int {
	if a.EffectivePriority != b.EffectivePriority {
		return cmp.Compare(b.EffectivePriority, a.EffectivePriority)
	}
	precedenceA := precedenceOf(a, now)
	precedenceB := precedenceOf(b, now)
	if precedenceA != precedenceB {
		return cmp.Compare(precedenceB, precedenceA)
	}
	riskA := deadlineAtRisk(a, now)
	riskB := deadlineAtRisk(b, now)
	switch {
	case riskA == riskB:
		return 0
	case riskA:
		return -1
	default:
		return 1
	}
}

// precedenceOf returns the precedence of a queued job. A job at fault is never overdue,
// since it cannot start on any machine.
func precedenceOf(job *pipeline.Job, now event.Time) precedence {
	switch {
	case job.WithinQuota():
		return withinQuota
	case job.IsGang() && !job.AtFault() && job.ReadyLongerThan(startOverdueAfter, now):
		return gangOverdue
	case job.StartOverdue(startOverdueAfter, now):
		return startOverdue
	default:
		return readyOrder
	}
}

// deadlineAtRisk reports whether the time until a pipeline job's effective deadline, which
// allows for the longest path of downstream jobs, is less than the job is expected to need.
func deadlineAtRisk(job *pipeline.Job, now event.Time) bool {
	if !job.Chained || job.EffectiveDeadline == pipeline.NoDeadline {
		return false
	}
	remaining := job.EffectiveDeadline - now
	needed := startMargin + time.Duration(runtimeMargin*job.EstimatedRuntime*nanosecondsPerSecond)
	return remaining < needed
}
