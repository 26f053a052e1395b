package simtest

import (
	"fmt"
	"strings"
	"time"
)

type assignment struct {
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

func (other *assignment) onMachine() bool {
	return other.phase == "waiting" || other.phase == "running" || other.phase == "saving"
}

// startTask executes an order to start a task: it fetches the image, then runs it.
func (worker *fakeWorker) startTask(command taskCommand) {
	worker.changed = true
	i := strings.LastIndexByte(command.Task, '/')
	var index int
	_, _ = fmt.Sscan(command.Task[i+1:], &index)
	job := worker.world.jobs[command.Task[:i]]
	other := &assignment{worker: worker, job: job, name: command.Task, index: index, attempt: command.Attempt, phase: "exited"}
	if old := worker.assignments[command.Task]; old != nil {
		worker.world.checker.countRefusal("in_use", command.Task)
		return // refused without a trace: the old attempt keeps its line
	}
	worker.assignments[command.Task] = other
	if job == nil || index >= job.taskCount {
		other.cause = "unknown"
		return
	}
	if !worker.hasCapacity(job) {
		other.cause = "full"
		worker.world.checker.countRefusal("full", command.Task)
		return
	}
	other.phase = "pulling"
	wait := job.imageFetchTime
	if worker.images[job.id] {
		wait = 0
	}
	worker.world.scheduleFor(other, wait, func() { worker.runTask(other) })
}

// hasCapacity tells whether another task of a job fits on the machine.
func (worker *fakeWorker) hasCapacity(job *jobRecord) bool {
	kind := machineTypes[worker.machineType]
	cpus, gpus, memory := kind.cpus, kind.gpus, kind.memory
	for _, assignment := range worker.assignments {
		if assignment.phase != "exited" {
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
func (worker *fakeWorker) runTask(other *assignment) {
	job := other.job
	worker.images[job.id] = true
	worker.changed = true
	worker.world.checker.checkStart(other)
	switch {
	case job.completed[other.index]:
		worker.exitTask(other, "done", false)
	case job.shape == "gang":
		other.phase = "waiting"
		worker.joinGang(other)
	case other.fails():
		other.phase = "running"
		worker.failSoon(other)
	default:
		other.phase, other.startedAt = "running", worker.executionTime()
		job.markStarted(worker.world.now)
		if job.shape == "array" {
			worker.completeLater(other)
		}
	}
}

// completeLater lets a task of an array run for the rest of its time.
func (worker *fakeWorker) completeLater(other *assignment) {
	left := other.job.runTime - other.job.progress[other.index]
	if worker.slowdown > 0 {
		left = time.Duration(float64(left) * worker.slowdown)
	}
	worker.world.scheduleFor(other, left, func() {
		other.job.completed[other.index] = true
		worker.exitTask(other, "done", false)
		worker.world.taskCompleted(other.job)
	})
}

// failureDelay is how long a task that fails runs before it exits.
const failureDelay = 300 * time.Millisecond

// fails tells whether a task can only fail: because of its job or its machine.
func (other *assignment) fails() bool {
	return other.job.alwaysFails(other.index) || other.worker.faulty
}

// failSoon lets a running task exit with an error.
func (worker *fakeWorker) failSoon(other *assignment) {
	worker.world.scheduleFor(other, failureDelay, func() { worker.exitTask(other, "error", false) })
}

// scheduleFor runs f unless the task has changed state by then.
func (world *World) scheduleFor(other *assignment, duration time.Duration, action func()) {
	other.generation++
	gen := other.generation
	other.worker.afterExecuting(max(duration, 0), func() {
		if other.generation == gen && other.worker.up && other.worker.assignments[other.name] == other {
			action()
		}
	})
}

func (worker *fakeWorker) exitTask(other *assignment, cause string, stored bool) {
	other.generation++
	other.phase, other.cause, other.checkpointStored = "exited", cause, stored
	worker.changed = true
	if gang := other.job.gangs[other.attempt]; gang != nil && cause != "done" {
		worker.world.leaveGang(other, gang)
	}
}

// removeTask removes a task without a trace.
func (worker *fakeWorker) removeTask(other *assignment) {
	other.generation++
	other.phase = "exited"
	if job := other.job; job != nil {
		if gang := job.gangs[other.attempt]; gang != nil {
			worker.world.leaveGang(other, gang)
		}
	}
}

func (worker *fakeWorker) stopTask(other *assignment, wind time.Duration) {
	job := other.job
	worker.changed = true
	if other.phase == "saving" {
		if wind == 0 {
			worker.exitTask(other, "halted", false)
		}
		return
	}
	if other.phase != "running" || job.checkpointInterval == 0 || wind < job.checkpointDuration {
		worker.exitTask(other, "halted", false)
		return
	}
	made := job.progress[other.index] + worker.executionTime() - other.startedAt
	if job.shape == "gang" {
		gang := job.gangs[other.attempt]
		if gang.stopRequestedAt == 0 {
			gang.stopRequestedAt = worker.world.now
		}
		gang.stopped[other.index] = true
		other.phase = "saving"
		worker.world.scheduleFor(other, job.checkpointDuration, func() {
			saved := len(gang.stopped) == job.taskCount && !gang.over
			if saved {
				job.progress[0] = made
			}
			worker.exitTask(other, "halted", saved)
		})
		return
	}
	other.phase = "saving"
	worker.world.scheduleFor(other, job.checkpointDuration, func() {
		job.progress[other.index] = made
		worker.exitTask(other, "halted", true)
	})
}
