package scheduler

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// startLimit is how long a job waits for its first task behind jobs of higher
	// priority. The largest jobs of each class are to begin within four minutes; a
	// task takes most of a minute to find a machine and its image.
	startLimit = 150 * time.Second
	// forcedStartTime is for how long the first task of a job that was starving is
	// not stopped for others: they would stop it in the next round.
	forcedStartTime = time.Minute
	// maxForcedStarts bounds the jobs that one round begins ahead of others, since
	// each looks at all machines.
	maxForcedStarts = 8
)

// starving tells whether a job has not begun for so long that its first task goes
// before any other work. Gangs are left to their order: they have no first task.
func starving(job *pipeline.Job, now event.Time) bool {
	waited := now - job.ReadySince
	return waited > startLimit && !job.HasStarted() && !job.IsGang() && !job.AtFault()
}

// forcedStart tells whether a task was placed a moment ago as the first one of a
// job that was starving.
func forcedStart(entry *pipeline.Assignment, now event.Time) bool {
	job := entry.Job
	first := job.ActiveCount() == 1 && job.DoneCount() == 0
	late := entry.PlacedAt-job.ReadySince > startLimit
	return first && late && now-entry.PlacedAt < forcedStartTime
}

// startStarving places one task of each starving job, or reserves the capacity that
// comes free for it first. Nobody is stopped for it, and the rest of the job keeps
// its place in the order: a single task takes little from jobs of higher priority.
func (s *Scheduler) startStarving(jobs []*pipeline.Job, capacities []*Capacity, now event.Time) {
	begun := 0
	for _, job := range jobs {
		if begun == maxForcedStarts || s.round.budget.exhausted() {
			return
		}
		if !starving(job, now) || s.wantedTasks(job) == 0 {
			continue
		}
		begun++
		if !s.placeOne(job, now) {
			s.reserve(job, 1, capacities, now)
		}
	}
}

// placeOne places a single task of a job that is no gang. It tells whether there
// was capacity for it.
func (s *Scheduler) placeOne(job *pipeline.Job, now event.Time) bool {
	inZone := s.TasksByZone(job)
	for _, capacity := range s.rankCapacities(job, now) {
		if TasksAllowedInZone(job, inZone, capacity.Zone) > 0 {
			s.placeTasks(job, placement{capacity, 1}, nextAttempt(job), now)
			return true
		}
	}
	return false
}
