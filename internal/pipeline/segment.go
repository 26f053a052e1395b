package pipeline

import (
	"math/bits"

	"lugward/internal/event"
	"lugward/internal/record"
)

// segment is the part of a job's tasks that one run record, under one key, holds.
type segment struct {
	index       int                 // in the job's list of segments
	modRevision uint64              // of the persisted record, zero if there is none
	attempt     uint64              // highest attempt number used
	done        []uint64            // bitmap of the tasks that are persisted as done
	doneCount   int                 // number of tasks in done
	assignments map[int]*Assignment // by task: persisted ones, and placements that are not persisted yet
	format      record.Format       // of the persisted record
	unknown     record.Fields       // written by a later version
	// doneUnassigned holds the completed tasks without an assignment. Only a leader has them.
	doneUnassigned map[int]bool
	segmentWrites
}

// segmentWrites is the leader's state of the writes of a segment. A segment that differs
// from its persisted record is unsaved until a write with all changes is committed.
type segmentWrites struct {
	unsaved            bool
	listedAsUnsaved    bool       // in the job's list of unsaved segments
	unsentPlacement    bool       // a placement has not been part of any write, or its write failed
	progressQueued     bool       // a write with kv.PriorityProgress is queued or in flight
	placementQueued    bool       // a write with kv.PriorityPlacement is queued or in flight
	changeCount        int        // number of changes; a write contains the changes counted when it was built
	deferredPlacements int        // number of placements that did not fit in the last write
	rejectedWrites     int        // number of consecutive writes that the state service rejected
	nextWrite          event.Time // earliest time of the next write
}

// maxTasks is the maximum number of tasks of a job, as indexed by its run records. It
// prevents a corrupted key from growing the table without bound.
const maxTasks = 1 << 20

// setDone sets the bit of a task. task is relative to the start of its segment.
func setDone(done []uint64, task int) {
	done[task/record.BitsPerWord] |= 1 << (task % record.BitsPerWord)
}

// segment returns a job's segment by its index, extending the list as needed.
func (t *Table) segment(job *Job, index int) *segment {
	for len(job.segments) <= index {
		job.segments = append(job.segments, segment{
			index:       len(job.segments),
			done:        make([]uint64, (t.segmentLen+record.BitsPerWord-1)/record.BitsPerWord),
			assignments: map[int]*Assignment{},
		})
		t.parts.segments++
	}
	return &job.segments[index]
}

// markSegmentUnsaved marks a segment as different from its persisted record.
func (t *Table) markSegmentUnsaved(job *Job, segment *segment) {
	segment.unsaved = true
	segment.changeCount++
	if !segment.listedAsUnsaved {
		segment.listedAsUnsaved = true
		job.unsavedSegments = append(job.unsavedSegments, segment.index)
	}
	t.unsaved[job] = true
}

// handleRun handles a change of a run record in the watch cache: it updates the segment
// from the persisted record. Only here does an assignment become persisted, and only here
// is a persisted assignment removed before its job has a terminal record.
func (t *Table) handleRun(id string, index int, data []byte, modRevision uint64) error {
	if data == nil && t.byID[id] == nil {
		return nil
	}
	if index > maxTasks/t.segmentLen {
		return nil
	}
	job := t.jobOrNew(id)
	segment := t.segment(job, index)
	active, err := segment.mergeRecord(data)
	if err != nil {
		return err
	}
	if data == nil {
		modRevision = 0
	}
	job.setModRevision(segment, modRevision)
	listed := t.mergeListedAssignments(job, segment, active)
	t.removeUnlistedAssignments(job, segment, listed)
	job.countDone(segment)
	if job.complete() {
		t.unsaved[job] = true // a write without a response was committed
	}
	if data == nil {
		t.removeIfNoRecords(job)
	}
	return nil
}

// mergeRecord merges the persisted record into the segment and returns the assignments that
// the record lists. data is nil if there is no record.
func (s *segment) mergeRecord(data []byte) (active []record.Assignment, err error) {
	if data == nil {
		return nil, nil
	}
	run, err := record.DecodeRun(data, len(s.done))
	s.format = run.Format // also set if the record cannot be decoded
	if err != nil {
		return nil, err
	}
	s.unknown = run.Unknown
	s.attempt = max(s.attempt, run.MaxAttempt)
	for word := range run.Done {
		s.done[word] |= run.Done[word] // a task that is done remains done
	}
	return run.Active, nil
}

// mergeListedAssignments marks as persisted the assignments that a segment's record lists,
// and adds those that the table does not have. It returns them by task.
func (t *Table) mergeListedAssignments(job *Job, segment *segment, active []record.Assignment) map[int]*Assignment {
	listed := map[int]*Assignment{}
	for _, entry := range active {
		machine := t.Names.Machines.Index(entry.Machine)
		assignment := segment.assignments[entry.Task]
		if assignment == nil || assignment.Machine != machine || assignment.Attempt != entry.Attempt {
			if assignment != nil {
				t.removeAssignment(assignment)
			}
			assignment = &Assignment{Job: job, Task: entry.Task, Machine: machine, Attempt: entry.Attempt}
			segment.assignments[entry.Task] = assignment
			t.addAssignment(assignment)
		}
		if !assignment.persisted {
			t.MarkMachineChanged(machine)
		}
		assignment.persisted = true
		assignment.mayBePersisted = true
		listed[entry.Task] = assignment
	}
	return listed
}

// removeUnlistedAssignments removes the assignments that a segment's record does not list,
// except placements that may still be written.
func (t *Table) removeUnlistedAssignments(job *Job, segment *segment, listed map[int]*Assignment) {
	for task, assignment := range segment.assignments {
		if listed[task] == nil && (assignment.persisted || job.TerminalPhase != Queued || job.IsDone(task)) {
			delete(segment.assignments, task)
			t.removeAssignment(assignment)
		}
	}
}

// setModRevision sets the revision of a segment's persisted record, zero if there is none.
func (j *Job) setModRevision(segment *segment, modRevision uint64) {
	switch {
	case segment.modRevision == 0 && modRevision != 0:
		j.persistedSegments++
		j.firstPersisted = min(j.firstPersisted, segment.index)
	case segment.modRevision != 0 && modRevision == 0:
		j.persistedSegments--
	}
	segment.modRevision = modRevision
}

// countDone updates the job's doneCount after a change of a segment. It removes from
// doneUnassigned the tasks that are now persisted as done.
func (j *Job) countDone(segment *segment) {
	count := 0
	for _, word := range segment.done {
		count += bits.OnesCount64(word)
	}
	j.doneCount += count - segment.doneCount
	segment.doneCount = count
	for task := range segment.doneUnassigned {
		if j.IsDone(task) {
			delete(segment.doneUnassigned, task)
			j.doneUnassignedCount--
		}
	}
}
