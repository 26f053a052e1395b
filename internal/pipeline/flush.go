package pipeline

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

// deferredPlacementWait is the delay before placements that did not fit in a run record
// are written again.
const deferredPlacementWait = time.Second

// Flush queues a write of every run record with changes that are not persisted, and of the
// terminal record of every complete job. term is the condition that this controller still
// holds its term.
func (t *Table) Flush(now event.Time, term kv.Compare, submitter TxnSubmitter) {
	if len(t.unsaved) == 0 {
		return
	}
	for _, job := range slices.SortedFunc(maps.Keys(t.unsaved), byReadiness) {
		if t.queueCompletion(job, now, term, submitter) {
			continue // once the terminal record is written, the run records need no more writes
		}
		if !t.flushSegments(job, now, term, submitter) {
			delete(t.unsaved, job)
		}
	}
}

// flushSegments queues the writes of a job's unsaved segments whose nextWrite time has
// passed. It reports whether any segment is still unsaved.
func (t *Table) flushSegments(job *Job, now event.Time, term kv.Compare, submitter TxnSubmitter) (unsaved bool) {
	slices.Sort(job.unsavedSegments)
	job.unsavedSegments = slices.DeleteFunc(job.unsavedSegments, func(index int) bool {
		segment := &job.segments[index]
		segment.listedAsUnsaved = segment.unsaved
		return !segment.unsaved
	})
	for _, index := range job.unsavedSegments {
		if now >= job.segments[index].nextWrite {
			t.queueSegmentWrite(job, index, now, term, submitter)
		}
	}
	return len(job.unsavedSegments) > 0
}

// segmentWrite is a write of a segment that is queued or in flight. It refers to the
// segment by index, since the list of segments may be reallocated meanwhile.
type segmentWrite struct {
	table             *Table
	job               *Job
	index             int
	term              kv.Compare
	placementPriority bool // queued with kv.PriorityPlacement
	builtChangeCount  int  // changeCount of the segment when the write was built
}

// queueSegmentWrite queues a write of a segment. The content is built when the write is
// sent, so one write carries the changes of any number of tasks until then. A write with
// kv.PriorityPlacement may overtake one with kv.PriorityProgress.
func (t *Table) queueSegmentWrite(job *Job, index int, now event.Time, term kv.Compare, submitter TxnSubmitter) {
	segment := &job.segments[index]
	if segment.placementQueued || (segment.progressQueued && !segment.unsentPlacement) {
		return // the queued write will carry all changes made until it is built
	}
	w := &segmentWrite{table: t, job: job, index: index, term: term, placementPriority: segment.unsentPlacement}
	w.setQueued(true)
	priority := kv.PriorityProgress
	if w.placementPriority {
		priority = kv.PriorityPlacement
	}
	submitter.Submit(&kv.Txn{
		Priority: priority,
		Rank:     job.writeRank(),
		BuildKey: record.RunKey(job.ID, index),
		Build:    w.build,
		Done:     w.handleResult,
	}, now+writeTimeout)
}

func (w *segmentWrite) segment() *segment { return &w.job.segments[w.index] }

func (w *segmentWrite) setQueued(queued bool) {
	if w.placementPriority {
		w.segment().placementQueued = queued
	} else {
		w.segment().progressQueued = queued
	}
}

// build fills in the write from the current state. It returns false if there is nothing
// to write.
func (w *segmentWrite) build(txn *kv.Txn) bool {
	segment := w.segment()
	if !segment.unsaved || w.job.terminalWriteInFlight {
		return false
	}
	w.builtChangeCount = segment.changeCount
	return w.table.buildSegmentWrite(txn, w.job, w.index, w.term)
}

// handleResult handles the result of the write.
func (w *segmentWrite) handleResult(result kv.Result) {
	w.setQueued(false)
	switch {
	case result.Outcome == kv.Committed:
		w.succeeded(result)
	case w.segment().unsaved:
		w.failed(result)
	}
}

