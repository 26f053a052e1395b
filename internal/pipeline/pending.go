package pipeline

import "lugward/internal/event"

// Assign records the pending write to start a task on a machine. The start may be sent
// once the entry is durable. Attempt 0 stands for the next one of the chunk.
func (t *Table) Assign(j *Job, task, machine int, attempt uint64, now event.Time) *Assignment {
	ch := t.segment(j, task/t.segmentLen)
	if attempt == 0 {
		attempt = ch.attempt + 1
	}
	ch.attempt = max(ch.attempt, attempt)
	e := &Assignment{Job: j, Task: task, Machine: machine, Attempt: attempt}
	e.placedAt = now
	ch.assignments[task] = e
	t.addAssignment(e)
	if j.AtFault() && j.Shape != Gang {
		j.retry.probe = e
	}
	ch.placing = true
	t.noteSegmentChanged(j, ch)
	return e
}

// noteSegmentChanged notes that a chunk differs from what is stored.
func (t *Table) noteSegmentChanged(j *Job, ch *segment) {
	ch.dirty = true
	ch.changeCount++
	t.dirty[j] = true
}

// RecordTermination records that an attempt is proven to have terminated.
func (t *Table) RecordTermination(e *Assignment) {
	if e.pending == PendingDone {
		return
	}
	ch := &e.Job.segments[e.Task/t.segmentLen]
	if !e.written && !e.durable {
		// Never part of a write: nothing to undo.
		if ch.assignments[e.Task] == e {
			delete(ch.assignments, e.Task)
			t.removeAssignment(e)
			t.RequestRound()
		}
		return
	}
	if e.pending != PendingClear {
		e.pending = PendingClear
		t.NoteMachineChanged(e.Machine)
		t.noteSegmentChanged(e.Job, ch)
	}
}

// RecordCompletion records that a task has completed, whichever attempt it was.
func (t *Table) RecordCompletion(j *Job, task int) {
	if task < 0 || task >= j.TaskCount || j.IsDone(task) || j.TerminalPhase != Queued {
		return
	}
	ch := t.segment(j, task/t.segmentLen)
	if e := ch.assignments[task]; e != nil {
		if e.pending != PendingDone {
			e.pending = PendingDone
			j.pendingDone++
			t.NoteMachineChanged(e.Machine)
			t.noteSegmentChanged(j, ch)
		}
		return
	}
	if j.doneUnassigned[task] {
		return
	}
	if j.doneUnassigned == nil {
		j.doneUnassigned = map[int]bool{}
	}
	j.doneUnassigned[task] = true
	t.noteSegmentChanged(j, ch)
}

// Reset drops everything that only a leader knows.
func (t *Table) Reset() {
	for j := range t.AllJobs() {
		t.resetJob(j)
	}
	clear(t.dirty)
	clear(t.dirtyRetries)
	clear(t.retryDeletionsInFlight)
	clear(t.terminated)
	for j := range t.AllJobs() {
		// All tasks are logged as done and the leader that logged it has lost its
		// term: nothing else would ever write the done mark.
		if j.complete() {
			t.dirty[j] = true
		}
		if j.TerminalPhase != Queued && j.active > 0 {
			t.terminated[j] = true
		}
	}
	t.RequestRound()
}

// resetJob drops what only a leader knows of a job.
func (t *Table) resetJob(j *Job) {
	t.resetRetry(j)
	j.leaderState = leaderState{}
	j.deletionInFlight = false
	j.terminalWriteInFlight = false
	for index := range j.segments {
		ch := &j.segments[index]
		ch.dirty = false
		ch.placing = false
		ch.retryAt = 0
		for task, e := range ch.assignments {
			if !e.durable {
				delete(ch.assignments, task)
				t.removeAssignment(e)
				continue
			}
			t.NoteMachineChanged(e.Machine)
			e.reset()
		}
	}
	j.pendingDone = 0
}

// reset drops what only a leader knows of an entry.
func (a *Assignment) reset() {
	a.assignmentStatus = assignmentStatus{}
}
