package pipeline

import (
	"iter"

	"lugward/internal/event"
	"lugward/internal/record"
)

// taskCounts are updated whenever segments change, so that counting does not iterate over
// the job's tasks.
type taskCounts struct {
	segmentLen       int // tasks per segment
	doneCount        int // tasks that the run records list as done
	activeCount      int // assignments
	pendingDoneCount int // assignments whose completion has not been written yet

	tasksByMachine map[MachineIndex]int // assignments by machine, see TasksByMachine
}

// DoneCount returns the number of tasks that are persisted as done.
func (j *Job) DoneCount() int {
	if j.TerminalPhase == Done {
		return j.TaskCount
	}
	return j.doneCount
}

// ActiveCount returns the number of tasks that may be on a machine.
func (j *Job) ActiveCount() int { return j.activeCount }

// IsDone reports whether a task is persisted as done.
func (j *Job) IsDone(task int) bool {
	index, bit := task/j.segmentLen, task%j.segmentLen
	if index >= len(j.segments) || j.segments[index].done == nil {
		return false
	}
	return j.segments[index].done[bit/record.BitsPerWord]>>(bit%record.BitsPerWord)&1 == 1
}

// Assignment returns the assignment of a task, or nil if it has none.
func (j *Job) Assignment(task int) *Assignment {
	index := task / j.segmentLen
	if index >= len(j.segments) {
		return nil
	}
	return j.segments[index].assignments[task]
}

// Assignments returns an iterator over the assignments of the job, in no particular order.
// Assignments may be added and removed during the iteration.
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

// Unassigned reports whether a task is unassigned and not completed.
func (j *Job) Unassigned(task int) bool {
	index := task / j.segmentLen
	if index >= len(j.segments) {
		return true
	}
	segment := &j.segments[index]
	return !j.IsDone(task) && segment.assignments[task] == nil && !segment.doneUnassigned[task]
}

// HasStarted reports whether any task of the job is assigned or done.
func (j *Job) HasStarted() bool { return j.ActiveCount() > 0 || j.DoneCount() > 0 }

// ProbeTask returns the unassigned task to use as the next probe of a job at fault, or
// TaskCount if there is none. It rotates through the unassigned tasks, because only some of
// them may fail.
func (j *Job) ProbeTask() int {
	unassigned := j.UnassignedCount()
	if unassigned == 0 {
		return j.TaskCount
	}
	task := j.NextUnassigned(0)
	for range j.Failures() % unassigned {
		task = j.NextUnassigned(task + 1)
	}
	return task
}

// UnassignedCount returns the number of unassigned tasks that are not completed.
func (j *Job) UnassignedCount() int {
	return max(0, j.TaskCount-j.doneCount-j.activeCount-j.doneUnassignedCount)
}

// Schedulable reports whether an unfinished ready job has tasks that may be placed now.
func (j *Job) Schedulable(now event.Time) bool {
	return j.StartableCount() > 0 && !j.terminating && !j.BackingOff(now)
}

// MaxAttempt returns the highest attempt number used by any task of the job.
func (j *Job) MaxAttempt() uint64 {
	var highest uint64
	for index := range j.segments {
		highest = max(highest, j.segments[index].attempt)
	}
	return highest
}
