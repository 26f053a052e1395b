package pipeline

import (
	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

// CollectGarbage queues the deletion of the records of finished jobs that have no task on
// any machine. It deletes the records of at most limit jobs and at most limit orphaned retry
// records per call.
func (t *Table) CollectGarbage(now event.Time, term kv.Compare, submitter TxnSubmitter, limit int) {
	t.deleteOrphanedRetries(now, term, submitter, limit)
	for job := range t.AllJobs() {
		if limit == 0 {
			return
		}
		if !job.deletable(now) {
			continue
		}
		txn := t.deletionTxn(job, term)
		if len(txn.Writes) == 0 {
			continue
		}
		job.deletionInFlight = true
		txn.Done = func(result kv.Result) {
			job.deletionInFlight = false
			job.delayRecordWrite(result)
		}
		submitter.Submit(txn, now+writeTimeout)
		limit--
	}
}

// deletable reports whether the job's records may be deleted now.
func (j *Job) deletable(now event.Time) bool {
	return j.TerminalPhase != Queued && !j.deletionInFlight && j.activeCount == 0 && now >= j.nextRecordWrite
}

// deletionTxn returns the transaction that deletes a job's records, provided that each is
// at the revision in the watch cache. Segments beyond the limit on writes per transaction
// are deleted later.
func (t *Table) deletionTxn(job *Job, term kv.Compare) *kv.Txn {
	txn := &kv.Txn{Priority: kv.PriorityGarbageCollection, Compares: []kv.Compare{term}}
	remove := func(key string, modRevision uint64) {
		txn.Compares = append(txn.Compares, kv.Compare{Key: key, ModRevision: modRevision})
		txn.Writes = append(txn.Writes, kv.Write{Key: key})
	}
	for index := job.firstPersistedSegment(); index < len(job.segments) && len(txn.Writes) < t.config.TxnOps-1; index++ { // one write is reserved for the job record
		if revision := job.segments[index].modRevision; revision != 0 {
			remove(record.RunKey(job.ID, index), revision)
		}
	}
	if job.ModRevision != 0 {
		remove(record.JobKey(job.ID), job.ModRevision)
	}
	return txn
}

// firstPersistedSegment returns the index of the first segment with a persisted record, or
// the number of segments if there is none. It remembers the segments that it has skipped.
func (j *Job) firstPersistedSegment() int {
	for j.firstPersisted < len(j.segments) && j.segments[j.firstPersisted].modRevision == 0 {
		j.firstPersisted++
	}
	return j.firstPersisted
}
