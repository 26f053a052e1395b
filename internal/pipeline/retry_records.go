package pipeline

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

// storedRetry is a retry state as the watch cache shows it.
type storedRetry struct {
	record.Retry
	modRevision uint64
}

// retryRecords is what is stored of all jobs' retry states, and their writes.
type retryRecords struct {
	stored            map[string]storedRetry // by job ID
	unsaved           map[*Job]bool          // whose retry state differs from what is stored
	deletionsInFlight map[string]bool        // by job ID, whose record's deletion is under way
}

func newRetryRecords() retryRecords {
	return retryRecords{
		stored:            map[string]storedRetry{},
		unsaved:           map[*Job]bool{},
		deletionsInFlight: map[string]bool{},
	}
}

// noteRetryChanged notes that a job's retry state differs from what is stored.
func (t *Table) noteRetryChanged(job *Job) {
	job.retry.unsaved = true
	t.retries.unsaved[job] = true
}

// onRetry takes a retry record of the watch cache.
func (t *Table) onRetry(id string, data []byte, modRevision uint64) error {
	if data == nil {
		delete(t.retries.stored, id)
	} else {
		retry, err := record.DecodeRetry(data)
		if err != nil {
			return err
		}
		t.retries.stored[id] = storedRetry{retry, modRevision}
	}
	if job := t.byID[id]; job != nil {
		t.loadRetry(job)
	}
	return nil
}

// loadRetry takes over the stored retry state of a job, unless this controller, as
// the leader, knows a newer one. Times of a clock that is ahead are bounded by the
// longest pause.
func (t *Table) loadRetry(job *Job) {
	if job.retry.unsaved {
		return
	}
	stored := t.retries.stored[job.ID]
	job.retry.failures = stored.Failures
	job.retry.notBefore = 0
	if stored.NotBefore != 0 && t.clockOffset != 0 {
		job.retry.notBefore = min(event.Time(stored.NotBefore*int64(time.Millisecond)-t.clockOffset), t.now+retryCap)
	}
}

// resetRetry drops what only a leader knows of a job's failures.
func (t *Table) resetRetry(job *Job) {
	job.retry = retryState{}
	t.loadRetry(job)
}

// FlushRetries queues the writes of retry states that have changed. term is the
// condition that our term holds.
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

// writeRetry queues the write of a job's retry state. Its content is decided
// when it is sent.
func (t *Table) writeRetry(job *Job, now event.Time, term kv.Compare, submitter TxnSubmitter) {
	job.retry.writeInFlight = true
	written := 0
	txn := &kv.Txn{Priority: kv.PriorityProgress, Rank: job.writeRank(), BuildKey: record.RetryKey(job.ID)}
	txn.Build = func(txn *kv.Txn) bool {
		stored := t.retries.stored[job.ID]
		if !job.retry.unsaved || job.TerminalPhase != Queued || (job.retry.failures == 0 && stored.modRevision == 0) {
			job.retry.unsaved = false
			return false
		}
		written = job.retry.failures
		txn.Compares = []kv.Compare{
			term,
			{Key: record.JobKey(job.ID), ModRevision: job.ModRevision},
			{Key: record.TerminalKey(job.ID)},
			{Key: record.RetryKey(job.ID), ModRevision: stored.modRevision},
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

// encodeRetry returns the stored form of a job's retry state, nil if there is
// nothing to be kept.
func (t *Table) encodeRetry(job *Job) []byte {
	if job.retry.failures == 0 {
		return nil
	}
	retry := record.Retry{
		Failures:  job.retry.failures,
		NotBefore: t.UnixMS(job.retry.notBefore),
		Unknown:   t.retries.stored[job.ID].Unknown,
	}
	return retry.Encode()
}

// orphanedRetries lists retry records of jobs that have ended and are deleted, as a
// leader of an earlier version leaves them behind; at most limit.
func (t *Table) orphanedRetries(limit int) []string {
	var list []string
	for id := range t.retries.stored {
		if t.Terminal.Has(id) && t.byID[id] == nil && !t.retries.deletionsInFlight[id] {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list[:min(limit, len(list))]
}

// deleteOrphanedRetries deletes the retry records of jobs that have ended.
func (t *Table) deleteOrphanedRetries(now event.Time, term kv.Compare, submitter TxnSubmitter, limit int) {
	for _, id := range t.orphanedRetries(limit) {
		key := record.RetryKey(id)
		condition := kv.Compare{Key: key, ModRevision: t.retries.stored[id].modRevision}
		t.retries.deletionsInFlight[id] = true
		submitter.Submit(&kv.Txn{
			Priority: kv.PriorityGarbageCollection,
			Compares: []kv.Compare{term, condition},
			Writes:   []kv.Write{{Key: key}},
			Done:     func(kv.Result) { delete(t.retries.deletionsInFlight, id) },
		}, now+writeTimeout)
	}
}
