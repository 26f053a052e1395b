package worker

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// refusedPause is how long nothing is placed on a machine whose worker refused a task.
const refusedPause = 4 * time.Second

// reportedTask is a task of a heartbeat with the job and assignment that it belongs to.
type reportedTask struct {
	*TaskStatus
	job        *pipeline.Job        // nil: not known
	assignment *pipeline.Assignment // nil: none for this attempt on this machine
	number     int
}

// find finds what a reported task belongs to.
func (r *Registry) find(machine *Machine, status *TaskStatus) reportedTask {
	found := reportedTask{TaskStatus: status}
	id, number, ok := ParseTaskName(status.Task)
	if !ok {
		return found
	}
	job := r.jobs.Job(id)
	if job == nil || number >= job.TaskCount {
		return found
	}
	found.job = job
	found.number = number
	assignment := job.Assignment(number)
	if assignment != nil && assignment.Machine == machine.Index && assignment.Attempt == status.Attempt {
		found.assignment = assignment
	}
	return found
}

// newCompletion reports whether a task without an assignment has completed though its
// job does not know that yet. The result counts, whichever attempt it came from.
func (t *reportedTask) newCompletion() bool {
	if !t.exited() || t.Cause != causeCompleted || t.job == nil {
		return false
	}
	return t.job.TerminalPhase == pipeline.Queued && !t.job.IsDone(t.number)
}

// handleTaskStatus takes in what a heartbeat says of a task.
func (r *Registry) handleTaskStatus(machine *Machine, status *TaskStatus, now event.Time) {
	task := r.find(machine, status)
	switch {
	case task.assignment != nil:
		r.updateAssignment(machine, task.assignment, status, now)
	case task.newCompletion():
		r.jobs.RecordCompletion(task.job, task.number) // reaped once it is stored
	}
}

// updateAssignment takes in what a heartbeat says of a task with an assignment.
func (r *Registry) updateAssignment(machine *Machine, assignment *pipeline.Assignment, status *TaskStatus, now event.Time) {
	phase := phases[status.Phase]
	if started := assignment.RecordPhase(phase, now); started {
		r.logStart(machine, assignment, now)
	}
	if phase >= pipeline.TaskWaitingForGang {
		machine.images[assignment.Job.Image] = true
	}
	if phase == pipeline.TaskExited {
		r.taskExited(machine, assignment, status.Cause, now)
	}
}

func (r *Registry) logStart(machine *Machine, assignment *pipeline.Assignment, now event.Time) {
	job := assignment.Job
	r.log.Debug("task started",
		"job", job.ID,
		"class", r.names.Classes.Name(job.Class),
		"task", assignment.Task,
		"attempt", assignment.Attempt,
		"machine", machine.Name,
		"since_placed", now-assignment.PlacedAt(),
		"since_ready", now-job.ReadySince)
}

// taskExited takes in that a task has exited. It has completed, or its assignment is
// cleared so that it can run again.
func (r *Registry) taskExited(machine *Machine, assignment *pipeline.Assignment, cause string, now event.Time) {
	job := assignment.Job
	r.jobs.RequestRound()
	r.jobs.NoteMachineChanged(machine.Index) // what the task used is free again
	if job.TerminalPhase != pipeline.Queued || job.IsDone(assignment.Task) {
		// Nothing of it is to be recorded any more. A new leader finds such
		// assignments where the one before it wrote the job's terminal record and did
		// not get to drop the job's other records: left as it is, the assignment would
		// keep its machine for ever.
		r.jobs.RecordTermination(assignment)
		return
	}
	if cause == causeCompleted {
		r.taskCompleted(machine, assignment, now)
		return
	}
	r.handleExitCause(machine, assignment, cause, now)
	if job.IsGang() {
		r.terminateGang(job)
	}
	r.jobs.RecordTermination(assignment)
}

// handleExitCause takes in why a task has not completed.
func (r *Registry) handleExitCause(machine *Machine, assignment *pipeline.Assignment, cause string, now event.Time) {
	switch cause {
	case causeFailed:
		if assignment.Pending() == pipeline.NoPendingWrite {
			r.failures.taskFailed(machine, assignment, now)
		}
	case causeNoCapacity, causeTaskConflict:
		machine.unavailableUntil = now + refusedPause
	case causeUnknownImage:
		// Another attempt would fail as well until its user has uploaded the image.
		if !assignment.Job.BackingOff(now) {
			r.jobs.BackOff(assignment.Job, now)
		}
	}
}

// taskCompleted takes in that a task has completed. The tasks of a gang complete
// together: when one has, all have.
func (r *Registry) taskCompleted(machine *Machine, assignment *pipeline.Assignment, now event.Time) {
	job := assignment.Job
	r.failures.taskSucceeded(machine, job)
	if assignment.Pending() == pipeline.NoPendingWrite {
		r.recordRuntime(machine, assignment, now)
	}
	if job.Shape != pipeline.Gang {
		r.jobs.RecordCompletion(job, assignment.Task)
		return
	}
	for task := range job.TaskCount {
		r.jobs.RecordCompletion(job, task)
	}
}
