package pipeline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"lugward/internal/record"
)

func TestDiamondReady(t *testing.T) {
	r := newFixture()
	r.job(1, nil)
	r.job(2, nil, 1)
	r.job(3, nil, 1, 1)
	d := r.job(4, nil, 2, 3)
	expect(t, "before", idsOf(r.Releasable()), "")
	r.final(1, Done)
	expect(t, "first done", idsOf(r.Releasable()), "2 3")
	r.final(2, Done)
	expect(t, "second done", idsOf(r.Releasable()), "3")
	r.final(3, Done)
	expect(t, "all done", idsOf(r.Releasable()), "4")
	if d.Phase() != Queued || len(r.ReadyJobs()) != 0 {
		t.Errorf("a held job is %v, %d are to be placed", d.Phase(), len(r.ReadyJobs()))
	}
	// The readiness counts whichever controller wrote it.
	ready := *d
	ready.Ready = true
	r.write(record.KindJob, d.ID, EncodeJob(r.Names, &ready))
	expect(t, "ready", idsOf(r.Releasable()), "")
	expect(t, "to be placed", idsOf(r.ReadyJobs()), "4")
	if len(r.graph.dependents)+len(r.graph.releasable) != 0 {
		t.Errorf("the lists keep %d and %d", len(r.graph.dependents), len(r.graph.releasable))
	}
}

// A record that is written again as it was changes nothing.
func TestHeldTwice(t *testing.T) {
	r := newFixture()
	r.job(1, nil)
	r.job(2, nil, 1)
	r.job(2, nil, 1)
	r.final(1, Done)
	r.final(1, Done)
	expect(t, "held", idsOf(r.Releasable()), "2")
}

func TestDiamondCancelled(t *testing.T) {
	r := newFixture()
	r.job(1, nil)
	r.job(2, nil, 1)
	r.job(3, nil, 1)
	d := r.job(4, nil, 2, 3)
	r.job(5, nil)
	r.job(6, nil, 5)
	r.final(1, Cancelled)
	expect(t, "upstream cancelled", r.upstreamCancelledIDs(), "2 3 4")
	if d.Phase() != Cancelled || r.Job(id(6)).Phase() != Queued {
		t.Errorf("below: %v, beside: %v", d.Phase(), r.Job(id(6)).Phase())
	}
	// One that names a cancelled job, or one below it, comes later.
	r.job(7, nil, 4, 5)
	r.job(8, nil, 7)
	expect(t, "upstream cancelled", r.upstreamCancelledIDs(), "2 3 4 7 8")
	// Once it has its own mark, jobs below it follow from that.
	r.final(7, Cancelled)
	r.write(record.KindJob, id(7), nil)
	r.job(9, nil, 7)
	expect(t, "upstream cancelled", r.upstreamCancelledIDs(), "2 3 4 8 9")
	if r.Job(id(7)) != nil {
		t.Error("a job without a key is kept")
	}
	r.final(5, Done)
	expect(t, "held", idsOf(r.Releasable()), "6")
}

// A cancellation that loses to done leaves the jobs below alone.
func TestLostToDone(t *testing.T) {
	r := newFixture()
	r.job(1, nil)
	r.job(2, nil, 1)
	r.final(1, Done)
	expect(t, "upstream cancelled", r.upstreamCancelledIDs(), "")
	expect(t, "held", idsOf(r.Releasable()), "2")
}

// derivedState shows what follows from the graph for every job.
func (r *fixture) derivedState() string {
	r.inherit()
	var b strings.Builder
	names := make([]string, 0, len(r.byID))
	for id := range r.byID {
		names = append(names, id)
	}
	slices.Sort(names)
	for _, id := range names {
		job := r.byID[id]
		fmt.Fprint(&b, id, " ", job.ModRevision, job.Phase(), job.upstreamCancelled, r.graph.releasable[job])
		if job.Phase() == Queued {
			fmt.Fprint(&b, " ", job.EffectivePriority, job.EffectiveDeadline)
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}

// randomGraph stores jobs with random upstream jobs, some of which end.
func randomGraph(rng *rand.Rand) *fixture {
	r := newFixture()
	const jobs = 60
	for i := 1; i <= jobs; i++ {
		var up []int
		for range rng.IntN(4) {
			if i > 1 {
				up = append(up, 1+rng.IntN(i-1))
			}
		}
		r.job(i, func(job *Job) {
			job.Priority = Priority(rng.IntN(4))
			job.SubmittedAt = 1000_000 + int64(i)
			if rng.IntN(3) == 0 {
				job.Deadline = float64(100 + rng.IntN(100))
			}
			if len(up) > 2 {
				r.writeParts(job, 2)
			}
		}, up...)
		if event := rng.IntN(12); event < 3 && i > 5 {
			r.endJob(1+rng.IntN(i), event == 0)
		}
	}
	return r
}

// writeParts stores a job's list of upstream jobs in two pages, the first of which
// has so many of them.
func (r *fixture) writeParts(job *Job, first int) {
	r.write(record.KindUpstreamPage, job.ID+"/0", record.EncodeUpstreamPages(job.Upstream[:first], 4096)[0])
	modRevision := r.revision
	r.write(record.KindUpstreamPage, job.ID+"/1", record.EncodeUpstreamPages(job.Upstream[first:], 4096)[0])
	job.listInParts(2, modRevision)
}

// endJob marks a job as cancelled, or as done if all its upstream jobs are done.
func (r *fixture) endJob(n int, cancel bool) {
	job := r.Job(id(n))
	if r.Terminal.Has(id(n)) || job == nil {
		return
	}
	switch {
	case cancel:
		r.final(n, Cancelled)
	case (job.Ready || r.graph.releasable[job]) && job.Phase() == Queued:
		r.final(n, Done)
	}
}

// TestAnyOrder: whatever the order in which keys arrive, the same follows, and
// the same as derived from scratch.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := randomGraph(rng)
		want := r.derivedState()
		checkDerived(t, r)
		for range 10 {
			rng.Shuffle(len(r.log), func(a, b int) { r.log[a], r.log[b] = r.log[b], r.log[a] })
			other := newFixture()
			for _, l := range r.log {
				other.HandleChange(l.kind, l.rest, l.data, l.version)
				if rng.IntN(4) == 0 {
					other.inherit()
				}
			}
			if got := other.derivedState(); got != want {
				reportDifferences(t, seed, got, want)
			}
			checkDerived(t, other)
		}
	}
}

// reportDifferences ends the test with the lines that differ.
func reportDifferences(t *testing.T, seed uint64, got, want string) {
	t.Helper()
	a, b := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range b {
		if i >= len(a) || a[i] != b[i] {
			t.Errorf("seed %d: %q, in order %q", seed, a[min(i, len(a)-1)], b[i])
		}
	}
	t.FailNow()
}
