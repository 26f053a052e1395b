package pipeline

import (
	"time"

	"lugward/internal/store"
)

// Clean drops the records that finished jobs leave behind, once no task of theirs
// can be on a machine; at most limit jobs at a time.
func (t *Table) Clean(now time.Duration, term store.Condition, s Submitter, limit int) {
	t.cleanRetries(now, term, s, limit)
	for _, j := range t.Jobs {
		if limit == 0 {
			return
		}
		if j == nil || j.Final == Queued || j.cleaning || j.active > 0 || int64(now) < j.retryAt {
			continue
		}
		in := t.recordDrop(j, term)
		if len(in.Writes) == 0 {
			continue
		}
		j.cleaning = true
		in.Done = func(r store.Result) {
			j.cleaning = false
			j.backOff(r)
		}
		s.Submit(in, now+writeTimeout)
		limit--
	}
}

// recordDrop returns the deletion of a job's records, each on condition of the
// version that the replica shows. Chunks beyond the limit on writes follow later.
func (t *Table) recordDrop(j *Job, term store.Condition) *store.Intent {
	in := &store.Intent{Priority: store.Cleanup, Conditions: []store.Condition{term}}
	drop := func(key string, version uint64) {
		in.Conditions = append(in.Conditions, store.Condition{Key: key, Version: version})
		in.Writes = append(in.Writes, store.Write{Key: key})
	}
	for index := range j.Chunk {
		if j.Chunk[index].Version != 0 && len(in.Writes) < t.txnOps-1 { // one is for the job's record
			drop(runKey(j.ID, index), j.Chunk[index].Version)
		}
	}
	if j.Version != 0 {
		drop(JobKeyOf(j.ID), j.Version)
	}
	return in
}
