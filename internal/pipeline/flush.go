package pipeline

import (
	"sort"
	"time"

	"lugward/internal/store"
)

const (
	writeTimeout = 20 * time.Second // a pending write waits this long for the write rate
	retryWait    = int64(200 * time.Millisecond)
	deferredWait = int64(time.Second) // until placements that had no capacity are tried again
)

// Submitter queues intents; *store.Client is one.
type Submitter interface {
	Submit(in *store.Intent, expires time.Duration)
}

// Flush turns pending writes into intents. term is the condition that our term holds.
func (t *Table) Flush(now time.Duration, term store.Condition, s Submitter) {
	if len(t.dirty) == 0 {
		return
	}
	list := make([]*Job, 0, len(t.dirty))
	for j := range t.dirty {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return before(list[a], list[b]) })
	for _, j := range list {
		if t.finish(j, now, term, s) {
			continue
		}
		left := false
		for c := range j.Chunk {
			ch := &j.Chunk[c]
			if !ch.dirty {
				continue
			}
			left = true
			if int64(now) >= ch.retryAt {
				t.write(j, c, now, term, s)
			}
		}
		if !left {
			delete(t.dirty, j)
		}
	}
}

// writeRank orders the writes of jobs among those of one priority: those of the
// lowest priority go last, since a swarm of them may take all of the write rate.
func (j *Job) writeRank() int {
	return int(min(j.EffectivePriority, Normal))
}

// write queues the write of a chunk. What it holds is decided when its turn
// comes: a busy job's tasks share one write however many change meanwhile.
func (t *Table) write(j *Job, c int, now time.Duration, term store.Condition, s Submitter) {
	if j.Chunk[c].queued[1] {
		return // it will carry whatever has changed by then
	}
	kind, priority := 0, store.Progress
	if j.Chunk[c].placing {
		kind, priority = 1, store.Place
	}
	if j.Chunk[c].queued[kind] {
		return
	}
	j.Chunk[c].queued[kind] = true
	built := 0
	in := &store.Intent{Priority: priority, Rank: j.writeRank(), Key: runKey(j.ID, c)}
	in.Build = func(in *store.Intent) bool {
		ch := &j.Chunk[c]
		if !ch.dirty || j.finishing {
			return false
		}
		built = ch.changeCount
		return t.build(in, j, c, term)
	}
	in.Done = func(r store.Result) {
		ch := &j.Chunk[c]
		ch.queued[kind] = false
		switch {
		case r.Outcome == store.OK:
			// An entry that may have been in a write whose outcome never came
			// is gone now: that write built on an older version.
			for task, e := range ch.Entries {
				if e.dropped && !e.Durable {
					delete(ch.Entries, task)
					t.remove(e)
					t.Changed = true
				}
			}
			ch.rejectedWrites = 0
			switch {
			case ch.changeCount != built:
			case ch.deferredPlacements > 0:
				ch.placing, ch.retryAt = true, int64(r.Now)+deferredWait
			default:
				ch.dirty = false
			}
		case ch.dirty:
			// The pending write stands. If the write was carried out unseen, its
			// retry conflicts until the replica shows it, then builds on it.
			ch.retryAt = int64(r.Now) + retryAfter(r, &ch.rejectedWrites)
			if ch.deferredPlacements > 0 {
				ch.retryAt = max(ch.retryAt, int64(r.Now)+deferredWait)
			}
			t.dirty[j] = true
			for _, e := range ch.Entries {
				ch.placing = ch.placing || (e.Pending == NoPendingWrite && !e.Durable)
			}
		}
	}
	s.Submit(in, now+writeTimeout)
}

// build fills in a write of a chunk as things stand.
func (t *Table) build(in *store.Intent, j *Job, c int, term store.Condition) bool {
	ch := &j.Chunk[c]
	done := append([]uint64(nil), ch.Done...)
	var active, fresh []*Entry
	ch.placing = false
	changed := false
	for _, e := range ch.Entries {
		changed = changed || e.Pending != NoPendingWrite
		switch e.Pending {
		case NoPendingWrite:
			if e.Durable {
				active = append(active, e)
			} else {
				fresh = append(fresh, e)
			}
		case PendingDone:
			done[e.Task%t.chunkLen/64] |= 1 << (e.Task % t.chunkLen % 64)
		case PendingClear:
			e.dropped = true
		}
	}
	for task := range j.doneUnlogged {
		if task/t.chunkLen == c {
			changed = true
			done[task%t.chunkLen/64] |= 1 << (task % t.chunkLen % 64)
		}
	}
	in.Conditions = []store.Condition{term, {Key: runKey(j.ID, c), Version: ch.Version}}
	if j.Final == Queued {
		in.Conditions = append(in.Conditions, store.Condition{Key: FinalKeyOf(j.ID)})
	}
	if j.Final != Queued && len(active)+len(fresh) == 0 {
		ch.deferredPlacements = 0
		if ch.Version == 0 {
			ch.dirty = false
			return false
		}
		in.Writes = []store.Write{{Key: runKey(j.ID, c)}}
	} else {
		data, taken := t.fit(j, ch, done, active, fresh)
		if ch.deferredPlacements = len(fresh) - len(taken); ch.deferredPlacements > 0 && len(taken) == 0 && !changed {
			return false // what is stored says it all
		}
		for _, e := range taken {
			e.sent = true
		}
		in.Writes = []store.Write{{Key: runKey(j.ID, c), Data: data}}
	}
	return true
}
