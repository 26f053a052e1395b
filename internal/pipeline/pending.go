package pipeline

// Place records the pending write to start a task on a machine. The start may be sent
// once the entry is durable. Attempt 0 stands for the next one of the chunk.
func (t *Table) Place(j *Job, task, machine int, attempt uint64, now int64) *Entry {
	ch := t.chunk(j, task/t.chunkLen)
	if attempt == 0 {
		attempt = ch.Attempt + 1
	}
	ch.Attempt = max(ch.Attempt, attempt)
	e := &Entry{Job: j, Task: task, Machine: machine, Attempt: attempt, PlacedAt: now}
	ch.Entries[task] = e
	t.add(e)
	if j.AtFault() && j.Shape != Gang {
		j.retry.probe = e
	}
	ch.placing = true
	t.markDirty(j, ch)
	return e
}

// markDirty notes that a chunk differs from what is stored.
func (t *Table) markDirty(j *Job, ch *Chunk) {
	ch.dirty = true
	ch.changeCount++
	t.dirty[j] = true
}

// Clear records that an attempt is proven to have terminated.
func (t *Table) Clear(e *Entry) {
	if e.Pending == PendingDone {
		return
	}
	ch := &e.Job.Chunk[e.Task/t.chunkLen]
	if !e.sent && !e.Durable {
		// Never part of a write: nothing to undo.
		if ch.Entries[e.Task] == e {
			delete(ch.Entries, e.Task)
			t.remove(e)
			t.Changed = true
		}
		return
	}
	if e.Pending != PendingClear {
		e.Pending = PendingClear
		t.MarkMachineChanged(e.Machine)
		t.markDirty(e.Job, ch)
	}
}

// MarkDone records that a task has completed, whichever attempt it was.
func (t *Table) MarkDone(j *Job, task int) {
	if task < 0 || task >= j.TaskCount || j.IsDone(task) || j.Final != Queued {
		return
	}
	ch := t.chunk(j, task/t.chunkLen)
	if e := ch.Entries[task]; e != nil {
		if e.Pending != PendingDone {
			e.Pending = PendingDone
			j.pendingDone++
			t.MarkMachineChanged(e.Machine)
			t.markDirty(j, ch)
		}
		return
	}
	if j.doneUnlogged[task] {
		return
	}
	if j.doneUnlogged == nil {
		j.doneUnlogged = map[int]bool{}
	}
	j.doneUnlogged[task] = true
	t.markDirty(j, ch)
}

// Reset drops everything that only a leader knows.
func (t *Table) Reset() {
	for _, j := range t.Jobs {
		if j != nil {
			t.resetJob(j)
		}
	}
	clear(t.dirty)
	clear(t.dirtyRetries)
	clear(t.cleaningRetries)
	clear(t.ended)
	for _, j := range t.Jobs {
		if j == nil {
			continue
		}
		// All tasks are logged as done and the leader that logged it has lost its
		// term: nothing else would ever write the done mark.
		if j.complete() {
			t.dirty[j] = true
		}
		if j.Final != Queued && j.active > 0 {
			t.ended[j] = true
		}
	}
	t.Changed = true
}

// resetJob drops what only a leader knows of a job.
func (t *Table) resetJob(j *Job) {
	t.resetRetry(j)
	j.leaderState = leaderState{}
	j.cleaning = false
	j.finishing = false
	for index := range j.Chunk {
		ch := &j.Chunk[index]
		ch.dirty = false
		ch.placing = false
		ch.retryAt = 0
		for task, e := range ch.Entries {
			if !e.Durable {
				delete(ch.Entries, task)
				t.remove(e)
				continue
			}
			t.MarkMachineChanged(e.Machine)
			e.reset()
		}
	}
	j.pendingDone = 0
}

// reset drops what only a leader knows of an entry.
func (e *Entry) reset() {
	e.Pending = NoPendingWrite
	e.Phase = Unseen
	e.Evict = false
	e.StartedAt = 0
	e.PlacedAt = 0
	e.OrderedSequence = 0
	e.MissedReports = 0
}
