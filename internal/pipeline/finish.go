package pipeline

import (
	"encoding/json"
	"time"

	"lugward/internal/store"
)

// Final is a job's final mark.
type Final struct {
	Phase  Phase
	N      int
	Daemon bool // as far as the mark tells
}

func (t *Table) onFinal(id string, data []byte) {
	if data == nil {
		return // never dropped
	}
	var r finalRecord
	if json.Unmarshal(data, &r) != nil {
		return
	}
	f := Final{Phase: Done, N: r.N, Daemon: r.Daemon}
	if r.Phase == markCancelled {
		f.Phase = Cancelled
	}
	t.Finals[id] = f
	t.propagateFinal(id, f.Phase)
	if j := t.byID[id]; j != nil {
		j.Final = f.Phase
		t.unlink(j)
		t.unmarkUpstreamCancelled(j)
		if j.active > 0 {
			t.ended[j] = true
			j.Entries(func(e *Entry) { t.MarkMachineChanged(e.Machine) })
		}
		// A placement that is not stored by now never will be: its write
		// requires that there is no final mark.
		for i := range j.Chunk {
			for task, e := range j.Chunk[i].Entries {
				if !e.Durable {
					delete(j.Chunk[i].Entries, task)
					t.remove(e)
				}
			}
		}
		if f.Phase == Done {
			t.dropCompleted(j)
		}
		t.forget(j)
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

// complete tells whether every task is done, counting what is not stored yet.
func (j *Job) complete() bool {
	if j.Shape == Daemon || j.Final != Queued || j.Version == 0 {
		return false
	}
	return j.done+len(j.doneUnlogged)+j.marked >= j.TaskCount
}

// finish marks a job done. The mark is all that users and the jobs that need it
// wait for: the job's records are dropped by Clean, behind everything else.
func (t *Table) finish(j *Job, now time.Duration, term store.Condition, s Submitter) bool {
	if j.finishing {
		return true
	}
	if !j.complete() {
		return false
	}
	for c := range j.Chunk {
		if int64(now) < j.Chunk[c].retryAt {
			return true // the replica does not show what was written last
		}
	}
	j.finishing = true
	in := &store.Intent{Priority: store.Progress, Rank: j.writeRank(), Key: FinalKeyOf(j.ID)}
	in.Build = func(in *store.Intent) bool {
		if !j.complete() {
			return false
		}
		in.Conditions = []store.Condition{term, {Key: JobKeyOf(j.ID), Version: j.Version}, {Key: FinalKeyOf(j.ID)}}
		in.Writes = []store.Write{{Key: FinalKeyOf(j.ID), Data: EncodeFinal(Done, j)}}
		return true
	}
	in.Done = func(r store.Result) {
		j.finishing = false
		if r.Outcome != store.OK {
			j.backOff(r)
			for c := range j.Chunk {
				j.Chunk[c].retryAt = j.retryAt
			}
		}
	}
	s.Submit(in, now+writeTimeout)
	return true
}

// dropCompleted frees what the completed tasks of a job took once its mark is
// stored: their machines have reported their end (of a gang one does, as all of it
// ends together), and the mark keeps them from being started again. What is left may still be on a machine and waits for its proof.
func (t *Table) dropCompleted(j *Job) {
	for c := range j.Chunk {
		chunk := &j.Chunk[c]
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
	for c := range j.Chunk {
		j.Chunk[c].dirty = false // Clean drops the record
	}
	delete(t.dirty, j)
	delete(t.ended, j)
}
