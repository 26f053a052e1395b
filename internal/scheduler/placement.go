package scheduler

import (
	"cmp"
	"slices"

	"lugward/internal/pipeline"
)

// maxTasksPerStep is the number of tasks of a job that a round assigns or finds slots for
// between two checks of its budget.
const maxTasksPerStep = 256

// placement is a number of tasks of a job to assign to a machine.
type placement struct {
	capacity *Capacity
	tasks    int
}

// placeJob assigns as many tasks of a job as fit, by bin packing. A gang that has not
// started is placed as a whole or not at all. Tasks of a gang that has started are
// placed as soon as there is capacity for them. finished is false if the round has exhausted
// its budget before the last step. A gang that was begun then continues in the next round,
// before any other job.
func (r *round) placeJob(job *pipeline.Job) (finished bool) {
	wanted := r.placeableTasks(job)
	if wanted == 0 {
		return true
	}
	machines := r.rankMachines(job)
	if len(machines) == 0 {
		return true
	}
	placed := r.TasksByZone(job)
	if job.SameZone {
		machines = limitToSingleZone(job, machines, placed, wanted)
	}
	placements, remaining := fillMachines(job, machines, placed, wanted)
	if job.Shape == pipeline.Gang && remaining > 0 && job.ActiveCount() == 0 {
		return true
	}
	return r.assignInSteps(job, placements, nextAttempt(job))
}

// assignInSteps assigns the tasks of a job as the placements say. It checks the budget after
// each maxTasksPerStep tasks, and reports whether it has assigned all of them.
func (r *round) assignInSteps(job *pipeline.Job, placements []placement, attempt uint64) (finished bool) {
	left := maxTasksPerStep
	for len(placements) > 0 {
		if left == 0 {
			if r.budget.exhausted() {
				return false
			}
			left = maxTasksPerStep
		}
		next := &placements[0]
		tasks := min(next.tasks, left)
		r.assignTasks(job, placement{next.capacity, tasks}, attempt)
		left -= tasks
		if next.tasks -= tasks; next.tasks == 0 {
			placements = placements[1:]
		}
	}
	return true
}

// placeableTasks returns how many tasks of a job may be placed within its team's limit and
// the memory for assignments: for a gang, all of them or none. Tasks of a gang's current attempt
// stay where they are. While tasks of an older attempt remain, the gang is being terminated and
// is not scheduled.
func (s *Scheduler) placeableTasks(job *pipeline.Job) int {
	startable := job.StartableCount()
	allowed := min(s.tasksWithinLimit(job), s.AssignmentsLeft(job))
	if job.Shape == pipeline.Gang && allowed < startable {
		return 0
	}
	return min(startable, allowed)
}

// rankMachines lists the machines on which a task of the job fits now, best score first.
func (r *round) rankMachines(job *pipeline.Job) []*Capacity {
	type scored struct {
		capacity *Capacity
		score    float64
	}
	var list []scored
	r.counters.machinesVisited += len(r.withRoom)
	for _, capacity := range r.withRoom {
		if capacity.FittingTasks(&job.Spec) > 0 && capacity.accepts(job, r.now) {
			list = append(list, scored{capacity, r.placementScore(job, capacity, r.now)})
		}
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	ranked := make([]*Capacity, len(list))
	for i, machine := range list {
		ranked[i] = machine.capacity
	}
	return ranked
}

// fillMachines distributes the wanted number of tasks over the machines in order, within
// the spread constraint. It adds the distributed tasks to placed and returns how many
// remain.
func fillMachines(job *pipeline.Job, machines []*Capacity, placed ZoneCounts, wanted int) (placements []placement, remaining int) {
	remaining = wanted
	for _, capacity := range machines {
		tasks := min(remaining, capacity.FittingTasks(&job.Spec), TasksAllowedInZone(job, placed, capacity.Zone))
		if tasks <= 0 {
			continue
		}
		placed[capacity.Zone] += tasks
		placements = append(placements, placement{capacity, tasks})
		remaining -= tasks
		if remaining == 0 {
			break
		}
	}
	return placements, remaining
}

// nextAttempt returns the attempt number for the tasks that are placed next. The tasks
// of a gang share one attempt number. For other jobs it returns 0, so that each
// assignment gets the next attempt of its segment.
func nextAttempt(job *pipeline.Job) uint64 {
	switch {
	case job.Shape != pipeline.Gang:
		return 0
	case job.ActiveCount() == 0:
		return job.MaxAttempt() + 1
	default:
		return job.MaxAttempt()
	}
}

// assignTasks allocates the capacity of a placement and assigns the next unassigned tasks
// of the job to its machine.
func (r *round) assignTasks(job *pipeline.Job, placement placement, attempt uint64) {
	placement.capacity.Allocate(&job.Spec, placement.tasks)
	for range placement.tasks {
		r.jobs.Assign(job, nextTask(job), placement.capacity.Machine.Index, attempt, r.now)
	}
}

// nextTask returns the index of the unassigned task of a job to place next.
func nextTask(job *pipeline.Job) int {
	if job.AtFault() && job.Shape != pipeline.Gang {
		return job.ProbeTask()
	}
	return job.NextUnassigned(0)
}
