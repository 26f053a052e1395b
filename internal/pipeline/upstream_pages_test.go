package pipeline

import (
	"slices"
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// A job whose list is not whole, or is still that of an older attempt, is
// neither releasable nor cancelled by it.
func TestPartsOfAttempts(t *testing.T) {
	r := newFixture()
	r.job(1, nil)
	r.job(2, nil)
	r.final(1, Cancelled)
	r.final(2, Done)
	p := func(n int) []byte { return record.EncodeUpstreamPages([]string{id(n)}, 4096)[0] }
	r.write(record.KindUpstreamPage, id(5)+"/0", p(1)) // abandoned
	r.write(record.KindUpstreamPage, id(5)+"/1", p(1))
	old := r.revision
	r.revision += 10
	job := r.job(5, func(job *Job) { job.listInParts(2, old+3) }, 9)
	if job.linked || job.upstreamCancelled || len(r.Releasable()) != 0 {
		t.Fatal("linked by an abandoned list")
	}
	r.HandleChange(record.KindUpstreamPage, id(5)+"/0", p(2), old+3)
	if job.linked {
		t.Fatal("linked by half a list")
	}
	r.HandleChange(record.KindUpstreamPage, id(5)+"/1", p(2), old+4)
	expect(t, "held", idsOf(r.Releasable()), "5")
	// The list may go once it is ready; what was linked stays linked till then.
	r.HandleChange(record.KindUpstreamPage, id(5)+"/0", nil, r.revision+1)
	expect(t, "held", idsOf(r.Releasable()), "5")
}

func TestDeleteStaleParts(t *testing.T) {
	r := newFixture()
	part := record.EncodeUpstreamPages([]string{id(1)}, 4096)[0]
	r.job(1, nil)
	for _, k := range []string{"/0", "/1", "/2"} {
		r.write(record.KindUpstreamPage, id(2)+k, part) // left behind
	}
	first := r.graph.pages[id(2)].byNumber[0].modRevision
	r.write(record.KindUpstreamPage, id(3)+"/0", part)
	held := r.job(3, func(job *Job) { job.listInParts(1, r.revision) }, 1)
	writes := &queue{}
	r.DeleteStaleUpstreamPages(time.Minute, term, writes)
	if len(writes.list) != 0 {
		t.Fatalf("%d drops of what is young or needed", len(writes.list))
	}
	r.DeleteStaleUpstreamPages(2*time.Minute, term, writes)
	r.DeleteStaleUpstreamPages(2*time.Minute, term, writes)
	if len(writes.list) != 1 || writes.list[0].Writes[0].Key != record.UpstreamPageKey(id(2), 0) ||
		!slices.Contains(writes.list[0].Compares, kv.Compare{Key: record.UpstreamPageKey(id(2), 0), ModRevision: first}) || !slices.Contains(writes.list[0].Compares, kv.Compare{Key: record.JobKey(id(2))}) {
		t.Fatalf("%d drops", len(writes.list))
	}
	carryOut(r.Table, writes.next(t), r.revision+1)
	r.DeleteStaleUpstreamPages(2*time.Minute, term, writes)
	if len(writes.list) != 2 || !slices.Contains(writes.list[0].Compares, kv.Compare{Key: record.UpstreamPageKey(id(2), 0)}) {
		t.Fatalf("%d drops", len(writes.list))
	}
	carryOut(r.Table, writes.next(t), r.revision+2)
	carryOut(r.Table, writes.next(t), r.revision+3)
	if r.graph.pages[id(2)] != nil || !held.linked {
		t.Error("not all dropped, or too much")
	}
	ready := *held
	ready.Ready = true
	ready.UpstreamPages = 0
	ready.SubmissionRevision = 0
	r.revision += 5
	r.write(record.KindJob, held.ID, EncodeJob(r.Names, &ready))
	r.DeleteStaleUpstreamPages(2*time.Minute, term, writes)
	carryOut(r.Table, writes.next(t), r.revision+1)
	if len(r.graph.pages) != 0 {
		t.Error("the list of a ready job is kept")
	}
}
