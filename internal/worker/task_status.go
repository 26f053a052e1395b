package worker

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// refusalBackoff is how long no tasks are placed on a machine after its worker has refused
// a task.
const refusalBackoff = 4 * time.Second

// reportedTask is a task in a heartbeat together with its job and assignment.
type reportedTask struct {
	*TaskStatus
	job        *pipeline.Job        // nil if the job or the task number does not exist
	assignment *pipeline.Assignment // nil if this attempt is not assigned to this machine
	number     int                  // task number within the job
}

// resolveTask looks up the job and the assignment of a reported task.
func (r *Registry) resolveTask(machine *Machine, status *TaskStatus) reportedTask {
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

// newCompletion reports whether a reported task without an assignment has completed and
// the completion is not recorded yet. The result is valid for any attempt of the task.
func (t *reportedTask) newCompletion() bool {
	if !t.completed() || t.job == nil {
		return false
	}
	return t.job.TerminalPhase == pipeline.Queued && !t.job.IsDone(t.number)
}

// handleTaskStatus handles the status of a task in a heartbeat. tokenConfirmed means that the
// heartbeat carries this leader's fencing token.
//
// A heartbeat without that token may be a late copy of one from an earlier term. An exit that it
// shows may not have been persisted, and a later leader may have started the same attempt again
// since. So it does not prove that the attempt has terminated, unless the task has completed, which
// is final. The worker lists the exited task again in its next heartbeat.
func (r *Registry) handleTaskStatus(machine *Machine, status *TaskStatus, tokenConfirmed bool, now event.Time) {
	task := r.resolveTask(machine, status)
	switch {
	case task.assignment != nil && task.exited() && !task.completed() && !tokenConfirmed:
	case task.assignment != nil:
		r.updateAssignment(machine, task.assignment, status, now)
	case task.newCompletion():
		r.jobs.RecordCompletion(task.job, task.number) // reaped once the completion is committed
	}
}

// updateAssignment records the status of a task with an assignment.
func (r *Registry) updateAssignment(machine *Machine, assignment *pipeline.Assignment, status *TaskStatus, now event.Time) {
	phase := pipeline.TaskPhase(status.Phase)
	if started := assignment.RecordPhase(phase, now); started {
		r.logStart(machine, assignment, now)
	}
	if phase >= pipeline.TaskWaitingForGang {
		machine.images[assignment.Job.Image] = true
	}
	if phase == pipeline.TaskExited {
		r.handleTaskExit(machine, assignment, status.Cause, now)
	}
}

// logStart logs that a task has started on its machine.
func (r *Registry) logStart(machine *Machine, assignment *pipeline.Assignment, now event.Time) {
	job := assignment.Job
	r.log.Debug("task started",
		"job", job.ID,
		"class", r.names.Classes.Name(job.Class),
		"task", assignment.Task,
		"attempt", assignment.Attempt,
		"machine", machine.Name,
		"since_placed", now-assignment.AssignedAt(),
		"since_ready", now-job.ReadySince)
}

// handleTaskExit handles the exit of a task. It records the completion of the task, or clears
// its assignment so that the task can run again.
func (r *Registry) handleTaskExit(machine *Machine, assignment *pipeline.Assignment, cause ExitCause, now event.Time) {
	job := assignment.Job
	r.jobs.RequestRound()
	r.jobs.MarkMachineChanged(machine.Index) // the resources of the task are free again
	if job.TerminalPhase != pipeline.Queued || job.IsDone(assignment.Task) {
		// The result of the task is no longer needed. A new leader finds such an
		// assignment if the previous leader wrote the job's terminal record but did not
		// delete the other records of the job. Without the termination, the assignment
		// would occupy its machine forever.
		r.jobs.RecordTermination(assignment)
		return
	}
	if cause == causeCompleted {
		r.handleTaskCompletion(machine, assignment, now)
		return
	}
	r.handleExitCause(machine, assignment, cause, now)
	if job.IsGang() {
		r.evictGang(job)
	}
	r.jobs.RecordTermination(assignment)
}

// handleExitCause handles the cause for which a task has exited without completing.
func (r *Registry) handleExitCause(machine *Machine, assignment *pipeline.Assignment, cause ExitCause, now event.Time) {
	switch cause {
	case causeFailed:
		if assignment.Pending() == pipeline.NoPendingWrite {
			r.failures.handleTaskFailure(machine, assignment, now)
		}
	case causeNoCapacity, causeTaskConflict:
		machine.unavailableUntil = now + refusalBackoff
	case causeUnknownImage:
		// Further attempts fail, too, until the user has uploaded the image.
		if !assignment.Job.BackingOff(now) {
			r.jobs.BackOff(assignment.Job, now)
			r.log.Info("image of job is unknown, backing off before the next attempt", "job", assignment.Job.ID, "failures", assignment.Job.Failures())
		}
	}
}

// handleTaskCompletion handles the completion of a task. The tasks of a gang complete together, so
// the completion of one is recorded for all of them.
func (r *Registry) handleTaskCompletion(machine *Machine, assignment *pipeline.Assignment, now event.Time) {
	job := assignment.Job
	r.failures.handleTaskSuccess(machine, job)
	if assignment.Pending() == pipeline.NoPendingWrite {
		r.recordRuntime(machine, assignment, now)
	}
	if job.Shape != pipeline.Gang {
		r.jobs.RecordCompletion(job, assignment.Task)
		return
	}
	if job.AllTasksCompleted() {
		return // recorded with the first of its tasks
	}
	for task := range job.TaskCount {
		r.jobs.RecordCompletion(job, task)
	}
}
