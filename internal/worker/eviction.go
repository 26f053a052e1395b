package worker

import "lugward/internal/pipeline"

// checkpointMargin is added to the time that a checkpoint takes, in seconds, where a
// task is evicted.
const checkpointMargin = 1

// GracePeriod is the time that a task gets to save a checkpoint before it is
// terminated, in seconds.
func GracePeriod(job *pipeline.Job) float64 {
	return job.CheckpointDuration + checkpointMargin
}

// Evict asks for a task to be terminated so that it can run elsewhere, with a grace
// period in seconds. A gang is terminated as a whole.
func (r *Registry) Evict(assignment *pipeline.Assignment, gracePeriod float64) {
	if assignment.Evicting() {
		return
	}
	r.jobs.RequestRound()
	if assignment.Job.IsGang() {
		r.terminateGang(assignment.Job)
		return
	}
	r.evictAssignment(assignment, gracePeriod)
}

// terminateGang evicts all tasks of a gang. It starts again when all have terminated.
func (r *Registry) terminateGang(job *pipeline.Job) {
	r.jobs.BeginTermination(job)
	for assignment := range job.Assignments() {
		r.evictAssignment(assignment, GracePeriod(job))
	}
}

// evictAssignment marks an assignment to be terminated, and clears it at once where it
// is not stored yet: no start was sent then.
func (r *Registry) evictAssignment(assignment *pipeline.Assignment, gracePeriod float64) {
	r.jobs.RequestEviction(assignment, gracePeriod)
	r.terminateSoon(assignment)
	if !assignment.Durable() {
		r.jobs.RecordTermination(assignment)
	}
}
