package pipeline

import (
	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

// RecordCompletion records that a task has completed in any of its attempts.
func (t *Table) RecordCompletion(job *Job, task int) {
	if task < 0 || task >= job.TaskCount || job.IsDone(task) || job.TerminalPhase != Queued {
		return
	}
	segment := t.segment(job, task/t.segmentLen)
	if assignment := segment.assignments[task]; assignment != nil {
		if assignment.pending != PendingDone {
			assignment.pending = PendingDone
			job.pendingDoneCount++
			t.MarkMachineChanged(assignment.Machine)
			t.markSegmentUnsaved(job, segment)
		}
		return
	}
	if segment.doneUnassigned[task] {
		return
	}
	if segment.doneUnassigned == nil {
		segment.doneUnassigned = map[int]bool{}
	}
	segment.doneUnassigned[task] = true
	job.doneUnassignedCount++
	t.markSegmentUnsaved(job, segment)
}

// complete reports whether all tasks are done, including completions that are not
// persisted yet.
func (j *Job) complete() bool {
	if j.Shape == Daemon || j.TerminalPhase != Queued || j.ModRevision == 0 {
		return false
	}
	return j.AllTasksCompleted()
}

// AllTasksCompleted reports whether the completion of every task has been recorded, whether
// it is persisted or not.
func (j *Job) AllTasksCompleted() bool {
	return j.doneCount+j.doneUnassignedCount+j.pendingDoneCount >= j.TaskCount
}

// queueCompletion queues the write of the terminal record of a complete job. Users and
// dependent jobs wait only for this record. CollectGarbage deletes the other records of the
// job later, at the lowest priority. queueCompletion reports whether the terminal record
// must be written or its write is in flight.
func (t *Table) queueCompletion(job *Job, now event.Time, term kv.Compare, submitter TxnSubmitter) bool {
	if job.terminalWriteInFlight {
		return true
	}
	if !job.complete() {
		return false
	}
	for index := range job.segments {
		if now < job.segments[index].nextWrite {
			return true // the watch cache may not show the last write yet
		}
	}
	job.terminalWriteInFlight = true
	submitter.Submit(&kv.Txn{
		Priority: kv.PriorityProgress,
		Rank:     job.writeRank(),
		BuildKey: record.TerminalKey(job.ID),
		Build:    func(txn *kv.Txn) bool { return job.buildTerminalWrite(txn, term) },
		Done:     job.handleTerminalResult,
	}, now+writeTimeout)
	return true
}

// buildTerminalWrite fills in the write of the terminal record. The write requires that
// the job record is at the revision in the watch cache and that there is no terminal record,
// so it fails if the job has been cancelled before.
func (j *Job) buildTerminalWrite(txn *kv.Txn, term kv.Compare) bool {
	if !j.complete() {
		return false
	}
	txn.Compares = []kv.Compare{term, {Key: record.JobKey(j.ID), ModRevision: j.ModRevision}, {Key: record.TerminalKey(j.ID)}}
	txn.Writes = []kv.Write{{Key: record.TerminalKey(j.ID), Data: EncodeTerminal(Done, j)}}
	return true
}

// handleTerminalResult handles the result of writing the terminal record.
func (j *Job) handleTerminalResult(result kv.Result) {
	j.terminalWriteInFlight = false
	if result.Outcome == kv.Committed {
		return
	}
	j.delayRecordWrite(result)
	for index := range j.segments {
		j.segments[index].nextWrite = j.nextRecordWrite
	}
}

// removeCompletedAssignments removes the assignments of the completed tasks of a job once
// its terminal record is persisted, which frees their resources. The machines have reported
// that these tasks exited; for a gang one report is enough, since all of its tasks end
// together. The terminal record keeps the tasks from being started again. The other
// assignments remain until the tasks are proven to have terminated, as they may still be on
// a machine.
func (t *Table) removeCompletedAssignments(job *Job) {
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
