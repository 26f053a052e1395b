package scheduler

import (
	"cmp"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// minCountedRuntime is how long a task must run for its start to count for the user.
	minCountedRuntime = 30 * time.Second
	// relocationCostSeconds is the cost in seconds of evicting a task, moving it and fetching
	// its image again, not counting its checkpoint.
	relocationCostSeconds = 10.0
	// uncountedStartCostSeconds is the cost in seconds of evicting a task so early that its
	// start does not count for the user.
	uncountedStartCostSeconds = 20.0
)

// victimCandidate is a task that may be preempted, with the cost of its eviction.
type victimCandidate struct {
	task *pipeline.Assignment
	cost float64 // seconds of work lost or delayed
}

// compareVictims orders candidates by cost, then by their jobs, most recently ready first.
func compareVictims(a, b victimCandidate) int {
	return cmp.Or(
		cmp.Compare(a.cost, b.cost),
		cmp.Compare(b.task.Job.ReadyRevision, a.task.Job.ReadyRevision),
		cmp.Compare(a.task.Task, b.task.Task),
	)
}

// cheapestVictims finds tasks to preempt on a machine, cheapest first, until a task of
// the job fits. It does not choose victims that are claimed already. free is the free
// capacity once the tasks that are being evicted have terminated. cost is in seconds of
// work lost or delayed. victims is nil if preemption cannot free enough capacity.
func (r *round) cheapestVictims(job *pipeline.Job, free Capacity, claimed victimSet) (victims []*pipeline.Assignment, cost float64) {
	candidates := r.scratch.victims[:0]
	for _, task := range r.jobs.AssignmentsOn(free.Machine.Index) {
		if !claimed[task] && isPreemptible(task) && !isProtectedStart(task, r.now) && r.mayPreempt(job, task) {
			candidates = append(candidates, victimCandidate{task, evictionCost(task, r.now)})
		}
	}
	r.scratch.victims = candidates
	slices.SortFunc(candidates, compareVictims)
	for i, candidate := range candidates {
		cost += candidate.cost
		free.release(&candidate.task.Job.Spec)
		if free.FittingTasks(&job.Spec) > 0 {
			for _, victim := range candidates[:i+1] {
				victims = append(victims, victim.task)
			}
			return victims, cost
		}
	}
	return nil, 0
}

// isPreemptible reports whether a task can be preempted by any job. Tasks of gangs cannot,
// since evicting one of them evicts the whole gang.
func isPreemptible(task *pipeline.Assignment) bool {
	if task.Evicting() || task.Pending() != pipeline.NoPendingWrite {
		return false
	}
	return task.Job.TerminalPhase == pipeline.Queued && !task.Job.IsGang()
}

// evictionCost returns the cost of evicting a task, in seconds of work lost or delayed.
func evictionCost(task *pipeline.Assignment, now event.Time) float64 {
	cost := task.Job.CheckpointDuration + relocationCostSeconds
	if task.StartedAt() == 0 {
		return cost
	}
	if task.Job.CheckpointInterval == 0 {
		cost += secondsSince(task.StartedAt(), now) // without checkpoints all work is lost
	}
	if now-task.StartedAt() < minCountedRuntime {
		cost += uncountedStartCostSeconds
	}
	return cost
}
