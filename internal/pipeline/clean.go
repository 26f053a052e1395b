package pipeline

import (
	"time"

	"lugward/internal/store"
)

// Clean drops the records that finished jobs leave behind, once nothing of
// theirs can be on a machine; at most limit jobs at a time.
func (t *Table) Clean(now time.Duration, term store.Condition, s Submitter, limit int) {
	t.cleanRetries(now, term, s, limit)
	for _, j := range t.Jobs {
		if limit == 0 {
			return
		}
		if j == nil || j.Final == Queued || j.cleaning || j.active > 0 || int64(now) < j.retryAt {
			continue
		}
		in := &store.Intent{Priority: store.Cleanup, Conditions: []store.Condition{term}}
		for c := range j.Chunk {
			if j.Chunk[c].Version != 0 && len(in.Writes) < t.txnOps-1 {
				in.Conditions = append(in.Conditions, store.Condition{Key: runKey(j.ID, c), Version: j.Chunk[c].Version})
				in.Writes = append(in.Writes, store.Write{Key: runKey(j.ID, c)})
			}
		}
		if j.Version != 0 {
			in.Conditions = append(in.Conditions, store.Condition{Key: JobKeyOf(j.ID), Version: j.Version})
			in.Writes = append(in.Writes, store.Write{Key: JobKeyOf(j.ID)})
		}
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
