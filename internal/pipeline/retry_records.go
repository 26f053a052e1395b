package pipeline

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

// persistedRetry is a retry record as the watch cache shows it.
type persistedRetry struct {
	record.Retry
	modRevision uint64
}

// retryRecords holds the persisted retry records of all jobs and the state of their writes.
type retryRecords struct {
	persisted         map[string]persistedRetry // by job ID
	unsaved           map[*Job]bool             // jobs whose retry state differs from the persisted record
	deletionsInFlight map[string]bool           // by job ID: the deletion of the record is queued or in flight
}

func newRetryRecords() retryRecords {
	return retryRecords{
		persisted:         map[string]persistedRetry{},
		unsaved:           map[*Job]bool{},
		deletionsInFlight: map[string]bool{},
	}
}

// markRetryUnsaved marks a job's retry state as different from its persisted record.
func (t *Table) markRetryUnsaved(job *Job) {
	job.retry.unsaved = true
	t.retries.unsaved[job] = true
}

// handleRetry handles a change of a retry record in the watch cache.
func (t *Table) handleRetry(id string, data []byte, modRevision uint64) error {
	if data == nil {
		delete(t.retries.persisted, id)
	} else {
		retry, err := record.DecodeRetry(data)
		if err != nil {
			return err
		}
		t.retries.persisted[id] = persistedRetry{retry, modRevision}
	}
	if job := t.byID[id]; job != nil {
		t.loadRetry(job)
	}
	return nil
}

// loadRetry sets the retry state of a job from its persisted record, unless this controller
// is the leader and has a newer state. The end of the backoff is bounded by retryCap, in case
// the clock of the controller that wrote the record is ahead.
func (t *Table) loadRetry(job *Job) {
	if job.retry.unsaved {
		return
	}
	persisted := t.retries.persisted[job.ID]
	job.retry.failures = persisted.Failures
	job.retry.notBefore = 0
	if persisted.NotBefore != 0 && t.clockOffset != 0 {
		job.retry.notBefore = min(event.Time(persisted.NotBefore*int64(time.Millisecond)-t.clockOffset), t.now+retryCap)
	}
}

// resetRetry resets the leader's state of a job's failures to the persisted record.
func (t *Table) resetRetry(job *Job) {
	job.retry = retryState{}
	t.loadRetry(job)
}

// FlushRetries queues the writes of retry states that have changed. term is the condition
// that the term of this controller has not ended.
func (t *Table) FlushRetries(now event.Time, term kv.Compare, submitter TxnSubmitter) {
	if len(t.retries.unsaved) == 0 {
		return
	}
	for _, job := range slices.SortedFunc(maps.Keys(t.retries.unsaved), byReadiness) {
		if !job.retry.unsaved || job.TerminalPhase != Queued {
			delete(t.retries.unsaved, job)
			continue
		}
		if !job.retry.writeInFlight && now >= job.retry.nextWrite {
			t.writeRetry(job, now, term, submitter)
		}
	}
}

// writeRetry queues the write of a job's retry state. The content is built when the write is
// sent.
func (t *Table) writeRetry(job *Job, now event.Time, term kv.Compare, submitter TxnSubmitter) {
	job.retry.writeInFlight = true
	written := 0
	txn := &kv.Txn{Priority: kv.PriorityProgress, Rank: job.writeRank(), BuildKey: record.RetryKey(job.ID)}
	txn.Build = func(txn *kv.Txn) bool {
		persisted := t.retries.persisted[job.ID]
		if !job.retry.unsaved || job.TerminalPhase != Queued || (job.retry.failures == 0 && persisted.modRevision == 0) {
			job.retry.unsaved = false
			return false
		}
		written = job.retry.failures
		txn.Compares = []kv.Compare{
			term,
			{Key: record.JobKey(job.ID), ModRevision: job.ModRevision},
			{Key: record.TerminalKey(job.ID)},
			{Key: record.RetryKey(job.ID), ModRevision: persisted.modRevision},
		}
		txn.Writes = []kv.Write{{Key: record.RetryKey(job.ID), Data: t.encodeRetry(job)}}
		return true
	}
	txn.Done = func(result kv.Result) {
		job.retry.writeInFlight = false
		if result.Outcome == kv.Committed && job.retry.failures == written {
			job.retry.unsaved = false
		}
		job.retry.nextWrite = result.Now + retryWait
	}
	submitter.Submit(txn, now+writeTimeout)
}

// encodeRetry encodes a job's retry state. It returns nil, which deletes the record, if the
// job has no failures.
func (t *Table) encodeRetry(job *Job) []byte {
	if job.retry.failures == 0 {
		return nil
	}
	retry := record.Retry{
		Failures:  job.retry.failures,
		NotBefore: t.UnixMS(job.retry.notBefore),
		Unknown:   t.retries.persisted[job.ID].Unknown,
	}
	return retry.Encode()
}

// orphanedRetries returns the IDs of at most limit jobs that have ended and whose other
// records are deleted while their retry record remains. The deletion of the other records
// does not include it, and a leader of an earlier version does not delete it at all.
func (t *Table) orphanedRetries(limit int) []string {
	var list []string
	for id := range t.retries.persisted {
		if t.Terminal.Has(id) && t.byID[id] == nil && !t.retries.deletionsInFlight[id] {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list[:min(limit, len(list))]
}

// deleteOrphanedRetries queues the deletion of at most limit orphaned retry records.
func (t *Table) deleteOrphanedRetries(now event.Time, term kv.Compare, submitter TxnSubmitter, limit int) {
	for _, id := range t.orphanedRetries(limit) {
		key := record.RetryKey(id)
		condition := kv.Compare{Key: key, ModRevision: t.retries.persisted[id].modRevision}
		t.retries.deletionsInFlight[id] = true
		submitter.Submit(&kv.Txn{
			Priority: kv.PriorityGarbageCollection,
			Compares: []kv.Compare{term, condition},
			Writes:   []kv.Write{{Key: key}},
			Done:     func(kv.Result) { delete(t.retries.deletionsInFlight, id) },
		}, now+writeTimeout)
	}
}
