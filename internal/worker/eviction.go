package worker

import "lugward/internal/pipeline"

// checkpointMargin is added to the checkpoint duration of a job to get the grace period of
// an eviction, in seconds.
const checkpointMargin = 1

// GracePeriod returns how long a task of a job may take to save a checkpoint before it is
// terminated, in seconds.
func GracePeriod(job *pipeline.Job) float64 {
	return job.CheckpointDuration + checkpointMargin
}

// Evict requests the termination of a task, with a grace period in seconds, so that it can
// run on another machine. If the task belongs to a gang, all tasks of the gang are evicted.
func (r *Registry) Evict(assignment *pipeline.Assignment, gracePeriod float64) {
	if assignment.Evicting() {
		return
	}
	r.jobs.RequestRound()
	if assignment.Job.IsGang() {
		r.evictGang(assignment.Job)
		return
	}
	r.evictAssignment(assignment, gracePeriod)
}

// evictGang evicts all tasks of a gang. The gang can start again once all of them have
// terminated.
func (r *Registry) evictGang(job *pipeline.Job) {
	if job.Terminating() && job.AllEvicting() {
		return // each of its tasks that exits leads here again
	}
	r.jobs.BeginTermination(job)
	for assignment := range job.Assignments() {
		r.evictAssignment(assignment, GracePeriod(job))
	}
}

// evictAssignment requests the termination of the task of an assignment. An assignment that
// is not persisted yet is cleared immediately, because no start command was sent for it.
func (r *Registry) evictAssignment(assignment *pipeline.Assignment, gracePeriod float64) {
	r.jobs.RequestEviction(assignment, gracePeriod)
	r.requestTermination(assignment)
	if !assignment.Persisted() {
		r.jobs.RecordTermination(assignment)
	}
}
