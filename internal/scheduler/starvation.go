package scheduler

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// starvedAfter is how long a job waits for its first task behind jobs of higher
	// priority. The objective for the largest jobs of each class is a start within
	// four minutes; a task takes most of a minute to find a machine and fetch its
	// image.
	starvedAfter = 150 * time.Second
	// firstTaskProtection is for how long the first task of a job that was starved is
	// not preempted: the next round would evict it for the jobs it overtook.
	firstTaskProtection = time.Minute
	// maxStarvedStarts bounds the starved jobs that one round starts, since each looks
	// at all machines.
	maxStarvedStarts = 8
)

// isStarved reports whether a job has waited for so long that its first task goes
// before any other work. Gangs are left to their order, since no task of a gang can
// start alone.
func isStarved(job *pipeline.Job, now event.Time) bool {
	return !job.IsGang() && job.StartOverdue(starvedAfter, now)
}

// isProtectedStart reports whether a task was placed a moment ago as the first one of
// a job that was starved.
func isProtectedStart(task *pipeline.Assignment, now event.Time) bool {
	wasStarved := task.PlacementDelay() > starvedAfter
	return task.IsFirstOfJob() && wasStarved && now-task.PlacedAt() < firstTaskProtection
}

// startStarvedJobs places one task of each starved job, or reserves the capacity that
// comes free for it first. Nothing is preempted for it, and the rest of the job keeps
// its place in the order: a single task takes little from jobs of higher priority.
func (r *round) startStarvedJobs() {
	started := 0
	for _, job := range r.queue {
		if started == maxStarvedStarts || r.budget.exhausted() {
			return
		}
		if !isStarved(job, r.now) || r.tasksToPlace(job) == 0 {
			continue
		}
		started++
		if !r.placeOne(job) {
			r.reserve(job, 1)
		}
	}
}

// placeOne places a single task of a job that is no gang. It reports whether there
// was capacity for it.
func (r *round) placeOne(job *pipeline.Job) bool {
	placed := r.TasksByZone(job)
	for _, capacity := range r.rankMachines(job) {
		if TasksAllowedInZone(job, placed, capacity.Zone) > 0 {
			r.placeTasks(job, placement{capacity, 1}, nextAttempt(job))
			return true
		}
	}
	return false
}
