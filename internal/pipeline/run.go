package pipeline

import (
	"math/bits"

	"lugward/internal/record"
)

// maxTasks bounds the tasks of a job as its run records number them, so that a
// damaged key cannot make the table grow without end.
const maxTasks = 1 << 20

// setDone sets the bit of a task, counted from the start of its chunk.
func setDone(done []uint64, task int) {
	done[task/record.BitsPerWord] |= 1 << (task % record.BitsPerWord)
}

// segment returns a job's chunk by its index, growing the list.
func (t *Table) segment(j *Job, index int) *segment {
	for len(j.segments) <= index {
		j.segments = append(j.segments, segment{
			done:        make([]uint64, (t.segmentLen+record.BitsPerWord-1)/record.BitsPerWord),
			assignments: map[int]*Assignment{},
		})
	}
	return &j.segments[index]
}

// onRun replaces what the table knows of a chunk by what is stored: this is
// the only place where an entry becomes durable or goes away for good.
func (t *Table) onRun(id string, index int, data []byte, modRevision uint64) error {
	if data == nil && t.byID[id] == nil {
		return nil
	}
	if index > maxTasks/t.segmentLen {
		return nil
	}
	j := t.get(id)
	ch := t.segment(j, index)
	var active []record.Assignment
	if data != nil {
		run, err := record.DecodeRun(data, len(ch.done))
		ch.format = run.Format // also of a record that is refused
		if err != nil {
			return err
		}
		active = run.Active
		ch.unknown = run.Unknown
		ch.attempt = max(ch.attempt, run.Attempt)
		for word := range run.Done {
			ch.done[word] |= run.Done[word] // a done task stays done
		}
	}
	ch.modRevision = modRevision
	if data == nil {
		ch.modRevision = 0
	}
	stored := t.storeAssignments(j, ch, active)
	t.removeOutdated(j, ch, stored)
	j.countDone()
	if j.complete() {
		t.dirty[j] = true // a write without an answer was carried out
	}
	if data == nil {
		t.forget(j)
	}
	return nil
}

// storeAssignments marks the entries that a chunk's record lists as durable, adding
// those that are not known. It returns them by task.
func (t *Table) storeAssignments(j *Job, ch *segment, active []record.Assignment) map[int]*Assignment {
	stored := map[int]*Assignment{}
	for _, a := range active {
		machine := t.Names.Machines.Index(a.Machine)
		e := ch.assignments[a.Task]
		if e == nil || e.Machine != machine || e.Attempt != a.Attempt {
			if e != nil {
				t.removeAssignment(e)
			}
			e = &Assignment{Job: j, Task: a.Task, Machine: machine, Attempt: a.Attempt}
			ch.assignments[a.Task] = e
			t.addAssignment(e)
		}
		if !e.durable {
			t.NoteMachineChanged(machine)
		}
		e.durable = true
		e.written = true
		stored[a.Task] = e
	}
	return stored
}

// removeOutdated removes the entries that a chunk's record does not list, except
// placements that may still be written.
func (t *Table) removeOutdated(j *Job, ch *segment, stored map[int]*Assignment) {
	for task, e := range ch.assignments {
		if stored[task] == nil && (e.durable || j.TerminalPhase != Queued || j.IsDone(task)) {
			delete(ch.assignments, task)
			t.removeAssignment(e)
		}
	}
}

// countDone counts the tasks that run records show as done, and forgets those
// that waited to be shown so.
func (j *Job) countDone() {
	j.done = 0
	for index := range j.segments {
		for _, word := range j.segments[index].done {
			j.done += bits.OnesCount64(word)
		}
	}
	for task := range j.doneUnassigned {
		if j.IsDone(task) {
			delete(j.doneUnassigned, task)
		}
	}
}
