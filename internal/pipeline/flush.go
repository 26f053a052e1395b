package pipeline

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

const (
	// writeTimeout is how long a queued write waits for the write rate before it
	// is given up and queued anew.
	writeTimeout = 20 * time.Second
	// retryWait is the pause after a write that failed: the replica needs
	// about that long to show what the state service holds.
	retryWait = 200 * time.Millisecond
	// deferredWait is the pause until placements that did not fit in a
	// record are tried again.
	deferredWait = time.Second
)

// TxnSubmitter queues intents; *kv.Client is one.
type TxnSubmitter interface {
	Submit(in *kv.Txn, expires time.Duration)
}

// Flush queues a write of every run record that differs from what is stored, and
// the done mark of every job that is complete. term is the condition that our
// term holds.
func (t *Table) Flush(now time.Duration, term kv.Compare, s TxnSubmitter) {
	if len(t.dirty) == 0 {
		return
	}
	for _, j := range slices.SortedFunc(maps.Keys(t.dirty), byReadiness) {
		if t.finish(j, now, term, s) {
			continue // the done mark makes further writes of its records needless
		}
		if !t.flushSegments(j, now, term, s) {
			delete(t.dirty, j)
		}
	}
}

// flushSegments queues the writes of a job's chunks that are due. It reports whether
// any chunk still differs from what is stored.
func (t *Table) flushSegments(j *Job, now time.Duration, term kv.Compare, s TxnSubmitter) (dirty bool) {
	for index := range j.segments {
		ch := &j.segments[index]
		if !ch.dirty {
			continue
		}
		dirty = true
		if now >= ch.retryAt {
			t.queueSegmentWrite(j, index, now, term, s)
		}
	}
	return dirty
}

// writeRank orders the writes of jobs among those of one priority: those of the
// lowest priority go last, since a swarm of them may take all of the write rate.
func (j *Job) writeRank() int {
	return int(min(j.EffectivePriority, Normal))
}

// segmentWrite is a write of a chunk that is queued or under way. It
// names the chunk by its index, as the list of chunks may grow meanwhile.
type segmentWrite struct {
	table      *Table
	job        *Job
	index      int
	term       kv.Compare
	placements bool // queued with the priority of placements
	carried    int  // the chunk's changeCount when the write was built
}

// queueSegmentWrite queues the write of a chunk. Its content is decided when it is
// sent, so a job's tasks share one write however many of them change meanwhile. A write with the priority of placements may overtake one without.
func (t *Table) queueSegmentWrite(j *Job, index int, now time.Duration, term kv.Compare, s TxnSubmitter) {
	ch := &j.segments[index]
	if ch.placementQueued || (ch.progressQueued && !ch.placing) {
		return // the queued write will carry whatever has changed by then
	}
	w := &segmentWrite{table: t, job: j, index: index, term: term, placements: ch.placing}
	w.setQueued(true)
	priority := kv.PriorityProgress
	if w.placements {
		priority = kv.PriorityPlacement
	}
	s.Submit(&kv.Txn{
		Priority: priority,
		Rank:     j.writeRank(),
		BuildKey: record.RunKey(j.ID, index),
		Build:    w.build,
		Done:     w.done,
	}, now+writeTimeout)
}

func (w *segmentWrite) chunk() *segment { return &w.job.segments[w.index] }

func (w *segmentWrite) setQueued(queued bool) {
	if w.placements {
		w.chunk().placementQueued = queued
	} else {
		w.chunk().progressQueued = queued
	}
}

// build fills in the write as things stand; false: there is nothing to write.
func (w *segmentWrite) build(in *kv.Txn) bool {
	ch := w.chunk()
	if !ch.dirty || w.job.terminalWriteInFlight {
		return false
	}
	w.carried = ch.changeCount
	return w.table.buildSegmentWrite(in, w.job, w.index, w.term)
}

// done takes the outcome of the write.
func (w *segmentWrite) done(r kv.Result) {
	w.setQueued(false)
	switch {
	case r.Outcome == kv.Committed:
		w.succeeded(r)
	case w.chunk().dirty:
		w.failed(r)
	}
}

