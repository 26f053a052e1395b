package pipeline

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/store"
)

const (
	// writeTimeout is how long a queued write waits for the write rate before it
	// is given up and queued anew.
	writeTimeout = 20 * time.Second
	// retryWait, in ns, is the pause after a write that failed: the replica needs
	// about that long to show what the state service holds.
	retryWait = int64(200 * time.Millisecond)
	// deferredWait, in ns, is the pause until placements that did not fit in a
	// record are tried again.
	deferredWait = int64(time.Second)
)

// Submitter queues intents; *store.Client is one.
type Submitter interface {
	Submit(in *store.Intent, expires time.Duration)
}

// Flush queues a write of every run record that differs from what is stored, and
// the done mark of every job that is complete. term is the condition that our
// term holds.
func (t *Table) Flush(now time.Duration, term store.Condition, s Submitter) {
	if len(t.dirty) == 0 {
		return
	}
	for _, j := range slices.SortedFunc(maps.Keys(t.dirty), byReadiness) {
		if t.finish(j, now, term, s) {
			continue // the done mark makes further writes of its records needless
		}
		if !t.flushChunks(j, now, term, s) {
			delete(t.dirty, j)
		}
	}
}

// flushChunks queues the writes of a job's chunks that are due. It reports whether
// any chunk still differs from what is stored.
func (t *Table) flushChunks(j *Job, now time.Duration, term store.Condition, s Submitter) (dirty bool) {
	for index := range j.Chunk {
		ch := &j.Chunk[index]
		if !ch.dirty {
			continue
		}
		dirty = true
		if int64(now) >= ch.retryAt {
			t.queueChunkWrite(j, index, now, term, s)
		}
	}
	return dirty
}

// writeRank orders the writes of jobs among those of one priority: those of the
// lowest priority go last, since a swarm of them may take all of the write rate.
func (j *Job) writeRank() int {
	return int(min(j.EffectivePriority, Normal))
}

// chunkWrite is a write of a chunk that is queued or under way. It
// names the chunk by its index, as the list of chunks may grow meanwhile.
type chunkWrite struct {
	table      *Table
	job        *Job
	index      int
	term       store.Condition
	placements bool // queued with the priority of placements
	carried    int  // the chunk's changeCount when the write was built
}

// queueChunkWrite queues the write of a chunk. Its content is decided when it is
// sent, so a job's tasks share one write however many of them change meanwhile. A write with the priority of placements may overtake one without.
func (t *Table) queueChunkWrite(j *Job, index int, now time.Duration, term store.Condition, s Submitter) {
	ch := &j.Chunk[index]
	if ch.placementQueued || (ch.progressQueued && !ch.placing) {
		return // the queued write will carry whatever has changed by then
	}
	w := &chunkWrite{table: t, job: j, index: index, term: term, placements: ch.placing}
	w.setQueued(true)
	priority := store.Progress
	if w.placements {
		priority = store.Place
	}
	s.Submit(&store.Intent{
		Priority: priority,
		Rank:     j.writeRank(),
		Key:      runKey(j.ID, index),
		Build:    w.build,
		Done:     w.done,
	}, now+writeTimeout)
}

func (w *chunkWrite) chunk() *Chunk { return &w.job.Chunk[w.index] }

func (w *chunkWrite) setQueued(queued bool) {
	if w.placements {
		w.chunk().placementQueued = queued
	} else {
		w.chunk().progressQueued = queued
	}
}

// build fills in the write as things stand; false: there is nothing to write.
func (w *chunkWrite) build(in *store.Intent) bool {
	ch := w.chunk()
	if !ch.dirty || w.job.finishing {
		return false
	}
	w.carried = ch.changeCount
	return w.table.buildChunkWrite(in, w.job, w.index, w.term)
}

// done takes the outcome of the write.
func (w *chunkWrite) done(r store.Result) {
	w.setQueued(false)
	switch {
	case r.Outcome == store.OK:
		w.succeeded(r)
	case w.chunk().dirty:
		w.failed(r)
	}
}

