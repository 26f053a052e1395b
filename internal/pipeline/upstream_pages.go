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
	// maxPageDeletions is the maximum number of page deletions in flight. It is small
	// because nothing waits for them.
	maxPageDeletions = 4
	// orphanTimeout is how long a list may exist without its job's record before it is
	// considered orphaned by a failed attempt to submit the job.
	orphanTimeout = time.Minute
	// SubmissionAttemptTimeout is how long an attempt to submit a job that has written
	// page 0 of the list prevents other attempts from starting to write it again.
	SubmissionAttemptTimeout = 6 * time.Second
)

// upstreamPage is one persisted page of a job's list of upstream jobs.
type upstreamPage struct {
	modRevision uint64
	upstream    []vertexIndex // nil once the job is linked or no longer held
}

// upstreamPages holds the persisted pages of a job's list of upstream jobs.
type upstreamPages struct {
	byNumber       map[int]upstreamPage
	attemptBeganAt event.Time // time of the last change of page 0, or of the first page seen if page 0 was never seen
}

// upstreamPageIndex holds the persisted lists of upstream jobs.
type upstreamPageIndex struct {
	byJob             map[string]*upstreamPages // by job ID
	count             int                       // number of pages
	deletionsInFlight int
}

// set adds or replaces a page of a job's list.
func (i *upstreamPageIndex) set(id string, number int, page upstreamPage, now event.Time) {
	pages := i.byJob[id]
	if pages == nil {
		pages = &upstreamPages{byNumber: map[int]upstreamPage{}, attemptBeganAt: now}
		i.byJob[id] = pages
	}
	if number == 0 {
		pages.attemptBeganAt = now
	}
	i.count -= len(pages.byNumber)
	pages.byNumber[number] = page
	i.count += len(pages.byNumber)
}

// upstream returns the upstream jobs in a page of a job's list, nil if there is no such page.
func (i *upstreamPageIndex) upstream(id string, number int) []vertexIndex {
	if pages := i.byJob[id]; pages != nil {
		return pages.byNumber[number].upstream
	}
	return nil
}

// remove removes a page of a job's list.
func (i *upstreamPageIndex) remove(id string, number int) {
	pages := i.byJob[id]
	if pages == nil {
		return
	}
	i.count -= len(pages.byNumber)
	delete(pages.byNumber, number)
	i.count += len(pages.byNumber)
	if len(pages.byNumber) == 0 {
		delete(i.byJob, id)
	}
}

// forgetLists releases the upstream jobs in the pages of a job that is no longer held. The
// pages remain until they are deleted in the state service.
func (i *upstreamPageIndex) forgetLists(id string, edges *edges) {
	pages := i.byJob[id]
	if pages == nil {
		return
	}
	for number, page := range pages.byNumber {
		edges.release(page.upstream)
		page.upstream = nil
		pages.byNumber[number] = page
	}
}

// complete reports whether all pages of a job's list are known. It is false if pages are
// missing or were written by an earlier attempt to submit the job.
func (i *upstreamPageIndex) complete(job *Job) bool {
	pages := i.byJob[job.ID]
	if pages == nil {
		return false
	}
	for number := range job.UpstreamPages {
		page, ok := pages.byNumber[number]
		if !ok || !page.belongsTo(job, number) {
			return false
		}
	}
	return true
}

// takeLists returns the upstream jobs in the pages of a job whose list is complete, and removes
// them from the pages, as the job keeps them from then on.
func (i *upstreamPageIndex) takeLists(job *Job) []vertexIndex {
	pages := i.byJob[job.ID]
	lists := make([][]vertexIndex, job.UpstreamPages)
	for number := range lists {
		page := pages.byNumber[number]
		lists[number] = page.upstream
		page.upstream = nil
		pages.byNumber[number] = page
	}
	return slices.Concat(lists...)
}

// handleUpstreamPage handles a change of a page in the watch cache. A job that is linked is not
// affected any more.
func (t *Table) handleUpstreamPage(id string, number int, data []byte, modRevision uint64) error {
	t.graph.release(t.pages.upstream(id, number))
	if data == nil {
		t.pages.remove(id, number)
		return nil
	}
	ids, err := record.DecodeUpstreamPage(data)
	if err != nil || !t.awaitsPages(id) {
		ids = nil // the page is recorded too, so that it is deleted with the others
	}
	t.pages.set(id, number, upstreamPage{modRevision, t.graph.acquire(ids)}, t.now)
	if job := t.byID[id]; job != nil {
		t.linkIfComplete(job)
	}
	return err
}

// awaitsPages reports whether the pages of a job are needed to link it, or may be once its
// record is seen.
func (t *Table) awaitsPages(id string) bool {
	if t.Terminal.Has(id) {
		return false
	}
	job := t.byID[id]
	return job == nil || (!job.Ready && !job.linked)
}

// belongsTo reports whether a page was written by the attempt that submitted the job rather
// than by an earlier one.
func (p *upstreamPage) belongsTo(job *Job, number int) bool {
	if number == 0 {
		return p.modRevision == job.SubmissionRevision
	}
	return p.modRevision >= job.SubmissionRevision
}

// SubmissionAttempt returns the revision of page 0 of a job's list, which identifies the
// attempt to submit the job, and the time since the last change of that page.
// modRevision is zero if there is no page 0.
func (t *Table) SubmissionAttempt(id string, now event.Time) (modRevision uint64, age time.Duration) {
	pages := t.pages.byJob[id]
	if pages == nil {
		return 0, 0
	}
	return pages.byNumber[0].modRevision, now - pages.attemptBeganAt
}

// DeleteStaleUpstreamPages queues the deletion of lists that are no longer needed: those of
// jobs that are ready or have ended, and those orphaned by failed attempts to submit a job.
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

// hasJobRecord reports whether a job's record is persisted.
func (t *Table) hasJobRecord(id string) bool {
	job := t.byID[id]
	return job != nil && job.ModRevision != 0
}

// pagesNeeded reports whether a list belongs to a held job, or to an attempt to submit a job
// that may still succeed.
func (t *Table) pagesNeeded(id string, now event.Time) bool {
	if t.Terminal.Has(id) {
		return false
	}
	if t.hasJobRecord(id) {
		return !t.byID[id].Ready
	}
	return now-t.pages.byJob[id].attemptBeganAt < orphanTimeout
}

// deletable returns the numbers of the pages that may be deleted now. Page 0 is deleted first
// and alone, so that no page can be added to an attempt whose pages are being deleted.
func (p *upstreamPages) deletable() []int {
	if _, ok := p.byNumber[0]; ok {
		return []int{0}
	}
	return slices.Sorted(maps.Keys(p.byNumber))
}

// deletePage queues the deletion of a page. It requires the page's revision to be unchanged.
// If the job has no record, it also requires that there still is none, so that the list of a
// late attempt that has just succeeded is not deleted.
func (t *Table) deletePage(id string, number int, now event.Time, term kv.Compare, submitter TxnSubmitter) {
	key := record.UpstreamPageKey(id, number)
	revision := t.pages.byJob[id].byNumber[number].modRevision
	conditions := []kv.Compare{term}
	if number != 0 {
		conditions = append(conditions, kv.Compare{Key: record.UpstreamPageKey(id, 0)})
	}
	conditions = append(conditions, kv.Compare{Key: key, ModRevision: revision})
	if !t.hasJobRecord(id) {
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
