package scheduler

import (
	"cmp"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// The rules of order. Jobs are scheduled by
//
//  1. effective priority,
//  2. precedence (see the constants of that type),
//  3. whether their pipeline's deadline is at risk,
//  4. the order in which they became ready.

// precedence orders jobs of the same priority, the greatest first.
type precedence int

const (
	// readyOrder is for jobs without a reason to go first.
	readyOrder precedence = iota
	// startOverdue is for jobs of which no task has been placed for startOverdueAfter:
	// a job that has started makes progress without a further task, this one does not.
	startOverdue
	// gangOverdue is for gangs that have waited for startOverdueAfter, as long as any
	// of their tasks waits: a gang needs much capacity at once, and makes no progress
	// until it is complete.
	gangOverdue
	// withinQuota is for jobs within their team's quota: that share is guaranteed.
	withinQuota
)

// startOverdueAfter is how long a job waits to start in the order of readiness. The
// objective for the largest jobs is a start within four minutes; in a full site the
// running tasks need most of that to end, and work that became ready before keeps
// coming onto the machines that are free first: small jobs, and preempted tasks.
const startOverdueAfter = time.Minute

// A deadline is at risk if what is left of the time is less than runtimeMargin times
// the expected runtime, as estimates are often wrong by half and more, and
// startMargin.
const (
	runtimeMargin = 2.0
	startMargin   = 20 * time.Second
)

// sortJobs sorts jobs that are in the order of readiness by the rules of order.
func sortJobs(jobs []*pipeline.Job, now event.Time) {
	slices.SortStableFunc(jobs, func(a, b *pipeline.Job) int { return compareJobs(a, b, now) })
}

// compareJobs is negative where job a is scheduled before job b whatever the order
// of readiness.
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

// precedenceOf returns the precedence of a job that waits. A job at fault is never
// overdue, as it cannot start wherever it is placed.
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

// deadlineAtRisk reports whether a job of a pipeline has little more time left than
// it and its longest path to the deadline are expected to take.
func deadlineAtRisk(job *pipeline.Job, now event.Time) bool {
	if !job.Chained || job.EffectiveDeadline == pipeline.NoDeadline {
		return false
	}
	left := job.EffectiveDeadline - now
	needed := startMargin + time.Duration(runtimeMargin*job.EstimatedRuntime*nanosecondsPerSecond)
	return left < needed
}