func (w *segmentWrite) succeeded(r kv.Result) {
	ch := w.chunk()
	w.table.removeDropped(ch)
	ch.rejectedWrites = 0
	switch {
	case ch.changeCount != w.carried:
		// What has changed since the write was built is still to be written.
	case ch.deferredPlacements > 0:
		ch.placing = true
		ch.retryAt = r.Now + deferredWait
	default:
		ch.dirty = false
	}
}

// removeDropped removes entries that were part of a write without an answer and
// have been cleared since: the write that just succeeded builds on a version
// without them, so that earlier write can no longer be carried out.
func (t *Table) removeDropped(ch *segment) {
	for task, e := range ch.assignments {
		if e.omitted && !e.durable {
			delete(ch.assignments, task)
			t.removeAssignment(e)
			t.RequestRound()
		}
	}
}

// failed keeps the pending write. If the failed one was carried out unseen, its
// retry conflicts until the replica shows it, then builds on it.
func (w *segmentWrite) failed(r kv.Result) {
	ch := w.chunk()
	ch.retryAt = r.Now + retryAfter(r, &ch.rejectedWrites)
	if ch.deferredPlacements > 0 {
		ch.retryAt = max(ch.retryAt, r.Now+deferredWait)
	}
	w.table.dirty[w.job] = true
	for _, e := range ch.assignments {
		ch.placing = ch.placing || (e.pending == NoPendingWrite && !e.durable)
	}
}

// segmentContent is what a chunk's record is to say with all pending writes in it.
type segmentContent struct {
	done       []uint64      // bitmap of the chunk's completed tasks
	active     []*Assignment // stored entries that remain
	placements []*Assignment // entries that are not stored yet
	changed    bool          // an entry goes or a task is done: more than placements
}

// content gathers what a chunk's record is to say, and marks the entries that it
// leaves out.
func (t *Table) content(j *Job, index int) segmentContent {
	ch := &j.segments[index]
	c := segmentContent{done: slices.Clone(ch.done)}
	for _, e := range ch.assignments {
		switch e.pending {
		case NoPendingWrite:
			if e.durable {
				c.active = append(c.active, e)
			} else {
				c.placements = append(c.placements, e)
			}
		case PendingDone:
			c.changed = true
			setDone(c.done, e.Task%t.segmentLen)
		case PendingClear:
			c.changed = true
			e.omitted = true
		}
	}
	for task := range j.doneUnassigned {
		if task/t.segmentLen == index {
			c.changed = true
			setDone(c.done, task%t.segmentLen)
		}
	}
	return c
}

// buildSegmentWrite fills in the write of a chunk as things stand. It requires the
// stored version to be the one that the replica shows, and no placement is written
// once the job has its final mark.
func (t *Table) buildSegmentWrite(in *kv.Txn, j *Job, index int, term kv.Compare) bool {
	ch := &j.segments[index]
	key := record.RunKey(j.ID, index)
	ch.placing = false
	c := t.content(j, index)
	in.Compares = []kv.Compare{term, {Key: key, ModRevision: ch.modRevision}}
	if j.TerminalPhase == Queued {
		in.Compares = append(in.Compares, kv.Compare{Key: record.TerminalKey(j.ID)})
	} else if len(c.active)+len(c.placements) == 0 {
		return ch.buildDrop(in, key)
	}
	data, taken := t.fit(j, ch, c)
	ch.deferredPlacements = len(c.placements) - len(taken)
	if ch.deferredPlacements > 0 && len(taken) == 0 && !c.changed {
		return false // the stored record has all that can be written
	}
	for _, e := range taken {
		e.written = true
	}
	in.Writes = []kv.Write{{Key: key, Data: data}}
	return true
}

// buildDrop fills in the deletion of a chunk's record, of which nothing is needed
// any more; false: none is stored.
func (ch *segment) buildDrop(in *kv.Txn, key string) bool {
	ch.deferredPlacements = 0
	if ch.modRevision == 0 {
		ch.dirty = false
		return false
	}
	in.Writes = []kv.Write{{Key: key}}
	return true
}
