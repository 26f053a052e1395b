package pipeline

import (
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// TerminalRecord is a job's final mark.
type TerminalRecord struct {
	Phase     Phase // Done or Cancelled
	TaskCount int   // number of tasks
	Daemon    bool  // false also if an earlier version wrote the mark
}

// onTerminal takes a final mark of the replica. It reports whether the mark is new: it
// never changes, and may be shown twice.
func (t *Table) onTerminal(id string, data []byte) (isNew bool, err error) {
	if data == nil || t.Terminal.Has(id) {
		return false, nil
	}
	stored, err := record.DecodeTerminal(data)
	if err != nil {
		return false, err
	}
	f := TerminalRecord{Phase: Done, TaskCount: stored.TaskCount, Daemon: stored.Daemon}
	if stored.Cancelled {
		f.Phase = Cancelled
	}
	t.Terminal.add(id, f)
	t.propagateFinal(id, f.Phase)
	if j := t.byID[id]; j != nil {
		t.finalize(j, f.Phase)
	}
	return true, nil
}

// finalize takes over a final mark in the job's own state.
func (t *Table) finalize(j *Job, phase Phase) {
	j.TerminalPhase = phase
	t.unlink(j)
	t.unmarkUpstreamCancelled(j)
	if j.active > 0 {
		t.terminated[j] = true
		for e := range j.Assignments() {
			t.NoteMachineChanged(e.Machine)
		}
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
	for index := range j.segments {
		for task, e := range j.segments[index].assignments {
			if !e.durable {
				delete(j.segments[index].assignments, task)
				t.removeAssignment(e)
			}
		}
	}
}

// TakeTerminatedJobs returns, once each, the jobs that are over while tasks of theirs
// may be on machines.
func (t *Table) TakeTerminatedJobs() []*Job {
	list := make([]*Job, 0, len(t.terminated))
	for j := range t.terminated {
		list = append(list, j)
	}
	clear(t.terminated)
	return list
}

// complete reports whether every task is done, counting what is not stored yet.
func (j *Job) complete() bool {
	if j.Shape == Daemon || j.TerminalPhase != Queued || j.ModRevision == 0 {
		return false
	}
	return j.done+len(j.doneUnassigned)+j.pendingDone >= j.TaskCount
}

// finish queues the done mark of a complete job. The mark is all that users and
// the jobs that need it wait for: the job's records are dropped by Clean, after
// everything else. It reports whether the mark is due or under way.
func (t *Table) finish(j *Job, now time.Duration, term kv.Compare, s TxnSubmitter) bool {
	if j.terminalWriteInFlight {
		return true
	}
	if !j.complete() {
		return false
	}
	for index := range j.segments {
		if now < j.segments[index].retryAt {
			return true // the replica does not show what was written last
		}
	}
	j.terminalWriteInFlight = true
	s.Submit(&kv.Txn{
		Priority: kv.PriorityProgress,
		Rank:     j.writeRank(),
		BuildKey: record.TerminalKey(j.ID),
		Build:    func(in *kv.Txn) bool { return j.buildTerminalWrite(in, term) },
		Done:     j.terminalWritten,
	}, now+writeTimeout)
	return true
}

// buildTerminalWrite fills in the done mark. It requires the job's record as the replica
// shows it and no final mark, so it loses against a cancellation that came first.
func (j *Job) buildTerminalWrite(in *kv.Txn, term kv.Compare) bool {
	if !j.complete() {
		return false
	}
	in.Compares = []kv.Compare{term, {Key: record.JobKey(j.ID), ModRevision: j.ModRevision}, {Key: record.TerminalKey(j.ID)}}
	in.Writes = []kv.Write{{Key: record.TerminalKey(j.ID), Data: EncodeTerminal(Done, j)}}
	return true
}

// terminalWritten takes the outcome of writing the done mark.
func (j *Job) terminalWritten(r kv.Result) {
	j.terminalWriteInFlight = false
	if r.Outcome == kv.Committed {
		return
	}
	j.backOff(r)
	for index := range j.segments {
		j.segments[index].retryAt = j.retryAt
	}
}

// dropCompleted frees what the completed tasks of a job took once its mark is
// stored: their machines have reported their end (of a gang one does, as all of it
// ends together), and the mark keeps them from being started again. What is left
// may still be on a machine and stays until it is proven to have terminated.
func (t *Table) dropCompleted(j *Job) {
	for index := range j.segments {
		chunk := &j.segments[index]
		for task, e := range chunk.assignments {
			if e.pending == PendingDone && (e.phase == TaskExited || j.Shape == Gang) {
				delete(chunk.assignments, task)
				t.removeAssignment(e)
			}
		}
	}
	if j.active > 0 {
		return
	}
	for index := range j.segments {
		j.segments[index].dirty = false // Clean drops the record
	}
	delete(t.dirty, j)
	delete(t.terminated, j)
}
