package pipeline

import "lugward/internal/event"

// Assign assigns a task to a machine and marks the assignment to be written. The start
// command may be sent once the assignment is persisted. Attempt 0 selects the next attempt
// number of the segment.
func (t *Table) Assign(job *Job, task int, machine MachineIndex, attempt uint64, now event.Time) *Assignment {
	segment := t.segment(job, task/t.segmentLen)
	if attempt == 0 {
		attempt = segment.attempt + 1
	}
	segment.attempt = max(segment.attempt, attempt)
	assignment := &Assignment{Job: job, Task: task, Machine: machine, Attempt: attempt}
	assignment.assignedAt = now
	segment.assignments[task] = assignment
	t.addAssignment(assignment)
	if job.AtFault() && job.Shape != Gang {
		job.retry.probe = assignment
	}
	segment.unsentPlacement = true
	t.markSegmentUnsaved(job, segment)
	return assignment
}

// RecordTermination records that an attempt is proven to have terminated.
func (t *Table) RecordTermination(assignment *Assignment) {
	if assignment.pending == PendingDone {
		return
	}
	segment := &assignment.Job.segments[assignment.Task/t.segmentLen]
	if !assignment.mayBePersisted && !assignment.persisted {
		// The assignment was never part of a write, so there is nothing to undo.
		if segment.assignments[assignment.Task] == assignment {
			delete(segment.assignments, assignment.Task)
			t.removeAssignment(assignment)
			t.RequestRound()
		}
		return
	}
	if assignment.pending != PendingClear {
		assignment.pending = PendingClear
		t.MarkMachineChanged(assignment.Machine)
		t.markSegmentUnsaved(assignment.Job, segment)
	}
}

// RequestEviction requests that a task is stopped so that it can run elsewhere, with a
// grace period in seconds. A further request for the same assignment has no effect.
func (t *Table) RequestEviction(assignment *Assignment, gracePeriod float64) {
	if assignment.evicting {
		return
	}
	assignment.evicting = true
	assignment.Job.evictingCount++
	assignment.gracePeriod = gracePeriod
	t.MarkMachineChanged(assignment.Machine)
}

// BeginTermination records that the attempt of a gang is being terminated. No task of the
// gang is assigned before all of its tasks have terminated.
func (t *Table) BeginTermination(job *Job) { job.terminating = true }

// FinishTermination allows a gang to start again once all tasks of its previous attempt
// have terminated.
func (t *Table) FinishTermination(job *Job) {
	if job.terminating && job.ActiveCount() == 0 {
		job.terminating = false
		t.RequestRound()
	}
}

// AllEvicting reports whether all assignments of a job are being evicted.
func (j *Job) AllEvicting() bool { return j.evictingCount == j.activeCount }

// addAssignment adds a new assignment to the counts and to its machine.
func (t *Table) addAssignment(assignment *Assignment) {
	t.parts.assignments++
	assignment.Job.activeCount++
	assignment.Job.addToMachineCount(assignment.Machine, 1)
	t.adjustUsage(assignment, 1)
	t.addToMachine(assignment)
}

// removeAssignment removes an assignment from the counts and from its machine. The caller
// has removed it from its segment.
func (t *Table) removeAssignment(assignment *Assignment) {
	t.parts.assignments--
	assignment.Job.activeCount--
	assignment.Job.addToMachineCount(assignment.Machine, -1)
	assignment.Job.recordUnassigned(assignment.Task)
	if assignment.evicting {
		assignment.Job.evictingCount--
	}
	if assignment.pending == PendingDone {
		assignment.Job.pendingDoneCount--
	}
	t.adjustUsage(assignment, -1)
	t.removeFromMachine(assignment)
}
