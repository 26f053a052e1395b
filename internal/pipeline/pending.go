package pipeline

// Place records the pending write to start a task on a machine. The start may be sent
// once the entry is durable.
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
			j.marked++
			t.MarkMachineChanged(e.Machine)
			t.markDirty(j, ch)
		}
		return
	}
	if !j.doneUnlogged[task] {
		if j.doneUnlogged == nil {
			j.doneUnlogged = map[int]bool{}
		}
		j.doneUnlogged[task] = true
		t.markDirty(j, ch)
	}
}

// Reset drops everything that only a leader knows.
func (t *Table) Reset() {
	for _, j := range t.Jobs {
		if j == nil {
			continue
		}
		t.resetRetry(j)
		j.WithinGuarantee, j.ReservedZone = false, 0
		j.Stopping, j.doneUnlogged, j.cleaning, j.finishing = false, nil, false, false
		for i := range j.Chunk {
			ch := &j.Chunk[i]
			ch.dirty, ch.placing, ch.retryAt = false, false, 0
			for task, e := range ch.Entries {
				if !e.Durable {
					delete(ch.Entries, task)
					t.remove(e)
					continue
				}
				t.MarkMachineChanged(e.Machine)
				e.Pending, e.Phase, e.Evict, e.StartedAt, e.PlacedAt, e.OrderedSequence, e.MissedReports = NoPendingWrite, Unseen, false, 0, 0, 0, 0
			}
		}
		j.marked = 0
	}
	clear(t.dirty)
	clear(t.dirtyRetries)
	clear(t.cleaningRetries)
	clear(t.ended)
	for _, j := range t.Jobs {
		// All tasks are logged as done and the leader that logged it is gone:
		// nothing else would ever mark the job.
		if j != nil && j.complete() {
			t.dirty[j] = true
		}
		if j != nil && j.Final != Queued && j.active > 0 {
			t.ended[j] = true
		}
	}
	t.Changed = true
}
