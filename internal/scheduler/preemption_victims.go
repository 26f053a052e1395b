package scheduler

import (
	"cmp"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// startCountsAfter is how long a task must run for its start to count for its
	// user.
	startCountsAfter = 30 * time.Second
	// relocationCost is what it costs in seconds to evict a task, move it and fetch
	// its image, beside its checkpoint.
	relocationCost = 10.0
	// uncountedStartCost is what it costs in seconds that a start does not count for
	// its user because an eviction follows too soon.
	uncountedStartCost = 20.0
)

// victimCandidate is a task that may be preempted, and what that costs.
type victimCandidate struct {
	task *pipeline.Assignment
	cost float64 // seconds of work lost or delayed
}

// compareVictims puts the cheapest first, of equal ones that of the youngest job.
func compareVictims(a, b victimCandidate) int {
	return cmp.Or(
		cmp.Compare(a.cost, b.cost),
		cmp.Compare(b.task.Job.ReadyRevision, a.task.Job.ReadyRevision),
		cmp.Compare(a.task.Task, b.task.Task),
	)
}

// cheapestVictims finds tasks to preempt on a machine until the job fits, those that
// lose least first, beside the victims that are claimed already. cost is in seconds of
// work lost or delayed. free is what is left once the tasks that are being evicted have
// terminated.
func (r *round) cheapestVictims(job *pipeline.Job, free Capacity, claimed victimSet) (victims []*pipeline.Assignment, cost float64) {
	candidates := r.scratch.victims[:0]
	for _, task := range r.jobs.OnMachine(free.Machine.Index) {
		if !claimed[task] && mayBeVictim(task) && !isProtectedStart(task, r.now) && r.mayPreempt(job, task) {
			candidates = append(candidates, victimCandidate{task, evictionCost(task, r.now)})
		}
	}
	r.scratch.victims = candidates
	slices.SortFunc(candidates, compareVictims)
	for i, candidate := range candidates {
		cost += candidate.cost
		free.release(&candidate.task.Job.Spec)
		if free.Fits(&job.Spec) > 0 {
			for _, victim := range candidates[:i+1] {
				victims = append(victims, victim.task)
			}
			return victims, cost
		}
	}
	return nil, 0
}

// mayBeVictim reports whether a task can be preempted at all. Gangs cannot: all of
// their tasks would lose their places for the sake of one.
func mayBeVictim(task *pipeline.Assignment) bool {
	if task.Evicting() || task.Pending() != pipeline.NoPendingWrite {
		return false
	}
	return task.Job.TerminalPhase == pipeline.Queued && !task.Job.IsGang()
}

// evictionCost is what it costs to evict a task, in seconds of work lost or delayed.
func evictionCost(task *pipeline.Assignment, now event.Time) float64 {
	cost := task.Job.CheckpointDuration + relocationCost
	if task.StartedAt() == 0 {
		return cost
	}
	if task.Job.CheckpointInterval == 0 {
		cost += secondsSince(task.StartedAt(), now) // all of it is lost
	}
	if now-task.StartedAt() < startCountsAfter {
		cost += uncountedStartCost
	}
	return cost
}
