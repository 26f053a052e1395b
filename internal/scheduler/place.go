package scheduler

import (
	"cmp"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// placement is capacity for some tasks of a job.
type placement struct {
	capacity *Capacity
	tasks    int
}

// place puts as many tasks of a job as it may on machines. A gang runs whole or not
// at all, but the rest of one that has begun comes as its places come free.
func (s *Scheduler) place(job *pipeline.Job, now event.Time) {
	wanted := s.wantedTasks(job)
	if wanted == 0 {
		return
	}
	candidates := s.rankCapacities(job, now)
	if len(candidates) == 0 {
		return
	}
	inZone := s.TasksByZone(job)
	if job.SameZone {
		candidates = singleZone(job, candidates, inZone, wanted)
	}
	placements, left := fillCapacities(job, candidates, inZone, wanted)
	if job.Shape == pipeline.Gang && left > 0 && job.ActiveCount() == 0 {
		return
	}
	attempt := nextAttempt(job)
	for _, placement := range placements {
		s.placeTasks(job, placement, attempt, now)
	}
}

// wantedTasks is how many tasks of a job are to be placed, as its team's limit
// allows: of a gang all, else none. Entries left of a gang's current attempt keep
// their places; of an older attempt there are none, or the gang would be stopping.
func (s *Scheduler) wantedTasks(job *pipeline.Job) int {
	startable := job.StartableCount()
	quota := s.TasksWithinLimit(job)
	if job.Shape == pipeline.Gang && quota < startable {
		return 0
	}
	return min(startable, quota)
}

// rankCapacities lists the machines on which a task fits, the most suitable first.
func (s *Scheduler) rankCapacities(job *pipeline.Job, now event.Time) []*Capacity {
	type scored struct {
		capacity *Capacity
		score    float64
	}
	var list []scored
	s.counters.machinesVisited += len(s.round.roomy)
	for _, capacity := range s.round.roomy {
		if capacity.Fits(&job.Spec) > 0 && capacity.accepts(job, now) {
			list = append(list, scored{capacity, s.score(job, capacity, now)})
		}
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	ranked := make([]*Capacity, len(list))
	for i, entry := range list {
		ranked[i] = entry.capacity
	}
	return ranked
}

// fillCapacities divides tasks among machines in their order. It returns how many
// are left, and counts the others in inZone.
func fillCapacities(job *pipeline.Job, candidates []*Capacity, inZone map[int]int, wanted int) (placements []placement, left int) {
	left = wanted
	for _, capacity := range candidates {
		tasks := min(left, capacity.Fits(&job.Spec), TasksAllowedInZone(job, inZone, capacity.Zone))
		if tasks <= 0 {
			continue
		}
		inZone[capacity.Zone] += tasks
		placements = append(placements, placement{capacity, tasks})
		left -= tasks
		if left == 0 {
			break
		}
	}
	return placements, left
}

// nextAttempt is the number that the tasks placed next get: those of a gang share
// theirs. 0: each task counts its own.
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

// placeTasks places open tasks of a job on a machine.
func (s *Scheduler) placeTasks(job *pipeline.Job, placement placement, attempt uint64, now event.Time) {
	placement.capacity.Allocate(&job.Spec, placement.tasks)
	for range placement.tasks {
		s.jobs.Assign(job, nextTask(job), placement.capacity.Machine.Index, attempt, now)
	}
}

// nextTask is the open task of a job that is placed next.
func nextTask(job *pipeline.Job) int {
	if job.AtFault() && job.Shape != pipeline.Gang {
		return job.ProbeTask()
	}
	return job.NextUnplaced(0)
}
