package pipeline

import (
	"slices"
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// A job whose list of upstream jobs is incomplete, or was written by an earlier attempt to
// submit the job, is neither releasable nor cancelled by that list.
func TestPagesOfAttempts(t *testing.T) {
	f := newFixture()
	f.addJob(1, nil)
	f.addJob(2, nil)
	f.storeTerminal(1, Cancelled)
	f.storeTerminal(2, Done)
	page := func(n int) []byte { return record.EncodeUpstreamPages([]string{id(n)}, 4096)[0] }
	f.store(record.KindUpstreamPage, id(5)+"/0", page(1)) // abandoned
	f.store(record.KindUpstreamPage, id(5)+"/1", page(1))
	old := f.revision
	f.revision += 10
	job := f.addJob(5, func(job *Job) { job.usePages(2, old+3) }, 9)
	if job.linked || job.upstreamCancelled || len(f.Releasable()) != 0 {
		t.Fatal("the job is linked, cancelled or releasable with the list of an abandoned attempt")
	}
	f.HandleChange(record.KindUpstreamPage, id(5)+"/0", page(2), old+3)
	if job.linked {
		t.Fatal("the job is linked with an incomplete list")
	}
	f.HandleChange(record.KindUpstreamPage, id(5)+"/1", page(2), old+4)
	expect(t, "releasable jobs", idsOf(f.Releasable()), "5")
	// The list may be deleted once the job is ready. A linked job stays linked until then.
	f.HandleChange(record.KindUpstreamPage, id(5)+"/0", nil, f.revision+1)
	expect(t, "releasable jobs", idsOf(f.Releasable()), "5")
}

func TestDeleteStalePages(t *testing.T) {
	f := newFixture()
	page := record.EncodeUpstreamPages([]string{id(1)}, 4096)[0]
	f.addJob(1, nil)
	for _, k := range []string{"/0", "/1", "/2"} {
		f.store(record.KindUpstreamPage, id(2)+k, page) // orphaned
	}
	first := f.pages.byJob[id(2)].byNumber[0].modRevision
	f.store(record.KindUpstreamPage, id(3)+"/0", page)
	held := f.addJob(3, func(job *Job) { job.usePages(1, f.revision) }, 1)
	txns := &txnQueue{}
	f.DeleteStaleUpstreamPages(time.Minute, term, txns)
	if len(txns.list) != 0 {
		t.Fatalf("queued %d deletions of recent or needed pages, want 0", len(txns.list))
	}
	f.DeleteStaleUpstreamPages(2*time.Minute, term, txns)
	f.DeleteStaleUpstreamPages(2*time.Minute, term, txns)
	if len(txns.list) != 1 || txns.list[0].Writes[0].Key != record.UpstreamPageKey(id(2), 0) ||
		!slices.Contains(txns.list[0].Compares, kv.Compare{Key: record.UpstreamPageKey(id(2), 0), ModRevision: first}) || !slices.Contains(txns.list[0].Compares, kv.Compare{Key: record.JobKey(id(2))}) {
		t.Fatalf("queued %d deletions, want 1: page 0 at its revision and without a job record", len(txns.list))
	}
	commit(f.Table, txns.next(t), f.revision+1)
	f.DeleteStaleUpstreamPages(2*time.Minute, term, txns)
	if len(txns.list) != 2 || !slices.Contains(txns.list[0].Compares, kv.Compare{Key: record.UpstreamPageKey(id(2), 0)}) {
		t.Fatalf("queued %d deletions after that of page 0, want 2 on condition that there is no page 0", len(txns.list))
	}
	commit(f.Table, txns.next(t), f.revision+2)
	commit(f.Table, txns.next(t), f.revision+3)
	if f.pages.byJob[id(2)] != nil || !held.linked {
		t.Error("the orphaned list is not deleted, or the held job is no longer linked")
	}
	ready := *held
	ready.Ready = true
	ready.UpstreamPages = 0
	ready.SubmissionRevision = 0
	f.revision += 5
	f.store(record.KindJob, held.ID, EncodeJob(f.Names, &ready))
	f.DeleteStaleUpstreamPages(2*time.Minute, term, txns)
	commit(f.Table, txns.next(t), f.revision+1)
	if len(f.pages.byJob) != 0 {
		t.Error("the list of a ready job is not deleted")
	}
}
