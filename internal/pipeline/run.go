package pipeline

// chunk returns the job's chunk c, growing the list.
func (t *Table) chunk(j *Job, c int) *Chunk {
	for len(j.Chunk) <= c {
		j.Chunk = append(j.Chunk, Chunk{Done: make([]uint64, (t.chunkLen+63)/64), Entries: map[int]*Entry{}})
	}
	return &j.Chunk[c]
}

// onRun replaces what the table knows of a chunk by what is stored: this is
// the only place where an entry becomes durable or goes away for good.
func (t *Table) onRun(id string, c int, data []byte, version uint64) {
	if data == nil && t.byID[id] == nil {
		return
	}
	if c > 1<<20/t.chunkLen {
		return
	}
	j := t.get(id)
	ch := t.chunk(j, c)
	var attempt uint64
	var done []uint64
	var active []runEntry
	if data != nil {
		var ok bool
		if attempt, done, active, ch.compacted, ok = decodeRun(data, len(ch.Done)); !ok {
			return
		}
		ch.Attempt = max(ch.Attempt, attempt)
		for i := range done {
			ch.Done[i] |= done[i] // a done task stays done
		}
	}
	ch.Version = version
	if data == nil {
		ch.Version = 0
	}
	stored := map[int]*Entry{}
	for _, a := range active {
		machine := t.Names.Machines.Index(a.machine)
		e := ch.Entries[a.task]
		if e == nil || e.Machine != machine || e.Attempt != a.attempt {
			if e != nil {
				t.remove(e)
			}
			e = &Entry{Job: j, Task: a.task, Machine: machine, Attempt: a.attempt}
			ch.Entries[a.task] = e
			t.add(e)
		}
		if !e.Durable {
			t.MarkMachineChanged(machine)
		}
		e.Durable, e.sent = true, true
		stored[a.task] = e
	}
	for task, e := range ch.Entries {
		if stored[task] == nil && (e.Durable || j.Final != Queued || j.IsDone(task)) {
			delete(ch.Entries, task)
			t.remove(e)
		}
	}
	n := 0
	for i := range j.Chunk {
		for _, w := range j.Chunk[i].Done {
			for ; w != 0; w &= w - 1 {
				n++
			}
		}
	}
	j.done = n
	for task := range j.doneUnlogged {
		if j.IsDone(task) {
			delete(j.doneUnlogged, task)
		}
	}
	if j.complete() {
		t.dirty[j] = true // an unknown write turned out well
	}
	if data == nil {
		t.forget(j)
	}
}
