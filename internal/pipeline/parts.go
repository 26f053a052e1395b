package pipeline

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

const (
	// maxPageDeletions bounds the deletions of parts in flight: nothing waits for them.
	maxPageDeletions = 4
	// orphanTimeout is how long a list may show without its job's record
	// before it counts as left behind by an attempt that failed.
	orphanTimeout = time.Minute
	// SubmissionAttemptTimeout is how long a list that another attempt to submit the job began
	// keeps others from beginning anew.
	SubmissionAttemptTimeout = 6 * time.Second
)

// upstreamPage is one stored part of a list of upstream jobs.
type upstreamPage struct {
	modRevision uint64
	ids         []string
}

// upstreamPages are what is stored of a job's list.
type upstreamPages struct {
	byNumber   map[int]upstreamPage
	shownSince event.Time // when page 0 showed, or any if it has none
}

// onUpstreamPage takes a part of the replica.
func (t *Table) onUpstreamPage(id string, n int, data []byte, modRevision uint64) error {
	p := t.graph.pages[id]
	if data == nil {
		if p != nil {
			delete(p.byNumber, n)
			if len(p.byNumber) == 0 {
				delete(t.graph.pages, id)
			}
		}
		return nil
	}
	ids, err := record.DecodeUpstreamPage(data)
	if err != nil {
		ids = nil // damaged: it counts as a part, so that it is deleted with the others
	}
	if p == nil {
		p = &upstreamPages{byNumber: map[int]upstreamPage{}, shownSince: t.now}
		t.graph.pages[id] = p
	}
	if n == 0 {
		p.shownSince = t.now
	}
	p.byNumber[n] = upstreamPage{modRevision, ids}
	if j := t.byID[id]; j != nil {
		t.linkIfComplete(j)
	}
	return err
}

// upstreamList returns the whole list of a job's upstream jobs; false: parts of it
// are missing, or are still those of an earlier attempt to submit the job.
func (t *Table) upstreamList(j *Job) (list []string, complete bool) {
	if j.UpstreamPages == 0 {
		return slices.Clone(j.Upstream), true
	}
	p := t.graph.pages[j.ID]
	if p == nil {
		return nil, false
	}
	for n := range j.UpstreamPages {
		part, ok := p.byNumber[n]
		if !ok || (n == 0 && part.modRevision != j.SubmissionRevision) || part.modRevision < j.SubmissionRevision {
			return nil, false
		}
		list = append(list, part.ids...)
	}
	return list, true
}

// SubmissionAttempt returns the version of the attempt to submit a job that part 0 of its
// list stands for, and for how long it has shown; 0: there is none.
func (t *Table) SubmissionAttempt(id string, now time.Duration) (version uint64, shown time.Duration) {
	p := t.graph.pages[id]
	if p == nil {
		return 0, 0
	}
	return p.byNumber[0].modRevision, now - p.shownSince
}

// DeleteStaleUpstreamPages deletes the lists that nobody needs: those of jobs that are ready
// or over, and those that failed attempts to submit left behind.
func (t *Table) DeleteStaleUpstreamPages(now time.Duration, term kv.Compare, s TxnSubmitter) {
	if len(t.graph.pages) == 0 || t.graph.pageDeletionsInFlight > 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(t.graph.pages)) {
		if t.pagesNeeded(id, now) {
			continue
		}
		for _, n := range t.graph.pages[id].deletable() {
			if t.graph.pageDeletionsInFlight >= maxPageDeletions {
				return
			}
			t.deletePage(id, n, now, term, s)
		}
	}
}

// accepted reports whether a job's record is stored.
func (t *Table) accepted(id string) bool {
	j := t.byID[id]
	return j != nil && j.ModRevision != 0
}

// pagesNeeded reports whether a list belongs to a held job, or to an attempt to
// submit one that may still succeed.
func (t *Table) pagesNeeded(id string, now time.Duration) bool {
	if t.Terminal.Has(id) {
		return false
	}
	if t.accepted(id) {
		return !t.byID[id].Ready
	}
	return now-t.graph.pages[id].shownSince < orphanTimeout
}

// deletable returns the parts that may be deleted now: part 0 first and alone, so
// that nothing is added to an attempt that is being deleted.
func (p *upstreamPages) deletable() []int {
	if _, ok := p.byNumber[0]; ok {
		return []int{0}
	}
	return slices.Sorted(maps.Keys(p.byNumber))
}

// deletePage queues the deletion of a part on condition of its version, and without
// a record of the job on condition that there is still none: a late attempt that
// has just made the job accepted keeps its list.
func (t *Table) deletePage(id string, n int, now time.Duration, term kv.Compare, s TxnSubmitter) {
	conditions := []kv.Compare{term}
	if n != 0 {
		conditions = append(conditions, kv.Compare{Key: record.UpstreamPageKey(id, 0)})
	}
	conditions = append(conditions, kv.Compare{Key: record.UpstreamPageKey(id, n), ModRevision: t.graph.pages[id].byNumber[n].modRevision})
	if !t.accepted(id) {
		conditions = append(conditions, kv.Compare{Key: record.JobKey(id)})
	}
	t.graph.pageDeletionsInFlight++
	s.Submit(&kv.Txn{
		Priority: kv.PriorityProgress,
		Compares: conditions,
		Writes:   []kv.Write{{Key: record.UpstreamPageKey(id, n)}},
		Done:     func(kv.Result) { t.graph.pageDeletionsInFlight-- },
	}, now+writeTimeout)
}
