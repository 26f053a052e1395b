package scheduler

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// starvedAfter is how long a job may wait for its first task behind jobs of higher
	// priority. The objective for the largest jobs of each class is a start within four
	// minutes, and a task takes most of a minute to be placed and to fetch its image.
	starvedAfter = 150 * time.Second
	// firstTaskProtection is how long the first task of a starved job is protected from
	// preemption. Otherwise the next round would evict it for the jobs that it was placed
	// ahead of.
	firstTaskProtection = time.Minute
	// maxStarvedStarts limits the starved jobs that one round starts, since placing
	// each of them may visit all machines.
	maxStarvedStarts = 8
)

// isStarved reports whether a job has waited so long that its first task is placed before
// all other tasks. Gangs are excluded, since a task of a gang cannot start alone.
func isStarved(job *pipeline.Job, now event.Time) bool {
	return !job.IsGang() && job.StartOverdue(starvedAfter, now)
}

// isProtectedStart reports whether a task is protected from preemption, as the first task
// of a starved job that was placed less than firstTaskProtection ago.
func isProtectedStart(task *pipeline.Assignment, now event.Time) bool {
	wasStarved := task.AssignmentDelay() > starvedAfter
	return task.IsFirstOfJob() && wasStarved && now-task.AssignedAt() < firstTaskProtection
}

// startStarvedJobs places one task of each starved job, or reserves the capacity that
// becomes free first. It preempts no tasks, and the job's other tasks keep their place in
// the queue: a single task takes little capacity from jobs of higher priority.
func (r *round) startStarvedJobs() {
	started := 0
	for _, job := range r.queue {
		if started == maxStarvedStarts || r.budget.exhausted() {
			return
		}
		if !isStarved(job, r.now) || r.placeableTasks(job) == 0 {
			continue
		}
		started++
		if !r.placeSingleTask(job) {
			r.reserve(job, 1)
		}
	}
}

// placeSingleTask places a single task of a job that is not a gang. It reports whether a
// machine had capacity for it.
func (r *round) placeSingleTask(job *pipeline.Job) bool {
	placed := r.TasksByZone(job)
	for _, capacity := range r.rankMachines(job) {
		if TasksAllowedInZone(job, placed, capacity.Zone) > 0 {
			r.assignTasks(job, placement{capacity, 1}, nextAttempt(job))
			return true
		}
	}
	return false
}
