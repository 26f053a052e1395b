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
	// maxPageDeletions bounds the deletions of pages in flight: nothing waits for them.
	maxPageDeletions = 4
	// orphanTimeout is how long a list may show without its job's record
	// before it counts as left behind by an attempt that failed.
	orphanTimeout = time.Minute
	// SubmissionAttemptTimeout is how long a list that another attempt to submit the
	// job began keeps others from beginning anew.
	SubmissionAttemptTimeout = 6 * time.Second
)

// upstreamPage is one stored page of a list of upstream jobs.
type upstreamPage struct {
	modRevision uint64
	ids         []string
}

// upstreamPages are what is stored of a job's list.
type upstreamPages struct {
	byNumber  map[int]upstreamPage
	firstSeen event.Time // when page 0 showed, or any if it has none
}

// upstreamPageIndex holds the stored lists of upstream jobs.
type upstreamPageIndex struct {
	byJob             map[string]*upstreamPages // by job ID
	deletionsInFlight int
}

// set adds or replaces a page of a job's list.
func (i *upstreamPageIndex) set(id string, number int, page upstreamPage, now event.Time) {
	pages := i.byJob[id]
	if pages == nil {
		pages = &upstreamPages{byNumber: map[int]upstreamPage{}, firstSeen: now}
		i.byJob[id] = pages
	}
	if number == 0 {
		pages.firstSeen = now
	}
	pages.byNumber[number] = page
}

// remove removes a page of a job's list.
func (i *upstreamPageIndex) remove(id string, number int) {
	pages := i.byJob[id]
	if pages == nil {
		return
	}
	delete(pages.byNumber, number)
	if len(pages.byNumber) == 0 {
		delete(i.byJob, id)
	}
}

// list returns the whole list of a job's upstream jobs; false: pages of it are missing,
// or are still those of an earlier attempt to submit the job.
func (i *upstreamPageIndex) list(job *Job) (list []string, complete bool) {
	if job.UpstreamPages == 0 {
		return slices.Clone(job.Upstream), true
	}
	pages := i.byJob[job.ID]
	if pages == nil {
		return nil, false
	}
	for number := range job.UpstreamPages {
		page, ok := pages.byNumber[number]
		if !ok || !page.belongsTo(job, number) {
			return nil, false
		}
		list = append(list, page.ids...)
	}
	return list, true
}

// onUpstreamPage takes a page of the watch cache.
func (t *Table) onUpstreamPage(id string, number int, data []byte, modRevision uint64) error {
	if data == nil {
		t.pages.remove(id, number)
		return nil
	}
	ids, err := record.DecodeUpstreamPage(data)
	if err != nil {
		ids = nil // damaged: it counts as a page, so that it is deleted with the others
	}
	t.pages.set(id, number, upstreamPage{modRevision, ids}, t.now)
	if job := t.byID[id]; job != nil {
		t.linkIfComplete(job)
	}
	return err
}

// belongsTo reports whether a page was written by the attempt that submitted a job, not
// by an earlier one.
func (p *upstreamPage) belongsTo(job *Job, number int) bool {
	if number == 0 {
		return p.modRevision == job.SubmissionRevision
	}
	return p.modRevision >= job.SubmissionRevision
}

// SubmissionAttempt returns the revision of page 0 of a job's list, which identifies the
// attempt to submit the job, and for how long the page has shown; 0: there is none.
func (t *Table) SubmissionAttempt(id string, now event.Time) (modRevision uint64, shown time.Duration) {
	pages := t.pages.byJob[id]
	if pages == nil {
		return 0, 0
	}
	return pages.byNumber[0].modRevision, now - pages.firstSeen
}

// DeleteStaleUpstreamPages deletes the lists that nobody needs: those of jobs that are
// ready or have ended, and those that failed attempts to submit left behind.
func (t *Table) DeleteStaleUpstreamPages(now event.Time, term kv.Compare, submitter TxnSubmitter) {
	if len(t.pages.byJob) == 0 || t.pages.deletionsInFlight > 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(t.pages.byJob)) {
		if t.pagesNeeded(id, now) {
			continue
		}
		for _, number := range t.pages.byJob[id].deletable() {
			if t.pages.deletionsInFlight >= maxPageDeletions {
				return
			}
			t.deletePage(id, number, now, term, submitter)
		}
	}
}

// accepted reports whether a job's record is stored.
func (t *Table) accepted(id string) bool {
	job := t.byID[id]
	return job != nil && job.ModRevision != 0
}

// pagesNeeded reports whether a list belongs to a held job, or to an attempt to
// submit one that may still succeed.
func (t *Table) pagesNeeded(id string, now event.Time) bool {
	if t.Terminal.Has(id) {
		return false
	}
	if t.accepted(id) {
		return !t.byID[id].Ready
	}
	return now-t.pages.byJob[id].firstSeen < orphanTimeout
}

// deletable returns the pages that may be deleted now: page 0 first and alone, so
// that nothing is added to an attempt that is being deleted.
func (p *upstreamPages) deletable() []int {
	if _, ok := p.byNumber[0]; ok {
		return []int{0}
	}
	return slices.Sorted(maps.Keys(p.byNumber))
}

// deletePage queues the deletion of a page on condition of its revision, and without
// a record of the job on condition that there is still none: a late attempt that
// has just made the job accepted keeps its list.
func (t *Table) deletePage(id string, number int, now event.Time, term kv.Compare, submitter TxnSubmitter) {
	key := record.UpstreamPageKey(id, number)
	revision := t.pages.byJob[id].byNumber[number].modRevision
	conditions := []kv.Compare{term}
	if number != 0 {
		conditions = append(conditions, kv.Compare{Key: record.UpstreamPageKey(id, 0)})
	}
	conditions = append(conditions, kv.Compare{Key: key, ModRevision: revision})
	if !t.accepted(id) {
		conditions = append(conditions, kv.Compare{Key: record.JobKey(id)})
	}
	t.pages.deletionsInFlight++
	submitter.Submit(&kv.Txn{
		Priority: kv.PriorityProgress,
		Compares: conditions,
		Writes:   []kv.Write{{Key: key}},
		Done:     func(kv.Result) { t.pages.deletionsInFlight-- },
	}, now+writeTimeout)
}
