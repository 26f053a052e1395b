package pipeline

import (
	"slices"
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// Several controllers may write a readiness: only the replica shows that one of
// them succeeded, and a write that lost is retried after a pause.
func TestMarkReady(t *testing.T) {
	r := newFixture()
	r.job(1, nil)
	job := r.job(2, func(job *Job) { job.SubmittedAt = 1000_500 }, 1)
	r.final(1, Done)
	writes := &queue{}
	now := 2 * time.Second
	mark := func() { r.WriteReadiness(now, writes, func(*Job) bool { return true }) }
	mark()
	mark()
	if len(writes.list) != 1 {
		t.Fatalf("%d writes", len(writes.list))
	}
	txn := writes.next(t)
	if !slices.Contains(txn.Compares, kv.Compare{Key: record.JobKey(job.ID), ModRevision: job.ModRevision}) || !slices.Contains(txn.Compares, kv.Compare{Key: record.TerminalKey(job.ID)}) {
		t.Errorf("conditions %v", txn.Compares)
	}
	txn.Done(kv.Result{Outcome: kv.Conflict, Now: now})
	mark()
	if len(writes.list) != 0 {
		t.Error("tried again at once")
	}
	now += time.Second
	mark()
	r.revision++
	carryOut(r.Table, writes.next(t), r.revision)
	mark()
	if len(writes.list) != 0 || !job.Ready || job.SubmittedAt != 1000_500 || job.ReadyAt != 1002_000 {
		t.Errorf("%d writes, ready %v, submitted %d, ready at %d", len(writes.list), job.Ready, job.SubmittedAt, job.ReadyAt)
	}
}

// However wide, the marks go out a few at a time, each within the limits, and
// a successor finishes what its predecessor began.
func TestWideCancellation(t *testing.T) {
	const n = 500
	r := newFixture()
	r.job(1, nil)
	for i := range n {
		r.job(10+i, nil, 1)
	}
	r.final(1, Cancelled)
	writes := &queue{}
	everything := func(*Job) bool { return true }
	marked, now := 0, time.Duration(0)
	step := func(r *fixture) {
		now += time.Second
		r.WriteCancellations(now, writes, everything)
		r.WriteCancellations(now, writes, everything)
		if len(writes.list) > maxCancellationWrites {
			t.Fatalf("%d at a time", len(writes.list))
		}
		for i := 0; len(writes.list) > 0; i++ {
			txn := writes.next(t)
			if len(txn.Writes) > 4 || len(txn.Compares) > 16 {
				t.Fatalf("%d writes, %d conditions", len(txn.Writes), len(txn.Compares))
			}
			if i%3 == 2 {
				txn.Done(kv.Result{Outcome: kv.Unknown, Now: now})
				continue
			}
			r.revision++
			for _, w := range txn.Writes {
				kind, rest := splitKey(w.Key)
				r.log = append(r.log, line{kind, rest, w.Data, r.revision})
			}
			carryOut(r.Table, txn, r.revision)
			marked++
		}
	}
	for range 10 {
		step(r)
	}
	after := newFixture()
	for _, l := range r.log {
		after.HandleChange(l.kind, l.rest, l.data, l.version)
	}
	after.revision = r.revision
	after.log = r.log
	if len(after.graph.upstreamCancelled) != n-marked || marked == 0 {
		t.Fatalf("%d marked, %d left to the successor", marked, len(after.graph.upstreamCancelled))
	}
	for range n {
		step(after)
	}
	for i := range n {
		if terminal, _ := after.Terminal.Get(id(10 + i)); terminal.Phase != Cancelled || after.Job(id(10+i)) != nil {
			t.Fatalf("job %d is left", i)
		}
	}
	if marked != n || len(after.graph.cancelQueue) > maxCancellationWrites {
		t.Errorf("%d marks for %d jobs, %d queued", marked, n, len(after.graph.cancelQueue))
	}
}

// Jobs of others are left to them.
func TestMarkUpstreamCancelledOurs(t *testing.T) {
	r := newFixture()
	r.job(1, nil)
	r.job(2, func(job *Job) { job.Owner = "n1" }, 1)
	r.job(3, nil, 1)
	r.final(1, Cancelled)
	writes := &queue{}
	r.WriteCancellations(time.Second, writes, func(job *Job) bool { return job.Owner == "n0" })
	if len(writes.list) != 1 || writes.list[0].Writes[0].Key != record.TerminalKey(id(3)) {
		t.Errorf("%d marks", len(writes.list))
	}
}

// Many jobs that are freed at once are marked a few at a time, the most
// important first.
func TestWideReady(t *testing.T) {
	r := newFixture()
	r.job(1, nil)
	for i := range 200 {
		r.job(10+i, func(job *Job) { job.Priority = Idle }, 1)
	}
	r.job(300, func(job *Job) { job.Priority = High }, 209)
	r.final(1, Done)
	writes := &queue{}
	r.WriteReadiness(time.Second, writes, func(*Job) bool { return true })
	r.WriteReadiness(time.Second, writes, func(*Job) bool { return true })
	if len(writes.list) != maxReadinessWrites || writes.list[0].Writes[0].Key != record.JobKey(id(209)) || writes.list[1].Writes[0].Key != record.JobKey(id(10)) {
		t.Errorf("%d marks, first %s", len(writes.list), writes.list[0].Writes[0].Key)
	}
	marked := 0
	for now := 2 * time.Second; len(writes.list) > 0; now += time.Second {
		for len(writes.list) > 0 {
			r.revision++
			carryOut(r.Table, writes.next(t), r.revision)
			marked++
		}
		r.WriteReadiness(now, writes, func(*Job) bool { return true })
	}
	if marked != 200 || len(r.graph.releasable) != 0 {
		t.Errorf("%d marked, %d left", marked, len(r.graph.releasable))
	}
}
