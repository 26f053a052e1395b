package pipeline

import (
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// CollectGarbage drops the records that finished jobs leave behind, once no task of theirs
// can be on a machine; at most limit jobs at a time.
func (t *Table) CollectGarbage(now time.Duration, term kv.Compare, s TxnSubmitter, limit int) {
	t.deleteOrphanedRetries(now, term, s, limit)
	for j := range t.AllJobs() {
		if limit == 0 {
			return
		}
		if j.TerminalPhase == Queued || j.deletionInFlight || j.active > 0 || now < j.retryAt {
			continue
		}
		in := t.recordDrop(j, term)
		if len(in.Writes) == 0 {
			continue
		}
		j.deletionInFlight = true
		in.Done = func(r kv.Result) {
			j.deletionInFlight = false
			j.backOff(r)
		}
		s.Submit(in, now+writeTimeout)
		limit--
	}
}

// recordDrop returns the deletion of a job's records, each on condition of the
// version that the replica shows. Chunks beyond the limit on writes follow later.
func (t *Table) recordDrop(j *Job, term kv.Compare) *kv.Txn {
	in := &kv.Txn{Priority: kv.PriorityCleanup, Compares: []kv.Compare{term}}
	drop := func(key string, version uint64) {
		in.Compares = append(in.Compares, kv.Compare{Key: key, ModRevision: version})
		in.Writes = append(in.Writes, kv.Write{Key: key})
	}
	for index := range j.segments {
		if j.segments[index].modRevision != 0 && len(in.Writes) < t.config.TxnOps-1 { // one is for the job's record
			drop(record.RunKey(j.ID, index), j.segments[index].modRevision)
		}
	}
	if j.ModRevision != 0 {
		drop(record.JobKey(j.ID), j.ModRevision)
	}
	return in
}
