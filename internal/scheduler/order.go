package scheduler

import (
	"sort"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// maxStartDelay is how long a job waits to begin in the order of readiness. The
// largest are to begin within four minutes; in a full site the tasks in their
// places need most of that to end, and work that was ready before keeps coming
// into the places that end first: small jobs, and tasks that were stopped.
const maxStartDelay = time.Minute

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
func precedenceOf(j *pipeline.Job, now event.Time) precedence {
	overdue := int64(now)-j.ReadySince > int64(maxStartDelay) && !j.AtFault()
	switch {
	case j.WithinGuarantee:
		return withinGuarantee
	case overdue && j.Shape == pipeline.Gang && j.TaskCount > 1:
		return gangOverdue
	case overdue && j.Active() == 0 && j.DoneCount() == 0:
		return startOverdue
	default:
		return byReadiness
	}
}

// order puts jobs within their team's guarantee before others of the same priority,
// then gangs and then other jobs that have waited to begin for long; within equal
// precedence the order of readiness stays.
func order(jobs []*pipeline.Job, now event.Time) {
	sort.SliceStable(jobs, func(a, b int) bool {
		if jobs[a].EffectivePriority != jobs[b].EffectivePriority {
			return jobs[a].EffectivePriority > jobs[b].EffectivePriority
		}
		if x, y := precedenceOf(jobs[a], now), precedenceOf(jobs[b], now); x != y {
			return x > y
		}
		return deadlineAtRisk(jobs[a], now) && !deadlineAtRisk(jobs[b], now)
	})
}

const (
	riskFactor = 2.0 // estimates are often wrong by half and more
	riskMargin = 20 * time.Second
)

// deadlineAtRisk tells whether a job of a chain has little more time left than it and
// its longest path to the deadline are expected to take: it goes before others
// of its standing.
func deadlineAtRisk(j *pipeline.Job, now event.Time) bool {
	if !j.Chained || j.EffectiveDeadline == pipeline.NoDeadline {
		return false
	}
	return j.EffectiveDeadline-int64(now) < int64(riskMargin)+int64(riskFactor*j.EstimatedRuntime*1e9)
}
