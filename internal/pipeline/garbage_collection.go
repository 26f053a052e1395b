package pipeline

import (
	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

// CollectGarbage deletes the records that finished jobs leave behind, once no task of
// theirs can be on a machine; of at most limit jobs at a time.
func (t *Table) CollectGarbage(now event.Time, term kv.Compare, submitter TxnSubmitter, limit int) {
	t.deleteOrphanedRetries(now, term, submitter, limit)
	for job := range t.AllJobs() {
		if limit == 0 {
			return
		}
		if !job.deletable(now) {
			continue
		}
		txn := t.recordDeletion(job, term)
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

// deletable reports whether the records of a job may be deleted now.
func (j *Job) deletable(now event.Time) bool {
	return j.TerminalPhase != Queued && !j.deletionInFlight && j.activeCount == 0 && now >= j.nextRecordWrite
}

// recordDeletion returns the deletion of a job's records, each on condition of the
// revision that the watch cache shows. Segments beyond the limit on writes follow later.
func (t *Table) recordDeletion(job *Job, term kv.Compare) *kv.Txn {
	txn := &kv.Txn{Priority: kv.PriorityGarbageCollection, Compares: []kv.Compare{term}}
	remove := func(key string, modRevision uint64) {
		txn.Compares = append(txn.Compares, kv.Compare{Key: key, ModRevision: modRevision})
		txn.Writes = append(txn.Writes, kv.Write{Key: key})
	}
	for index := range job.segments {
		if job.segments[index].modRevision != 0 && len(txn.Writes) < t.config.TxnOps-1 { // one is for the job's record
			remove(record.RunKey(job.ID, index), job.segments[index].modRevision)
		}
	}
	if job.ModRevision != 0 {
		remove(record.JobKey(job.ID), job.ModRevision)
	}
	return txn
}
