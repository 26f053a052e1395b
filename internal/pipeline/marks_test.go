package pipeline

import (
	"slices"
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// Several controllers may write a ready mark: only the replica shows that one of
// them succeeded, and a write that lost is retried after a pause.
func TestMarkReady(t *testing.T) {
	r := newFixture()
	r.job(1, nil)
	j := r.job(2, func(j *Job) { j.SubmittedAt = 1000_500 }, 1)
	r.final(1, Done)
	q := &queue{}
	now := 2 * time.Second
	mark := func() { r.WriteReadiness(now, q, func(*Job) bool { return true }) }
	mark()
	mark()
	if len(q.list) != 1 {
		t.Fatalf("%d writes", len(q.list))
	}
	in := q.next(t)
	if !slices.Contains(in.Compares, kv.Compare{Key: record.JobKey(j.ID), ModRevision: j.ModRevision}) || !slices.Contains(in.Compares, kv.Compare{Key: record.TerminalKey(j.ID)}) {
		t.Errorf("conditions %v", in.Compares)
	}
	in.Done(kv.Result{Outcome: kv.Conflict, Now: now})
	mark()
	if len(q.list) != 0 {
		t.Error("tried again at once")
	}
	now += time.Second
	mark()
	r.revision++
	carryOut(r.Table, q.next(t), r.revision)
	mark()
	if len(q.list) != 0 || !j.Ready || j.SubmittedAt != 1000_500 || j.ReadyAt != 1002_000 {
		t.Errorf("%d writes, ready %v, submitted %d, ready at %d", len(q.list), j.Ready, j.SubmittedAt, j.ReadyAt)
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
	q := &queue{}
	everything := func(*Job) bool { return true }
	marked, now := 0, time.Duration(0)
	step := func(r *fixture) {
		now += time.Second
		r.WriteCancellations(now, q, everything)
		r.WriteCancellations(now, q, everything)
		if len(q.list) > maxCancellationWrites {
			t.Fatalf("%d at a time", len(q.list))
		}
		for i := 0; len(q.list) > 0; i++ {
			in := q.next(t)
			if len(in.Writes) > 4 || len(in.Compares) > 16 {
				t.Fatalf("%d writes, %d conditions", len(in.Writes), len(in.Compares))
			}
			if i%3 == 2 {
				in.Done(kv.Result{Outcome: kv.Unknown, Now: now})
				continue
			}
			r.revision++
			for _, w := range in.Writes {
				kind, rest := splitKey(w.Key)
				r.log = append(r.log, line{kind, rest, w.Data, r.revision})
			}
			carryOut(r.Table, in, r.revision)
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
		if final, _ := after.Terminal.Get(id(10 + i)); final.Phase != Cancelled || after.Job(id(10+i)) != nil {
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
	r.job(2, func(j *Job) { j.Owner = "n1" }, 1)
	r.job(3, nil, 1)
	r.final(1, Cancelled)
	q := &queue{}
	r.WriteCancellations(time.Second, q, func(j *Job) bool { return j.Owner == "n0" })
	if len(q.list) != 1 || q.list[0].Writes[0].Key != record.TerminalKey(id(3)) {
		t.Errorf("%d marks", len(q.list))
	}
}

// Many jobs that are freed at once are marked a few at a time, the most
// important first.
func TestWideReady(t *testing.T) {
	r := newFixture()
	r.job(1, nil)
	for i := range 200 {
		r.job(10+i, func(j *Job) { j.Priority = Idle }, 1)
	}
	r.job(300, func(j *Job) { j.Priority = High }, 209)
	r.final(1, Done)
	q := &queue{}
	r.WriteReadiness(time.Second, q, func(*Job) bool { return true })
	r.WriteReadiness(time.Second, q, func(*Job) bool { return true })
	if len(q.list) != maxReadinessWrites || q.list[0].Writes[0].Key != record.JobKey(id(209)) || q.list[1].Writes[0].Key != record.JobKey(id(10)) {
		t.Errorf("%d marks, first %s", len(q.list), q.list[0].Writes[0].Key)
	}
	marked := 0
	for now := 2 * time.Second; len(q.list) > 0; now += time.Second {
		for len(q.list) > 0 {
			r.revision++
			carryOut(r.Table, q.next(t), r.revision)
			marked++
		}
		r.WriteReadiness(now, q, func(*Job) bool { return true })
	}
	if marked != 200 || len(r.graph.releasable) != 0 {
		t.Errorf("%d marked, %d left", marked, len(r.graph.releasable))
	}
}
