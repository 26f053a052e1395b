package scheduler

import (
	"cmp"
	"slices"

	"lugward/internal/pipeline"
)

// placement puts some tasks of a job on a machine.
type placement struct {
	capacity *Capacity
	tasks    int
}

// place puts as many tasks of a job as it may on machines, by bin packing. A gang is
// placed as a whole or not at all, but tasks of a gang that has started are placed as
// soon as there is capacity for them.
func (r *round) place(job *pipeline.Job) {
	wanted := r.tasksToPlace(job)
	if wanted == 0 {
		return
	}
	machines := r.rankMachines(job)
	if len(machines) == 0 {
		return
	}
	placed := r.TasksByZone(job)
	if job.SameZone {
		machines = inSingleZone(job, machines, placed, wanted)
	}
	placements, left := fillMachines(job, machines, placed, wanted)
	if job.Shape == pipeline.Gang && left > 0 && job.ActiveCount() == 0 {
		return
	}
	attempt := nextAttempt(job)
	for _, placement := range placements {
		r.placeTasks(job, placement, attempt)
	}
}

// tasksToPlace is how many tasks of a job are to be placed within its team's limit:
// of a gang all or none. Tasks of a gang's current attempt stay where they are; while
// there are any of an older one, the gang is being terminated and not scheduled.
func (s *Scheduler) tasksToPlace(job *pipeline.Job) int {
	startable := job.StartableCount()
	allowed := s.tasksWithinLimit(job)
	if job.Shape == pipeline.Gang && allowed < startable {
		return 0
	}
	return min(startable, allowed)
}

// rankMachines lists the machines on which a task fits now, the most suitable first.
func (r *round) rankMachines(job *pipeline.Job) []*Capacity {
	type scored struct {
		capacity *Capacity
		score    float64
	}
	var list []scored
	r.counters.machinesVisited += len(r.withRoom)
	for _, capacity := range r.withRoom {
		if capacity.Fits(&job.Spec) > 0 && capacity.accepts(job, r.now) {
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

// fillMachines divides tasks among machines in their order, within the spread
// constraint. It returns how many are left and counts the others in placed.
func fillMachines(job *pipeline.Job, machines []*Capacity, placed ZoneCounts, wanted int) (placements []placement, left int) {
	left = wanted
	for _, capacity := range machines {
		tasks := min(left, capacity.Fits(&job.Spec), TasksAllowedInZone(job, placed, capacity.Zone))
		if tasks <= 0 {
			continue
		}
		placed[capacity.Zone] += tasks
		placements = append(placements, placement{capacity, tasks})
		left -= tasks
		if left == 0 {
			break
		}
	}
	return placements, left
}

// nextAttempt is the number of the attempt that tasks placed next belong to: the
// tasks of a gang share theirs. 0: each task counts its own.
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

// placeTasks carries out a placement.
func (r *round) placeTasks(job *pipeline.Job, placement placement, attempt uint64) {
	placement.capacity.Allocate(&job.Spec, placement.tasks)
	for range placement.tasks {
		r.jobs.Assign(job, nextTask(job), placement.capacity.Machine.Index, attempt, r.now)
	}
}

// nextTask is the waiting task of a job that is placed next.
func nextTask(job *pipeline.Job) int {
	if job.AtFault() && job.Shape != pipeline.Gang {
		return job.ProbeTask()
	}
	return job.NextUnplaced(0)
}