func (w *segmentWrite) succeeded(result kv.Result) {
	segment := w.segment()
	w.table.removeOmitted(segment)
	segment.rejectedWrites = 0
	switch {
	case segment.changeCount != w.builtChangeCount:
		// Changes since the write was built still have to be written.
	case segment.deferredPlacements > 0:
		segment.unsentPlacement = true
		segment.nextWrite = result.Now + deferredPlacementWait
	default:
		segment.unsaved = false
	}
}

// removeOmitted removes assignments that were part of a write with an unknown outcome and
// have been cleared since. The write that just succeeded was based on a record without
// them, so the earlier write can no longer be committed.
func (t *Table) removeOmitted(segment *segment) {
	for task, assignment := range segment.assignments {
		if assignment.omitted && !assignment.persisted {
			delete(segment.assignments, task)
			t.removeAssignment(assignment)
			t.RequestRound()
		}
	}
}

// failed schedules a retry of the write. If the failed write was committed without a
// response, the retry conflicts until the watch cache shows that write, and is then based
// on it.
func (w *segmentWrite) failed(result kv.Result) {
	segment := w.segment()
	segment.nextWrite = result.Now + retryAfter(result, &segment.rejectedWrites)
	if segment.deferredPlacements > 0 {
		segment.nextWrite = max(segment.nextWrite, result.Now+deferredPlacementWait)
	}
	w.table.unsaved[w.job] = true
	for _, assignment := range segment.assignments {
		segment.unsentPlacement = segment.unsentPlacement || (assignment.pending == NoPendingWrite && !assignment.persisted)
	}
}

// segmentContent is the content of a segment's record after all pending writes.
type segmentContent struct {
	done        []uint64      // bitmap of the segment's completed tasks
	active      []*Assignment // persisted assignments that remain
	placements  []*Assignment // assignments that are not persisted yet
	hasProgress bool          // an assignment is removed or a task is done
}

// content returns the content to write for a segment, and marks the cleared assignments as
// omitted.
func (t *Table) content(job *Job, index int) segmentContent {
	segment := &job.segments[index]
	content := segmentContent{done: slices.Clone(segment.done)}
	for _, assignment := range segment.assignments {
		switch assignment.pending {
		case NoPendingWrite:
			if assignment.persisted {
				content.active = append(content.active, assignment)
			} else {
				content.placements = append(content.placements, assignment)
			}
		case PendingDone:
			content.hasProgress = true
			setDone(content.done, assignment.Task%t.segmentLen)
		case PendingClear:
			content.hasProgress = true
			assignment.omitted = true
		}
	}
	for task := range segment.doneUnassigned {
		content.hasProgress = true
		setDone(content.done, task%t.segmentLen)
	}
	return content
}

// buildSegmentWrite fills in the write of a segment from the current state. The write
// requires that the record is at the revision in the watch cache, and for an unfinished
// job that there is no terminal record, so that no placement is written after the job has
// ended. It returns false if there is nothing to write.
func (t *Table) buildSegmentWrite(txn *kv.Txn, job *Job, index int, term kv.Compare) bool {
	segment := &job.segments[index]
	key := record.RunKey(job.ID, index)
	segment.unsentPlacement = false
	content := t.content(job, index)
	txn.Compares = []kv.Compare{term, {Key: key, ModRevision: segment.modRevision}}
	if job.TerminalPhase == Queued {
		txn.Compares = append(txn.Compares, kv.Compare{Key: record.TerminalKey(job.ID)})
	} else if len(content.active)+len(content.placements) == 0 {
		return segment.buildDeletion(txn, key)
	}
	data, included := t.encodeWithinLimit(job, segment, content)
	segment.deferredPlacements = len(content.placements) - len(included)
	if segment.deferredPlacements > 0 && len(included) == 0 && !content.hasProgress {
		return false // none of the placements fits, and nothing else has changed
	}
	for _, assignment := range included {
		assignment.mayBePersisted = true
	}
	txn.Writes = []kv.Write{{Key: key, Data: data}}
	return true
}

// buildDeletion fills in the deletion of a segment's record that is no longer needed. It
// returns false if there is no record.
func (s *segment) buildDeletion(txn *kv.Txn, key string) bool {
	s.deferredPlacements = 0
	if s.modRevision == 0 {
		s.unsaved = false
		return false
	}
	txn.Writes = []kv.Write{{Key: key}}
	return true
}
