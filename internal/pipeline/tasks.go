package pipeline

import (
	"iter"

	"lugward/internal/event"
	"lugward/internal/record"
)

// taskCounts are kept up to date as segments change, so that counting does not walk
// over a job's tasks.
type taskCounts struct {
	segmentLen       int // tasks per segment
	doneCount        int // tasks that run records show as done
	activeCount      int // assignments
	pendingDoneCount int // assignments whose completion is still to be written
}

// DoneCount counts the tasks that are stored as done.
func (j *Job) DoneCount() int {
	if j.TerminalPhase == Done {
		return j.TaskCount
	}
	return j.doneCount
}

// ActiveCount counts tasks that may be on a machine.
func (j *Job) ActiveCount() int { return j.activeCount }

// IsDone reports whether a task is stored as done.
func (j *Job) IsDone(task int) bool {
	index, bit := task/j.segmentLen, task%j.segmentLen
	if index >= len(j.segments) || j.segments[index].done == nil {
		return false
	}
	return j.segments[index].done[bit/record.BitsPerWord]>>(bit%record.BitsPerWord)&1 == 1
}

// Assignment returns the assignment of a task, or nil.
func (j *Job) Assignment(task int) *Assignment {
	index := task / j.segmentLen
	if index >= len(j.segments) {
		return nil
	}
	return j.segments[index].assignments[task]
}

// Assignments returns the assignments of the job, in no order. It may be changed
// meanwhile.
func (j *Job) Assignments() iter.Seq[*Assignment] {
	return func(yield func(*Assignment) bool) {
		if j.activeCount == 0 {
			return
		}
		for index := range j.segments {
			for _, assignment := range j.segments[index].assignments {
				if !yield(assignment) {
					return
				}
			}
		}
	}
}

// Unplaced reports whether a task waits to be placed.
func (j *Job) Unplaced(task int) bool {
	return !j.IsDone(task) && j.Assignment(task) == nil && !j.doneUnassigned[task]
}

// HasStarted reports whether a task of the job has been placed, be it that it is done.
func (j *Job) HasStarted() bool { return j.ActiveCount() > 0 || j.DoneCount() > 0 }

// NextUnplaced returns the first task from a number on that waits to be placed, TaskCount
// if there is none. What it has passed over is not looked at again until it is unplaced, so
// that an array is not walked over from its first task for each one that is placed.
func (j *Job) NextUnplaced(from int) int {
	task := max(from, j.unplacedFrom)
	for task < j.TaskCount && !j.Unplaced(task) {
		task++
	}
	if from <= j.unplacedFrom {
		j.unplacedFrom = task
	}
	return task
}

// ProbeTask returns the unplaced task that tries again after a failure of the job itself:
// the unplaced ones take turns, as only some of them may fail. It is TaskCount if there
// is none.
func (j *Job) ProbeTask() int {
	unplaced := j.UnplacedCount()
	if unplaced == 0 {
		return j.TaskCount
	}
	task := j.NextUnplaced(0)
	for range j.Failures() % unplaced {
		task = j.NextUnplaced(task + 1)
	}
	return task
}

// noteUnplaced notes that a task may wait to be placed again.
func (j *Job) noteUnplaced(task int) { j.unplacedFrom = min(j.unplacedFrom, task) }

// UnplacedCount counts the tasks that wait to be placed.
func (j *Job) UnplacedCount() int {
	return max(0, j.TaskCount-j.doneCount-j.activeCount-len(j.doneUnassigned))
}

// Schedulable reports whether an unfinished ready job has tasks to place.
func (j *Job) Schedulable(now event.Time) bool {
	return j.StartableCount() > 0 && !j.terminating && !j.BackingOff(now)
}

// MaxAttempt is the highest attempt used by any task of the job.
func (j *Job) MaxAttempt() uint64 {
	var highest uint64
	for index := range j.segments {
		highest = max(highest, j.segments[index].attempt)
	}
	return highest
}
