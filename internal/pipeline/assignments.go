package pipeline

import "lugward/internal/event"

// Assign records the pending write to start a task on a machine. The start may be sent
// once the assignment is durable. Attempt 0 stands for the next one of the segment.
func (t *Table) Assign(job *Job, task int, machine MachineIndex, attempt uint64, now event.Time) *Assignment {
	segment := t.segment(job, task/t.segmentLen)
	if attempt == 0 {
		attempt = segment.attempt + 1
	}
	segment.attempt = max(segment.attempt, attempt)
	assignment := &Assignment{Job: job, Task: task, Machine: machine, Attempt: attempt}
	assignment.placedAt = now
	segment.assignments[task] = assignment
	t.addAssignment(assignment)
	if job.AtFault() && job.Shape != Gang {
		job.retry.probe = assignment
	}
	segment.unsentPlacement = true
	t.noteSegmentChanged(job, segment)
	return assignment
}

// RecordTermination records that an attempt is proven to have terminated.
func (t *Table) RecordTermination(assignment *Assignment) {
	if assignment.pending == PendingDone {
		return
	}
	segment := &assignment.Job.segments[assignment.Task/t.segmentLen]
	if !assignment.written && !assignment.durable {
		// Never part of a write: nothing to undo.
		if segment.assignments[assignment.Task] == assignment {
			delete(segment.assignments, assignment.Task)
			t.removeAssignment(assignment)
			t.RequestRound()
		}
		return
	}
	if assignment.pending != PendingClear {
		assignment.pending = PendingClear
		t.NoteMachineChanged(assignment.Machine)
		t.noteSegmentChanged(assignment.Job, segment)
	}
}

// RequestEviction records that a task is to be stopped so that it can run elsewhere,
// with a grace period in seconds. A second request does not change the first.
func (t *Table) RequestEviction(assignment *Assignment, gracePeriod float64) {
	if assignment.evicting {
		return
	}
	assignment.evicting = true
	assignment.gracePeriod = gracePeriod
	t.NoteMachineChanged(assignment.Machine)
}

// BeginTermination records that the attempt of a gang is being ended: nothing of it
// is placed before all of its tasks have terminated.
func (t *Table) BeginTermination(job *Job) { job.terminating = true }

// FinishTermination lets a gang start again once all tasks of its old attempt have
// terminated.
func (t *Table) FinishTermination(job *Job) {
	if job.terminating && job.ActiveCount() == 0 {
		job.terminating = false
		t.RequestRound()
	}
}

// addAssignment counts an assignment that is new.
func (t *Table) addAssignment(assignment *Assignment) {
	assignment.Job.activeCount++
	t.countUsage(assignment, 1)
	t.addToMachine(assignment)
}

// removeAssignment counts an assignment no more; its segment no longer lists it.
func (t *Table) removeAssignment(assignment *Assignment) {
	assignment.Job.activeCount--
	assignment.Job.noteUnplaced(assignment.Task)
	if assignment.pending == PendingDone {
		assignment.Job.pendingDoneCount--
	}
	t.countUsage(assignment, -1)
	t.removeFromMachine(assignment)
}
