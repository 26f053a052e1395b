package pipeline

import (
	"math/bits"

	"lugward/internal/event"
	"lugward/internal/record"
)

// segment is the part of a job's run record that one key holds.
type segment struct {
	modRevision uint64              // of the stored record, 0: none is stored
	attempt     uint64              // highest attempt used
	done        []uint64            // bitmap of the tasks that are stored as done
	assignments map[int]*Assignment // by task: stored ones, and placements not stored yet
	format      record.Format       // of the stored record
	unknown     record.Fields       // stored by a later version
	segmentWrites
}

// segmentWrites is what the leader knows of the writes of a segment. A segment that
// differs from what is stored is unsaved until a write has carried all changes.
type segmentWrites struct {
	unsaved            bool
	unsentPlacement    bool       // a placement is not part of any write yet, or its write failed
	progressQueued     bool       // a write with the priority of progress is queued or under way
	placementQueued    bool       // a write with the priority of placements is queued or under way
	changeCount        int        // counts the changes; a write has carried those counted when it was built
	deferredPlacements int        // placements that did not fit in the last write
	rejectedWrites     int        // writes in a row that the state service rejected
	nextWrite          event.Time // no write before
}

// maxTasks bounds the tasks of a job as its run records number them, so that a
// damaged key cannot make the table grow without end.
const maxTasks = 1 << 20

// setDone sets the bit of a task, counted from the start of its segment.
func setDone(done []uint64, task int) {
	done[task/record.BitsPerWord] |= 1 << (task % record.BitsPerWord)
}

// segment returns a job's segment by its index, growing the list.
func (t *Table) segment(job *Job, index int) *segment {
	for len(job.segments) <= index {
		job.segments = append(job.segments, segment{
			done:        make([]uint64, (t.segmentLen+record.BitsPerWord-1)/record.BitsPerWord),
			assignments: map[int]*Assignment{},
		})
	}
	return &job.segments[index]
}

// noteSegmentChanged notes that a segment differs from what is stored.
func (t *Table) noteSegmentChanged(job *Job, segment *segment) {
	segment.unsaved = true
	segment.changeCount++
	t.unsaved[job] = true
}

// onRun replaces what the table knows of a segment by what is stored: this is
// the only place where an assignment becomes durable or goes away for good.
func (t *Table) onRun(id string, index int, data []byte, modRevision uint64) error {
	if data == nil && t.byID[id] == nil {
		return nil
	}
	if index > maxTasks/t.segmentLen {
		return nil
	}
	job := t.jobOrNew(id)
	segment := t.segment(job, index)
	active, err := segment.load(data)
	if err != nil {
		return err
	}
	segment.modRevision = modRevision
	if data == nil {
		segment.modRevision = 0
	}
	stored := t.storeAssignments(job, segment, active)
	t.removeOutdated(job, segment, stored)
	job.countDone()
	if job.complete() {
		t.unsaved[job] = true // a write without an answer was carried out
	}
	if data == nil {
		t.forget(job)
	}
	return nil
}

// load takes over what a stored record, if there is one, says of the segment. It returns
// the assignments that the record lists.
func (s *segment) load(data []byte) (active []record.Assignment, err error) {
	if data == nil {
		return nil, nil
	}
	run, err := record.DecodeRun(data, len(s.done))
	s.format = run.Format // also of a record that is refused
	if err != nil {
		return nil, err
	}
	s.unknown = run.Unknown
	s.attempt = max(s.attempt, run.Attempt)
	for word := range run.Done {
		s.done[word] |= run.Done[word] // a done task stays done
	}
	return run.Active, nil
}

// storeAssignments marks the assignments that a segment's record lists as durable, adding
// those that are not known. It returns them by task.
func (t *Table) storeAssignments(job *Job, segment *segment, active []record.Assignment) map[int]*Assignment {
	stored := map[int]*Assignment{}
	for _, listed := range active {
		machine := t.Names.Machines.Index(listed.Machine)
		assignment := segment.assignments[listed.Task]
		if assignment == nil || assignment.Machine != machine || assignment.Attempt != listed.Attempt {
			if assignment != nil {
				t.removeAssignment(assignment)
			}
			assignment = &Assignment{Job: job, Task: listed.Task, Machine: machine, Attempt: listed.Attempt}
			segment.assignments[listed.Task] = assignment
			t.addAssignment(assignment)
		}
		if !assignment.durable {
			t.NoteMachineChanged(machine)
		}
		assignment.durable = true
		assignment.written = true
		stored[listed.Task] = assignment
	}
	return stored
}

// removeOutdated removes the assignments that a segment's record does not list, except
// placements that may still be written.
func (t *Table) removeOutdated(job *Job, segment *segment, stored map[int]*Assignment) {
	for task, assignment := range segment.assignments {
		if stored[task] == nil && (assignment.durable || job.TerminalPhase != Queued || job.IsDone(task)) {
			delete(segment.assignments, task)
			t.removeAssignment(assignment)
		}
	}
}

// countDone counts the tasks that run records show as done, and forgets those
// that waited to be shown so.
func (j *Job) countDone() {
	j.doneCount = 0
	for index := range j.segments {
		for _, word := range j.segments[index].done {
			j.doneCount += bits.OnesCount64(word)
		}
	}
	for task := range j.doneUnassigned {
		if j.IsDone(task) {
			delete(j.doneUnassigned, task)
		}
	}
}
