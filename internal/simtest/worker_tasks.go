package simtest

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// taskAssignment is one attempt to run a task on a machine.
type taskAssignment struct {
	worker           *fakeWorker
	job              *jobRecord // nil if the job is unknown
	name             string     // name of the task: the job's ID, a slash and the index
	index            int
	attempt          uint64
	phase            string
	cause            string        // cause of the exit
	checkpointStored bool          // a last checkpoint was stored before the exit
	startedAt        time.Duration // execution time of the machine when the task began to run; the progress counts from it
	generation       int           // incremented to invalidate scheduled events
}

// taskName returns the name of a task of a job.
func taskName(id string, index int) string { return id + "/" + strconv.Itoa(index) }

// isExecuting reports whether the task executes on the machine: it waits for its gang, runs or
// stores a checkpoint.
func (assignment *taskAssignment) isExecuting() bool {
	return assignment.phase == taskWaiting || assignment.phase == taskRunning || assignment.phase == taskSaving
}

// startTask executes a command to start a task: it fetches the image, then runs the task. A
// task that cannot start exits immediately.
func (worker *fakeWorker) startTask(command taskCommand) {
	worker.statusChanged = true
	i := strings.LastIndexByte(command.Task, '/')
	var index int
	_, _ = fmt.Sscan(command.Task[i+1:], &index)
	job := worker.world.jobs[command.Task[:i]]
	assignment := &taskAssignment{worker: worker, job: job, name: command.Task, index: index, attempt: command.Attempt, phase: taskExited}
	if old := worker.assignments[command.Task]; old != nil {
		worker.world.checker.countRefusal("in_use")
		return // not reported in heartbeats, which continue to show the old attempt
	}
	worker.assignments[command.Task] = assignment
	worker.world.checker.checkExecutedStart(worker, command)
	if job == nil || index >= job.taskCount {
		assignment.cause = causeUnknown
		return
	}
	if !worker.hasCapacity(job) {
		assignment.cause = causeFull
		worker.world.checker.countRefusal(causeFull)
		return
	}
	assignment.phase = taskPulling
	wait := job.imageFetchTime
	if worker.fetchedImages[job.id] {
		wait = 0
	}
	assignment.after(wait, func() { worker.runTask(assignment) })
}

// hasCapacity reports whether the machine has enough free resources for another task of the job.
func (worker *fakeWorker) hasCapacity(job *jobRecord) bool {
	free := machineTypes[worker.machineType].resources
	for _, assignment := range worker.assignments {
		if assignment.phase != taskExited {
			free = free.minus(assignment.job.resources)
		}
	}
	return job.cpus <= free.cpus+roundingTolerance && job.gpus <= free.gpus+roundingTolerance && job.memory <= free.memory+roundingTolerance
}

// roundingTolerance is the tolerance for rounding errors in sums of resources.
const roundingTolerance = 1e-9

// runTask runs a task whose image has been fetched.
func (worker *fakeWorker) runTask(assignment *taskAssignment) {
	job := assignment.job
	worker.fetchedImages[job.id] = true
	worker.statusChanged = true
	worker.world.checker.checkStart(assignment)
	switch {
	case job.completed[assignment.index]:
		worker.exitTask(assignment, causeDone, false)
	case job.shape == shapeGang:
		assignment.phase = taskWaiting
		assignment.joinGang()
	case assignment.fails():
		assignment.phase = taskRunning
		worker.failSoon(assignment)
	default:
		assignment.phase, assignment.startedAt = taskRunning, worker.executionTime()
		job.recordStart(worker.world.now)
		if job.shape == shapeArray {
			worker.completeLater(assignment)
		}
	}
}

// completeLater schedules the completion of an array task after its remaining run time.
func (worker *fakeWorker) completeLater(assignment *taskAssignment) {
	remaining := assignment.job.runTime - assignment.job.progress[assignment.index]
	if worker.slowdown > 0 {
		remaining = time.Duration(float64(remaining) * worker.slowdown)
	}
	assignment.after(remaining, func() {
		assignment.job.completed[assignment.index] = true
		worker.exitTask(assignment, causeDone, false)
		worker.world.users.handleTaskCompleted(assignment.job)
	})
}

// failureDelay is how long a failing task runs before it exits.
const failureDelay = 300 * time.Millisecond

// fails reports whether the task is bound to fail because of its job or because its machine is
// faulty.
func (assignment *taskAssignment) fails() bool {
	return assignment.job.alwaysFails(assignment.index) || assignment.worker.faulty
}

// failSoon makes a running task exit with an error after failureDelay.
func (worker *fakeWorker) failSoon(assignment *taskAssignment) {
	assignment.after(failureDelay, func() { worker.exitTask(assignment, causeError, false) })
}

// after runs an action after the machine has executed for a duration, unless the assignment has
// ended or another action was scheduled for it by then.
func (assignment *taskAssignment) after(duration time.Duration, action func()) {
	assignment.generation++
	generation := assignment.generation
	assignment.worker.afterExecuting(max(duration, 0), func() {
		if assignment.generation == generation && assignment.worker.up && assignment.worker.assignments[assignment.name] == assignment {
			action()
		}
	})
}

// exitTask ends a task with a cause. The parameter stored tells whether a last checkpoint was
// stored.
func (worker *fakeWorker) exitTask(assignment *taskAssignment, cause string, stored bool) {
	assignment.generation++
	assignment.phase, assignment.cause, assignment.checkpointStored = taskExited, cause, stored
	worker.statusChanged = true
	if gang := assignment.gang(); gang != nil && cause != causeDone {
		gang.leave(assignment)
	}
}

// removeTask ends a task without a cause. Its caller removes the assignment.
func (worker *fakeWorker) removeTask(assignment *taskAssignment) {
	assignment.generation++
	assignment.phase = taskExited
	if gang := assignment.gang(); gang != nil {
		gang.leave(assignment)
	}
}

// stopTask stops a task. A running task that can store a last checkpoint within the grace
// period does so first. A grace period of zero aborts a checkpoint in progress.
func (worker *fakeWorker) stopTask(assignment *taskAssignment, gracePeriod time.Duration) {
	job := assignment.job
	worker.statusChanged = true
	if assignment.phase == taskSaving {
		if gracePeriod == 0 {
			worker.exitTask(assignment, causeStopped, false)
		}
		return
	}
	canSave := assignment.phase == taskRunning && job.checkpointInterval != 0 && gracePeriod >= job.checkpointDuration
	if !canSave {
		worker.exitTask(assignment, causeStopped, false)
		return
	}
	worker.saveAndExit(assignment)
}

// saveAndExit makes a running task store a last checkpoint and exit. The checkpoint of a gang
// counts as stored only if all its tasks were stopped with a checkpoint and none was lost.
func (worker *fakeWorker) saveAndExit(assignment *taskAssignment) {
	job := assignment.job
	progress := job.progress[assignment.index] + worker.executionTime() - assignment.startedAt
	assignment.phase = taskSaving
	if job.shape != shapeGang {
		assignment.after(job.checkpointDuration, func() {
			job.progress[assignment.index] = progress
			worker.exitTask(assignment, causeStopped, true)
		})
		return
	}
	gang := assignment.gang()
	if gang.stopRequestedAt == 0 {
		gang.stopRequestedAt = worker.world.now
	}
	gang.stopped[assignment.index] = true
	assignment.after(job.checkpointDuration, func() {
		saved := len(gang.stopped) == job.taskCount && !gang.ended
		if saved {
			job.progress[0] = progress
		}
		worker.exitTask(assignment, causeStopped, saved)
	})
}
