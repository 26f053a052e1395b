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
func (t *Table) segment(j *Job, index int) *Segment {
	for len(j.Segments) <= index {
		j.Segments = append(j.Segments, Segment{
			Done:        make([]uint64, (t.segmentLen+record.BitsPerWord-1)/record.BitsPerWord),
			Assignments: map[int]*Assignment{},
		})
	}
	return &j.Segments[index]
}

// onRun replaces what the table knows of a chunk by what is stored: this is
// the only place where an entry becomes durable or goes away for good.
func (t *Table) onRun(id string, index int, data []byte, version uint64) {
	if data == nil && t.byID[id] == nil {
		return
	}
	if index > maxTasks/t.segmentLen {
		return
	}
	j := t.get(id)
	ch := t.segment(j, index)
	var active []record.Assignment
	if data != nil {
		run, err := record.DecodeRun(data, len(ch.Done))
		ch.format = run.Format // also of a record that is refused
		if err != nil {
			return
		}
		active = run.Active
		ch.unknown = run.Unknown
		ch.Attempt = max(ch.Attempt, run.Attempt)
		for word := range run.Done {
			ch.Done[word] |= run.Done[word] // a done task stays done
		}
	}
	ch.ModRevision = version
	if data == nil {
		ch.ModRevision = 0
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
}

// storeAssignments marks the entries that a chunk's record lists as durable, adding
// those that are not known. It returns them by task.
func (t *Table) storeAssignments(j *Job, ch *Segment, active []record.Assignment) map[int]*Assignment {
	stored := map[int]*Assignment{}
	for _, a := range active {
		machine := t.Names.Machines.Index(a.Machine)
		e := ch.Assignments[a.Task]
		if e == nil || e.Machine != machine || e.Attempt != a.Attempt {
			if e != nil {
				t.removeAssignment(e)
			}
			e = &Assignment{Job: j, Task: a.Task, Machine: machine, Attempt: a.Attempt}
			ch.Assignments[a.Task] = e
			t.addAssignment(e)
		}
		if !e.Durable {
			t.NoteMachineChanged(machine)
		}
		e.Durable = true
		e.sent = true
		stored[a.Task] = e
	}
	return stored
}

// removeOutdated removes the entries that a chunk's record does not list, except
// placements that may still be written.
func (t *Table) removeOutdated(j *Job, ch *Segment, stored map[int]*Assignment) {
	for task, e := range ch.Assignments {
		if stored[task] == nil && (e.Durable || j.TerminalPhase != Queued || j.IsDone(task)) {
			delete(ch.Assignments, task)
			t.removeAssignment(e)
		}
	}
}

// countDone counts the tasks that run records show as done, and forgets those
// that waited to be shown so.
func (j *Job) countDone() {
	j.done = 0
	for index := range j.Segments {
		for _, word := range j.Segments[index].Done {
			j.done += bits.OnesCount64(word)
		}
	}
	for task := range j.doneUnassigned {
		if j.IsDone(task) {
			delete(j.doneUnassigned, task)
		}
	}
}
