package pipeline

import (
	"encoding/json"
	"time"

	"lugward/internal/store"
)

// Final is a job's final mark.
type Final struct {
	Phase  Phase // Done or Cancelled
	N      int   // number of tasks
	Daemon bool  // false also if an earlier version wrote the mark
}

// onFinal takes a final mark of the replica. It reports whether the mark is new: it
// never changes, and may be shown twice.
func (t *Table) onFinal(id string, data []byte) bool {
	if data == nil || t.Finals.Has(id) {
		return false
	}
	var r finalRecord
	if json.Unmarshal(data, &r) != nil {
		return false
	}
	f := Final{Phase: Done, N: r.TaskCount, Daemon: r.Daemon}
	if r.Phase == markCancelled {
		f.Phase = Cancelled
	}
	t.Finals.add(id, f)
	t.propagateFinal(id, f.Phase)
	if j := t.byID[id]; j != nil {
		t.finalize(j, f.Phase)
	}
	return true
}

// finalize takes over a final mark in the job's own state.
func (t *Table) finalize(j *Job, phase Phase) {
	j.Final = phase
	t.unlink(j)
	t.unmarkUpstreamCancelled(j)
	if j.active > 0 {
		t.ended[j] = true
		j.Entries(func(e *Entry) { t.MarkMachineChanged(e.Machine) })
	}
	t.removePlacements(j)
	if phase == Done {
		t.dropCompleted(j)
	}
	t.forget(j)
}

// removePlacements removes the placements of a job with a final mark that are not
// stored: they never will be, as their write requires that there is no such mark.
func (t *Table) removePlacements(j *Job) {
	for index := range j.Chunk {
		for task, e := range j.Chunk[index].Entries {
			if !e.Durable {
				delete(j.Chunk[index].Entries, task)
				t.remove(e)
			}
		}
	}
}

// TakeEnded returns, once each, the jobs that are over while tasks of theirs
// may be on machines.
func (t *Table) TakeEnded() []*Job {
	list := make([]*Job, 0, len(t.ended))
	for j := range t.ended {
		list = append(list, j)
	}
	clear(t.ended)
	return list
}

// complete reports whether every task is done, counting what is not stored yet.
func (j *Job) complete() bool {
	if j.Shape == Daemon || j.Final != Queued || j.Version == 0 {
		return false
	}
	return j.done+len(j.doneUnlogged)+j.pendingDone >= j.TaskCount
}

// finish queues the done mark of a complete job. The mark is all that users and
// the jobs that need it wait for: the job's records are dropped by Clean, after
// everything else. It reports whether the mark is due or under way.
func (t *Table) finish(j *Job, now time.Duration, term store.Condition, s Submitter) bool {
	if j.finishing {
		return true
	}
	if !j.complete() {
		return false
	}
	for index := range j.Chunk {
		if int64(now) < j.Chunk[index].retryAt {
			return true // the replica does not show what was written last
		}
	}
	j.finishing = true
	s.Submit(&store.Intent{
		Priority: store.Progress,
		Rank:     j.writeRank(),
		Key:      FinalKeyOf(j.ID),
		Build:    func(in *store.Intent) bool { return j.buildDoneMark(in, term) },
		Done:     j.doneMarkWritten,
	}, now+writeTimeout)
	return true
}

// buildDoneMark fills in the done mark. It requires the job's record as the replica
// shows it and no final mark, so it loses against a cancellation that came first.
func (j *Job) buildDoneMark(in *store.Intent, term store.Condition) bool {
	if !j.complete() {
		return false
	}
	in.Conditions = []store.Condition{term, {Key: JobKeyOf(j.ID), Version: j.Version}, {Key: FinalKeyOf(j.ID)}}
	in.Writes = []store.Write{{Key: FinalKeyOf(j.ID), Data: EncodeFinal(Done, j)}}
	return true
}

// doneMarkWritten takes the outcome of writing the done mark.
func (j *Job) doneMarkWritten(r store.Result) {
	j.finishing = false
	if r.Outcome == store.OK {
		return
	}
	j.backOff(r)
	for index := range j.Chunk {
		j.Chunk[index].retryAt = j.retryAt
	}
}

// dropCompleted frees what the completed tasks of a job took once its mark is
// stored: their machines have reported their end (of a gang one does, as all of it
// ends together), and the mark keeps them from being started again. What is left
// may still be on a machine and stays until it is proven to have terminated.
func (t *Table) dropCompleted(j *Job) {
	for index := range j.Chunk {
		chunk := &j.Chunk[index]
		for task, e := range chunk.Entries {
			if e.Pending == PendingDone && (e.Phase == Exited || j.Shape == Gang) {
				delete(chunk.Entries, task)
				t.remove(e)
			}
		}
	}
	if j.active > 0 {
		return
	}
	for index := range j.Chunk {
		j.Chunk[index].dirty = false // Clean drops the record
	}
	delete(t.dirty, j)
	delete(t.ended, j)
}
