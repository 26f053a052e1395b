package simtest

import (
	"fmt"
	"strings"
	"time"
)

// taskAssignment is an attempt of a task on a machine.
type taskAssignment struct {
	worker           *fakeWorker
	job              *jobRecord // nil: the worker knows no such job
	name             string     // of the task: the job's ID, a slash and the index
	index            int
	attempt          uint64
	phase            string
	cause            string        // of the exit
	checkpointStored bool          // the exit came after a last checkpoint
	startedAt        time.Duration // of running, in time that the machine executed, for progress
	generation       int           // outdates scheduled events
}

// onMachine reports whether the task executes.
func (assignment *taskAssignment) onMachine() bool {
	return assignment.phase == taskWaiting || assignment.phase == taskRunning || assignment.phase == taskSaving
}

// startTask executes a command to start a task: it fetches the image, then runs it.
func (worker *fakeWorker) startTask(command taskCommand) {
	worker.changed = true
	i := strings.LastIndexByte(command.Task, '/')
	var index int
	_, _ = fmt.Sscan(command.Task[i+1:], &index)
	job := worker.world.jobs[command.Task[:i]]
	assignment := &taskAssignment{worker: worker, job: job, name: command.Task, index: index, attempt: command.Attempt, phase: taskExited}
	if old := worker.assignments[command.Task]; old != nil {
		worker.world.checker.countRefusal("in_use")
		return // refused without a trace: the old attempt keeps its line
	}
	worker.assignments[command.Task] = assignment
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
	if worker.images[job.id] {
		wait = 0
	}
	assignment.after(wait, func() { worker.runTask(assignment) })
}

// hasCapacity reports whether another task of a job fits on the machine.
func (worker *fakeWorker) hasCapacity(job *jobRecord) bool {
	free := machineTypes[worker.machineType].resources
	for _, assignment := range worker.assignments {
		if assignment.phase != taskExited {
			free = free.minus(assignment.job.resources)
		}
	}
	return job.cpus <= free.cpus+rounding && job.gpus <= free.gpus+rounding && job.memory <= free.memory+rounding
}

// rounding is what sums of resources may be off by.
const rounding = 1e-9

// runTask starts a task whose image is there.
func (worker *fakeWorker) runTask(assignment *taskAssignment) {
	job := assignment.job
	worker.images[job.id] = true
	worker.changed = true
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
		job.markStarted(worker.world.now)
		if job.shape == shapeArray {
			worker.completeLater(assignment)
		}
	}
}

// completeLater lets a task of an array run for the rest of its time.
func (worker *fakeWorker) completeLater(assignment *taskAssignment) {
	left := assignment.job.runTime - assignment.job.progress[assignment.index]
	if worker.slowdown > 0 {
		left = time.Duration(float64(left) * worker.slowdown)
	}
	assignment.after(left, func() {
		assignment.job.completed[assignment.index] = true
		worker.exitTask(assignment, causeDone, false)
		worker.world.users.taskCompleted(assignment.job)
	})
}

// failureDelay is how long a task that fails runs before it exits.
const failureDelay = 300 * time.Millisecond

// fails reports whether a task can only fail: because of its job or its machine.
func (assignment *taskAssignment) fails() bool {
	return assignment.job.alwaysFails(assignment.index) || assignment.worker.faulty
}

// failSoon lets a running task exit with an error.
func (worker *fakeWorker) failSoon(assignment *taskAssignment) {
	assignment.after(failureDelay, func() { worker.exitTask(assignment, causeError, false) })
}

// after runs an action once the machine has executed for so long, unless the assignment has
// changed state by then.
func (assignment *taskAssignment) after(duration time.Duration, action func()) {
	assignment.generation++
	generation := assignment.generation
	assignment.worker.afterExecuting(max(duration, 0), func() {
		if assignment.generation == generation && assignment.worker.up && assignment.worker.assignments[assignment.name] == assignment {
			action()
		}
	})
}

// exitTask ends a task with a cause; stored tells that it stored a last checkpoint.
func (worker *fakeWorker) exitTask(assignment *taskAssignment, cause string, stored bool) {
	assignment.generation++
	assignment.phase, assignment.cause, assignment.checkpointStored = taskExited, cause, stored
	worker.changed = true
	if gang := assignment.gang(); gang != nil && cause != causeDone {
		gang.leave(assignment)
	}
}

// removeTask removes a task without a trace.
func (worker *fakeWorker) removeTask(assignment *taskAssignment) {
	assignment.generation++
	assignment.phase = taskExited
	if gang := assignment.gang(); gang != nil {
		gang.leave(assignment)
	}
}

// stopTask stops a task, after a last checkpoint if the grace period is enough for it.
func (worker *fakeWorker) stopTask(assignment *taskAssignment, gracePeriod time.Duration) {
	job := assignment.job
	worker.changed = true
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

// saveAndExit lets a running task store a last checkpoint. That of a gang is stored once all
// its tasks have saved theirs.
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
		saved := len(gang.stopped) == job.taskCount && !gang.over
		if saved {
			job.progress[0] = progress
		}
		worker.exitTask(assignment, causeStopped, saved)
	})
}
