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
	f := newFixture()
	f.addJob(1, nil)
	f.addJob(2, nil, 1)
	f.addJob(3, nil, 1, 1)
	d := f.addJob(4, nil, 2, 3)
	expect(t, "before", idsOf(f.Releasable()), "")
	f.storeTerminal(1, Done)
	expect(t, "first done", idsOf(f.Releasable()), "2 3")
	f.storeTerminal(2, Done)
	expect(t, "second done", idsOf(f.Releasable()), "3")
	f.storeTerminal(3, Done)
	expect(t, "all done", idsOf(f.Releasable()), "4")
	if d.Phase() != Queued || len(f.ReadyJobs()) != 0 {
		t.Errorf("a held job is %v, %d are to be placed", d.Phase(), len(f.ReadyJobs()))
	}
	// The readiness counts whichever controller wrote it.
	ready := *d
	ready.Ready = true
	f.store(record.KindJob, d.ID, EncodeJob(f.Names, &ready))
	expect(t, "ready", idsOf(f.Releasable()), "")
	expect(t, "to be placed", idsOf(f.ReadyJobs()), "4")
	if len(f.graph.dependents)+len(f.graph.releasable) != 0 {
		t.Errorf("the lists keep %d and %d", len(f.graph.dependents), len(f.graph.releasable))
	}
}

// A record that is written again as it was changes nothing.
func TestHeldTwice(t *testing.T) {
	f := newFixture()
	f.addJob(1, nil)
	f.addJob(2, nil, 1)
	f.addJob(2, nil, 1)
	f.storeTerminal(1, Done)
	f.storeTerminal(1, Done)
	expect(t, "held", idsOf(f.Releasable()), "2")
}

func TestDiamondCancelled(t *testing.T) {
	f := newFixture()
	f.addJob(1, nil)
	f.addJob(2, nil, 1)
	f.addJob(3, nil, 1)
	d := f.addJob(4, nil, 2, 3)
	f.addJob(5, nil)
	f.addJob(6, nil, 5)
	f.storeTerminal(1, Cancelled)
	expect(t, "upstream cancelled", f.upstreamCancelledIDs(), "2 3 4")
	if d.Phase() != Cancelled || f.Job(id(6)).Phase() != Queued {
		t.Errorf("below: %v, beside: %v", d.Phase(), f.Job(id(6)).Phase())
	}
	// One that names a cancelled job, or one below it, comes later.
	f.addJob(7, nil, 4, 5)
	f.addJob(8, nil, 7)
	expect(t, "upstream cancelled", f.upstreamCancelledIDs(), "2 3 4 7 8")
	// Once its own terminal record is stored, its dependents follow from that.
	f.storeTerminal(7, Cancelled)
	f.store(record.KindJob, id(7), nil)
	f.addJob(9, nil, 7)
	expect(t, "upstream cancelled", f.upstreamCancelledIDs(), "2 3 4 8 9")
	if f.Job(id(7)) != nil {
		t.Error("a job without a key is kept")
	}
	f.storeTerminal(5, Done)
	expect(t, "held", idsOf(f.Releasable()), "6")
}

// A cancellation that loses to done leaves the jobs below alone.
func TestLostToDone(t *testing.T) {
	f := newFixture()
	f.addJob(1, nil)
	f.addJob(2, nil, 1)
	f.storeTerminal(1, Done)
	expect(t, "upstream cancelled", f.upstreamCancelledIDs(), "")
	expect(t, "held", idsOf(f.Releasable()), "2")
}

// derivedState shows what follows from the graph for every job.
func (f *fixture) derivedState() string {
	f.inherit()
	var b strings.Builder
	names := make([]string, 0, len(f.byID))
	for id := range f.byID {
		names = append(names, id)
	}
	slices.Sort(names)
	for _, id := range names {
		job := f.byID[id]
		fmt.Fprint(&b, id, " ", job.ModRevision, job.Phase(), job.upstreamCancelled, f.graph.releasable[job])
		if job.Phase() == Queued {
			fmt.Fprint(&b, " ", job.EffectivePriority, job.EffectiveDeadline)
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}

// randomGraph stores jobs with random upstream jobs, some of which end.
func randomGraph(rng *rand.Rand) *fixture {
	f := newFixture()
	const jobs = 60
	for i := 1; i <= jobs; i++ {
		var up []int
		for range rng.IntN(4) {
			if i > 1 {
				up = append(up, 1+rng.IntN(i-1))
			}
		}
		f.addJob(i, func(job *Job) {
			job.Priority = Priority(rng.IntN(4))
			job.SubmittedAt = 1000_000 + int64(i)
			if rng.IntN(3) == 0 {
				job.Deadline = float64(100 + rng.IntN(100))
			}
			if len(up) > 2 {
				f.storePages(job, 2)
			}
		}, up...)
		if event := rng.IntN(12); event < 3 && i > 5 {
			f.maybeEnd(1+rng.IntN(i), event == 0)
		}
	}
	return f
}

// storePages stores a job's list of upstream jobs in two pages, the first of which
// has so many of them.
func (f *fixture) storePages(job *Job, first int) {
	f.store(record.KindUpstreamPage, job.ID+"/0", record.EncodeUpstreamPages(job.Upstream[:first], 4096)[0])
	modRevision := f.revision
	f.store(record.KindUpstreamPage, job.ID+"/1", record.EncodeUpstreamPages(job.Upstream[first:], 4096)[0])
	job.usePages(2, modRevision)
}

// maybeEnd cancels a job, or completes it if all its upstream jobs are done.
func (f *fixture) maybeEnd(n int, cancel bool) {
	job := f.Job(id(n))
	if f.Terminal.Has(id(n)) || job == nil {
		return
	}
	switch {
	case cancel:
		f.storeTerminal(n, Cancelled)
	case (job.Ready || f.graph.releasable[job]) && job.Phase() == Queued:
		f.storeTerminal(n, Done)
	}
}

// TestAnyOrder: whatever the order in which keys arrive, the same follows, and
// the same as derived from scratch.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := randomGraph(rng)
		want := f.derivedState()
		checkDerived(t, f)
		for range 10 {
			rng.Shuffle(len(f.log), func(a, b int) { f.log[a], f.log[b] = f.log[b], f.log[a] })
			other := newFixture()
			for _, stored := range f.log {
				other.HandleChange(stored.kind, stored.rest, stored.data, stored.modRevision)
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
