package pipeline

import (
	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

// RecordCompletion records that a task has completed, whichever attempt it was.
func (t *Table) RecordCompletion(job *Job, task int) {
	if task < 0 || task >= job.TaskCount || job.IsDone(task) || job.TerminalPhase != Queued {
		return
	}
	segment := t.segment(job, task/t.segmentLen)
	if assignment := segment.assignments[task]; assignment != nil {
		if assignment.pending != PendingDone {
			assignment.pending = PendingDone
			job.pendingDoneCount++
			t.NoteMachineChanged(assignment.Machine)
			t.noteSegmentChanged(job, segment)
		}
		return
	}
	if job.doneUnassigned[task] {
		return
	}
	if job.doneUnassigned == nil {
		job.doneUnassigned = map[int]bool{}
	}
	job.doneUnassigned[task] = true
	t.noteSegmentChanged(job, segment)
}

// complete reports whether every task is done, counting what is not stored yet.
func (j *Job) complete() bool {
	if j.Shape == Daemon || j.TerminalPhase != Queued || j.ModRevision == 0 {
		return false
	}
	return j.doneCount+len(j.doneUnassigned)+j.pendingDoneCount >= j.TaskCount
}

// queueCompletion queues the terminal record of a complete job. It is all that users and
// dependent jobs wait for: the job's other records are deleted by CollectGarbage, after
// everything else. It reports whether the terminal record is due or in flight.
func (t *Table) queueCompletion(job *Job, now event.Time, term kv.Compare, submitter TxnSubmitter) bool {
	if job.terminalWriteInFlight {
		return true
	}
	if !job.complete() {
		return false
	}
	for index := range job.segments {
		if now < job.segments[index].nextWrite {
			return true // the watch cache does not show what was written last
		}
	}
	job.terminalWriteInFlight = true
	submitter.Submit(&kv.Txn{
		Priority: kv.PriorityProgress,
		Rank:     job.writeRank(),
		BuildKey: record.TerminalKey(job.ID),
		Build:    func(txn *kv.Txn) bool { return job.buildTerminalWrite(txn, term) },
		Done:     job.terminalWritten,
	}, now+writeTimeout)
	return true
}

// buildTerminalWrite fills in the terminal record. It requires the job's record as the watch cache
// shows it and no terminal record, so it loses against a cancellation that came first.
func (j *Job) buildTerminalWrite(txn *kv.Txn, term kv.Compare) bool {
	if !j.complete() {
		return false
	}
	txn.Compares = []kv.Compare{term, {Key: record.JobKey(j.ID), ModRevision: j.ModRevision}, {Key: record.TerminalKey(j.ID)}}
	txn.Writes = []kv.Write{{Key: record.TerminalKey(j.ID), Data: EncodeTerminal(Done, j)}}
	return true
}

// terminalWritten takes the outcome of writing the terminal record.
func (j *Job) terminalWritten(result kv.Result) {
	j.terminalWriteInFlight = false
	if result.Outcome == kv.Committed {
		return
	}
	j.delayRecordWrite(result)
	for index := range j.segments {
		j.segments[index].nextWrite = j.nextRecordWrite
	}
}

// dropCompleted frees what the completed tasks of a job took once its terminal record
// is stored: their machines have reported their end (of a gang one does, as all of it
// ends together), and the record keeps them from being started again. What is left
// may still be on a machine and stays until it is proven to have terminated.
func (t *Table) dropCompleted(job *Job) {
	for index := range job.segments {
		segment := &job.segments[index]
		for task, assignment := range segment.assignments {
			if assignment.pending == PendingDone && (assignment.phase == TaskExited || job.Shape == Gang) {
				delete(segment.assignments, task)
				t.removeAssignment(assignment)
			}
		}
	}
	if job.activeCount > 0 {
		return
	}
	for index := range job.segments {
		job.segments[index].unsaved = false // CollectGarbage deletes the record
	}
	delete(t.unsaved, job)
	delete(t.endedWithTasks, job)
}
