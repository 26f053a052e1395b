package pipeline

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

// deferredWait is the pause until placements that did not fit in a record are tried
// again.
const deferredWait = time.Second

// Flush queues a write of every run record that differs from what is stored, and
// the terminal record of every job that is complete. term is the condition that our
// term holds.
func (t *Table) Flush(now event.Time, term kv.Compare, submitter TxnSubmitter) {
	if len(t.unsaved) == 0 {
		return
	}
	for _, job := range slices.SortedFunc(maps.Keys(t.unsaved), byReadiness) {
		if t.queueCompletion(job, now, term, submitter) {
			continue // the terminal record makes further writes of its records needless
		}
		if !t.flushSegments(job, now, term, submitter) {
			delete(t.unsaved, job)
		}
	}
}

// flushSegments queues the writes of a job's segments that are due. It reports whether
// any segment still differs from what is stored.
func (t *Table) flushSegments(job *Job, now event.Time, term kv.Compare, submitter TxnSubmitter) (unsaved bool) {
	for index := range job.segments {
		segment := &job.segments[index]
		if !segment.unsaved {
			continue
		}
		unsaved = true
		if now >= segment.nextWrite {
			t.queueSegmentWrite(job, index, now, term, submitter)
		}
	}
	return unsaved
}

// segmentWrite is a write of a segment that is queued or under way. It
// names the segment by its index, as the list of segments may grow meanwhile.
type segmentWrite struct {
	table      *Table
	job        *Job
	index      int
	term       kv.Compare
	placements bool // queued with the priority of placements
	carried    int  // the segment's changeCount when the write was built
}

// queueSegmentWrite queues the write of a segment. Its content is decided when it is
// sent, so a job's tasks share one write however many of them change meanwhile. A write
// with the priority of placements may overtake one without.
func (t *Table) queueSegmentWrite(job *Job, index int, now event.Time, term kv.Compare, submitter TxnSubmitter) {
	segment := &job.segments[index]
	if segment.placementQueued || (segment.progressQueued && !segment.unsentPlacement) {
		return // the queued write will carry whatever has changed by then
	}
	w := &segmentWrite{table: t, job: job, index: index, term: term, placements: segment.unsentPlacement}
	w.setQueued(true)
	priority := kv.PriorityProgress
	if w.placements {
		priority = kv.PriorityPlacement
	}
	submitter.Submit(&kv.Txn{
		Priority: priority,
		Rank:     job.writeRank(),
		BuildKey: record.RunKey(job.ID, index),
		Build:    w.build,
		Done:     w.done,
	}, now+writeTimeout)
}

func (w *segmentWrite) segment() *segment { return &w.job.segments[w.index] }

func (w *segmentWrite) setQueued(queued bool) {
	if w.placements {
		w.segment().placementQueued = queued
	} else {
		w.segment().progressQueued = queued
	}
}

// build fills in the write as things stand; false: there is nothing to write.
func (w *segmentWrite) build(txn *kv.Txn) bool {
	segment := w.segment()
	if !segment.unsaved || w.job.terminalWriteInFlight {
		return false
	}
	w.carried = segment.changeCount
	return w.table.buildSegmentWrite(txn, w.job, w.index, w.term)
}

// done takes the outcome of the write.
func (w *segmentWrite) done(result kv.Result) {
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
	case segment.changeCount != w.carried:
		// What has changed since the write was built is still to be written.
	case segment.deferredPlacements > 0:
		segment.unsentPlacement = true
		segment.nextWrite = result.Now + deferredWait
	default:
		segment.unsaved = false
	}
}

// removeOmitted removes assignments that were part of a write without an answer and
// have been cleared since: the write that just succeeded builds on a record
// without them, so that earlier write can no longer be carried out.
func (t *Table) removeOmitted(segment *segment) {
	for task, assignment := range segment.assignments {
		if assignment.omitted && !assignment.durable {
			delete(segment.assignments, task)
			t.removeAssignment(assignment)
			t.RequestRound()
		}
	}
}

// failed keeps the pending write. If the failed one was carried out unseen, its
// retry conflicts until the watch cache shows it, then builds on it.
func (w *segmentWrite) failed(result kv.Result) {
	segment := w.segment()
	segment.nextWrite = result.Now + retryAfter(result, &segment.rejectedWrites)
	if segment.deferredPlacements > 0 {
		segment.nextWrite = max(segment.nextWrite, result.Now+deferredWait)
	}
	w.table.unsaved[w.job] = true
	for _, assignment := range segment.assignments {
		segment.unsentPlacement = segment.unsentPlacement || (assignment.pending == NoPendingWrite && !assignment.durable)
	}
}

// segmentContent is what a segment's record is to say with all pending writes in it.
type segmentContent struct {
	done       []uint64      // bitmap of the segment's completed tasks
	active     []*Assignment // stored assignments that remain
	placements []*Assignment // assignments that are not stored yet
	changed    bool          // an assignment goes or a task is done: more than placements
}

// content gathers what a segment's record is to say, and marks the assignments that it
// leaves out.
func (t *Table) content(job *Job, index int) segmentContent {
	segment := &job.segments[index]
	content := segmentContent{done: slices.Clone(segment.done)}
	for _, assignment := range segment.assignments {
		switch assignment.pending {
		case NoPendingWrite:
			if assignment.durable {
				content.active = append(content.active, assignment)
			} else {
				content.placements = append(content.placements, assignment)
			}
		case PendingDone:
			content.changed = true
			setDone(content.done, assignment.Task%t.segmentLen)
		case PendingClear:
			content.changed = true
			assignment.omitted = true
		}
	}
	for task := range job.doneUnassigned {
		if task/t.segmentLen == index {
			content.changed = true
			setDone(content.done, task%t.segmentLen)
		}
	}
	return content
}

// buildSegmentWrite fills in the write of a segment as things stand. It requires the
// stored revision to be the one that the watch cache shows, and no placement is written
// once the job has its terminal record.
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
	data, taken := t.fit(job, segment, content)
	segment.deferredPlacements = len(content.placements) - len(taken)
	if segment.deferredPlacements > 0 && len(taken) == 0 && !content.changed {
		return false // the stored record has all that can be written
	}
	for _, assignment := range taken {
		assignment.written = true
	}
	txn.Writes = []kv.Write{{Key: key, Data: data}}
	return true
}

// buildDeletion fills in the deletion of a segment's record, of which nothing is needed
// any more; false: none is stored.
func (s *segment) buildDeletion(txn *kv.Txn, key string) bool {
	s.deferredPlacements = 0
	if s.modRevision == 0 {
		s.unsaved = false
		return false
	}
	txn.Writes = []kv.Write{{Key: key}}
	return true
}
