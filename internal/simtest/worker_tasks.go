package simtest

import (
	"fmt"
	"strings"
	"time"
)

type taskAssignment struct {
	worker           *fakeWorker
	job              *jobRecord
	name             string
	index            int
	attempt          uint64
	phase            string
	cause            string
	checkpointStored bool
	startedAt        time.Duration // of running, in time that the machine executed, for progress
	generation       int           // outdates scheduled events
}

func (assignment *taskAssignment) onMachine() bool {
	return assignment.phase == taskWaiting || assignment.phase == taskRunning || assignment.phase == taskSaving
}

// startTask executes an order to start a task: it fetches the image, then runs it.
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
	worker.world.scheduleFor(assignment, wait, func() { worker.runTask(assignment) })
}

// hasCapacity tells whether another task of a job fits on the machine.
func (worker *fakeWorker) hasCapacity(job *jobRecord) bool {
	kind := machineTypes[worker.machineType]
	cpus, gpus, memory := kind.cpus, kind.gpus, kind.memory
	for _, assignment := range worker.assignments {
		if assignment.phase != taskExited {
			cpus -= assignment.job.cpus
			gpus -= assignment.job.gpus
			memory -= assignment.job.memory
		}
	}
	return job.cpus <= cpus+rounding && job.gpus <= gpus+rounding && job.memory <= memory+rounding
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
		worker.joinGang(assignment)
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
	worker.world.scheduleFor(assignment, left, func() {
		assignment.job.completed[assignment.index] = true
		worker.exitTask(assignment, causeDone, false)
		worker.world.users.taskCompleted(assignment.job)
	})
}

// failureDelay is how long a task that fails runs before it exits.
const failureDelay = 300 * time.Millisecond

// fails tells whether a task can only fail: because of its job or its machine.
func (assignment *taskAssignment) fails() bool {
	return assignment.job.alwaysFails(assignment.index) || assignment.worker.faulty
}

// failSoon lets a running task exit with an error.
func (worker *fakeWorker) failSoon(assignment *taskAssignment) {
	worker.world.scheduleFor(assignment, failureDelay, func() { worker.exitTask(assignment, causeError, false) })
}

// scheduleFor runs f unless the task has changed state by then.
func (world *World) scheduleFor(assignment *taskAssignment, duration time.Duration, action func()) {
	assignment.generation++
	gen := assignment.generation
	assignment.worker.afterExecuting(max(duration, 0), func() {
		if assignment.generation == gen && assignment.worker.up && assignment.worker.assignments[assignment.name] == assignment {
			action()
		}
	})
}

func (worker *fakeWorker) exitTask(assignment *taskAssignment, cause string, stored bool) {
	assignment.generation++
	assignment.phase, assignment.cause, assignment.checkpointStored = taskExited, cause, stored
	worker.changed = true
	if gang := assignment.job.gangs[assignment.attempt]; gang != nil && cause != causeDone {
		worker.world.leaveGang(assignment, gang)
	}
}

// removeTask removes a task without a trace.
func (worker *fakeWorker) removeTask(assignment *taskAssignment) {
	assignment.generation++
	assignment.phase = taskExited
	if job := assignment.job; job != nil {
		if gang := job.gangs[assignment.attempt]; gang != nil {
			worker.world.leaveGang(assignment, gang)
		}
	}
}

func (worker *fakeWorker) stopTask(assignment *taskAssignment, wind time.Duration) {
	job := assignment.job
	worker.changed = true
	if assignment.phase == taskSaving {
		if wind == 0 {
			worker.exitTask(assignment, causeStopped, false)
		}
		return
	}
	if assignment.phase != taskRunning || job.checkpointInterval == 0 || wind < job.checkpointDuration {
		worker.exitTask(assignment, causeStopped, false)
		return
	}
	made := job.progress[assignment.index] + worker.executionTime() - assignment.startedAt
	if job.shape == shapeGang {
		gang := job.gangs[assignment.attempt]
		if gang.stopRequestedAt == 0 {
			gang.stopRequestedAt = worker.world.now
		}
		gang.stopped[assignment.index] = true
		assignment.phase = taskSaving
		worker.world.scheduleFor(assignment, job.checkpointDuration, func() {
			saved := len(gang.stopped) == job.taskCount && !gang.over
			if saved {
				job.progress[0] = made
			}
			worker.exitTask(assignment, causeStopped, saved)
		})
		return
	}
	assignment.phase = taskSaving
	worker.world.scheduleFor(assignment, job.checkpointDuration, func() {
		job.progress[assignment.index] = made
		worker.exitTask(assignment, causeStopped, true)
	})
}
