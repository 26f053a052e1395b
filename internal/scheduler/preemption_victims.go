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

// victimSearch finds tasks to preempt for the slots of one job.
type victimSearch struct {
	*round
	job *pipeline.Job
	// queues holds the candidates of machines, at least of those from which victims have
	// been claimed, cheapest first, without those at the head that are claimed or evicted
	// since. Sorting them again for each slot would cost the square of a machine's tasks.
	queues map[pipeline.MachineIndex][]victimCandidate
	// severalSteps means that more slots will be searched than in one step, so that the
	// candidates of all machines are kept.
	severalSteps bool
}

// cheapestVictims finds tasks to preempt on a machine, cheapest first, until a task of
// the job fits. It does not choose victims that are claimed already. free is the free
// capacity once the tasks that are being evicted have terminated. cost is in seconds of
// work lost or delayed. victims is nil if preemption cannot free enough capacity.
func (s *victimSearch) cheapestVictims(free Capacity, claimed victimSet) (victims []*pipeline.Assignment, cost float64) {
	candidates := s.candidates(free.Machine.Index, claimed)
	for i, candidate := range candidates {
		s.counters.victimsExamined++
		cost += candidate.cost
		free.release(&candidate.task.Job.Spec)
		if free.FittingTasks(&s.job.Spec) > 0 {
			for _, victim := range candidates[:i+1] {
				victims = append(victims, victim.task)
			}
			return victims, cost
		}
	}
	return nil, 0
}

// candidates returns the tasks of a machine that the job may preempt and that are not
// claimed, cheapest first. Victims are claimed from the head of this list only.
func (s *victimSearch) candidates(machine pipeline.MachineIndex, claimed victimSet) []victimCandidate {
	queue, ok := s.queues[machine]
	switch {
	case !ok && len(claimed) == 0 && !s.severalSteps:
		s.scratch.victims = s.appendCandidates(s.scratch.victims[:0], machine, claimed)
		return s.scratch.victims
	case !ok:
		queue = s.appendCandidates(nil, machine, claimed)
	}
	for len(queue) > 0 && (claimed[queue[0].task] || !s.isCandidate(queue[0].task)) {
		queue = queue[1:]
	}
	s.queues[machine] = queue
	return queue
}

// isCandidate reports whether the job may preempt a task now.
func (s *victimSearch) isCandidate(task *pipeline.Assignment) bool {
	return isPreemptible(task) && !isProtectedStart(task, s.now) && s.mayPreempt(s.job, task)
}

// appendCandidates appends the tasks of a machine that the job may preempt and that are not
// claimed to an empty list, cheapest first.
func (s *victimSearch) appendCandidates(list []victimCandidate, machine pipeline.MachineIndex, claimed victimSet) []victimCandidate {
	for task := range s.jobs.AssignmentsOn(machine) {
		s.counters.victimsExamined++
		if !claimed[task] && s.isCandidate(task) {
			list = append(list, victimCandidate{task, evictionCost(task, s.now)})
		}
	}
	slices.SortFunc(list, compareVictims)
	return list
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
