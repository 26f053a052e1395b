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
	for index := range job.segments {
		if job.segments[index].modRevision != 0 && len(txn.Writes) < t.config.TxnOps-1 { // one write is reserved for the job record
			remove(record.RunKey(job.ID, index), job.segments[index].modRevision)
		}
	}
	if job.ModRevision != 0 {
		remove(record.JobKey(job.ID), job.ModRevision)
	}
	return txn
}