func (w *chunkWrite) succeeded(r store.Result) {
	ch := w.chunk()
	w.table.removeDropped(ch)
	ch.rejectedWrites = 0
	switch {
	case ch.changeCount != w.carried:
		// What has changed since the write was built is still to be written.
	case ch.deferredPlacements > 0:
		ch.placing = true
		ch.retryAt = int64(r.Now) + deferredWait
	default:
		ch.dirty = false
	}
}

// removeDropped removes entries that were part of a write without an answer and
// have been cleared since: the write that just succeeded builds on a version
// without them, so that earlier write can no longer be carried out.
func (t *Table) removeDropped(ch *Chunk) {
	for task, e := range ch.Entries {
		if e.dropped && !e.Durable {
			delete(ch.Entries, task)
			t.remove(e)
			t.Changed = true
		}
	}
}

// failed keeps the pending write. If the failed one was carried out unseen, its
// retry conflicts until the replica shows it, then builds on it.
func (w *chunkWrite) failed(r store.Result) {
	ch := w.chunk()
	ch.retryAt = int64(r.Now) + retryAfter(r, &ch.rejectedWrites)
	if ch.deferredPlacements > 0 {
		ch.retryAt = max(ch.retryAt, int64(r.Now)+deferredWait)
	}
	w.table.dirty[w.job] = true
	for _, e := range ch.Entries {
		ch.placing = ch.placing || (e.Pending == NoPendingWrite && !e.Durable)
	}
}

// chunkContent is what a chunk's record is to say with all pending writes in it.
type chunkContent struct {
	done       []uint64 // bitmap of the chunk's completed tasks
	active     []*Entry // stored entries that remain
	placements []*Entry // entries that are not stored yet
	changed    bool     // an entry goes or a task is done: more than placements
}

// content gathers what a chunk's record is to say, and marks the entries that it
// leaves out.
func (t *Table) content(j *Job, index int) chunkContent {
	ch := &j.Chunk[index]
	c := chunkContent{done: slices.Clone(ch.Done)}
	for _, e := range ch.Entries {
		switch e.Pending {
		case NoPendingWrite:
			if e.Durable {
				c.active = append(c.active, e)
			} else {
				c.placements = append(c.placements, e)
			}
		case PendingDone:
			c.changed = true
			setDone(c.done, e.Task%t.chunkLen)
		case PendingClear:
			c.changed = true
			e.dropped = true
		}
	}
	for task := range j.doneUnlogged {
		if task/t.chunkLen == index {
			c.changed = true
			setDone(c.done, task%t.chunkLen)
		}
	}
	return c
}

// buildChunkWrite fills in the write of a chunk as things stand. It requires the
// stored version to be the one that the replica shows, and no placement is written
// once the job has its final mark.
func (t *Table) buildChunkWrite(in *store.Intent, j *Job, index int, term store.Condition) bool {
	ch := &j.Chunk[index]
	key := runKey(j.ID, index)
	ch.placing = false
	c := t.content(j, index)
	in.Conditions = []store.Condition{term, {Key: key, Version: ch.Version}}
	if j.Final == Queued {
		in.Conditions = append(in.Conditions, store.Condition{Key: FinalKeyOf(j.ID)})
	} else if len(c.active)+len(c.placements) == 0 {
		return ch.buildDrop(in, key)
	}
	data, taken := t.fit(j, ch, c)
	ch.deferredPlacements = len(c.placements) - len(taken)
	if ch.deferredPlacements > 0 && len(taken) == 0 && !c.changed {
		return false // the stored record has all that can be written
	}
	for _, e := range taken {
		e.sent = true
	}
	in.Writes = []store.Write{{Key: key, Data: data}}
	return true
}

// buildDrop fills in the deletion of a chunk's record, of which nothing is needed
// any more; false: none is stored.
func (ch *Chunk) buildDrop(in *store.Intent, key string) bool {
	ch.deferredPlacements = 0
	if ch.Version == 0 {
		ch.dirty = false
		return false
	}
	in.Writes = []store.Write{{Key: key}}
	return true
}
