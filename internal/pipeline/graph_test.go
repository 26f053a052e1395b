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
	expect(t, "releasable jobs before any upstream job is done", idsOf(f.Releasable()), "")
	f.storeTerminal(1, Done)
	expect(t, "releasable jobs after job 1 is done", idsOf(f.Releasable()), "2 3")
	f.storeTerminal(2, Done)
	expect(t, "releasable jobs after job 2 is done", idsOf(f.Releasable()), "3")
	f.storeTerminal(3, Done)
	expect(t, "releasable jobs after job 3 is done", idsOf(f.Releasable()), "4")
	if d.Phase() != Queued || len(f.ReadyJobs()) != 0 {
		t.Errorf("held job: phase = %v, %d ready jobs, want phase %v and 0 ready jobs", d.Phase(), len(f.ReadyJobs()), Queued)
	}
	// The readiness takes effect regardless of which controller wrote it.
	ready := *d
	ready.Ready = true
	f.store(record.KindJob, d.ID, EncodeJob(f.Names, &ready))
	expect(t, "releasable jobs after the readiness is persisted", idsOf(f.Releasable()), "")
	expect(t, "ready jobs after the readiness is persisted", idsOf(f.ReadyJobs()), "4")
	if f.graph.entries+f.graph.references+len(f.graph.releasable) != 0 {
		t.Errorf("graph has %d dependents, %d references and %d releasable jobs, want none", f.graph.entries, f.graph.references, len(f.graph.releasable))
	}
}

// Writing a record again with the same content has no effect.
func TestHeldTwice(t *testing.T) {
	f := newFixture()
	f.addJob(1, nil)
	f.addJob(2, nil, 1)
	f.addJob(2, nil, 1)
	f.storeTerminal(1, Done)
	f.storeTerminal(1, Done)
	expect(t, "releasable jobs", idsOf(f.Releasable()), "2")
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
	expect(t, "jobs downstream of cancelled job 1", f.upstreamCancelledIDs(), "2 3 4")
	if d.Phase() != Cancelled || f.Job(id(6)).Phase() != Queued {
		t.Errorf("job 4 is in phase %v, job 6 in phase %v, want %v and %v", d.Phase(), f.Job(id(6)).Phase(), Cancelled, Queued)
	}
	// Jobs that depend on a cancelled job, directly or indirectly, are submitted later.
	f.addJob(7, nil, 4, 5)
	f.addJob(8, nil, 7)
	expect(t, "jobs downstream of cancelled job 1, with later jobs", f.upstreamCancelledIDs(), "2 3 4 7 8")
	// Once job 7 has its own terminal record, its later dependents are cancelled because
	// of that record.
	f.storeTerminal(7, Cancelled)
	f.store(record.KindJob, id(7), nil)
	f.addJob(9, nil, 7)
	expect(t, "jobs downstream after job 7 is cancelled", f.upstreamCancelledIDs(), "2 3 4 8 9")
	if f.Job(id(7)) != nil {
		t.Errorf("Job(%s) is not nil after its records were deleted", id(7))
	}
	f.storeTerminal(5, Done)
	expect(t, "releasable jobs after job 5 is done", idsOf(f.Releasable()), "6")
}

// A job that is done does not cancel its dependents, even if a cancellation of the job was
// requested but the completion was written first.
func TestLostToDone(t *testing.T) {
	f := newFixture()
	f.addJob(1, nil)
	f.addJob(2, nil, 1)
	f.storeTerminal(1, Done)
	expect(t, "jobs downstream of a cancelled job", f.upstreamCancelledIDs(), "")
	expect(t, "releasable jobs", idsOf(f.Releasable()), "2")
}

// derivedState describes the state of every job that is derived from the graph.
func (f *fixture) derivedState() string {
	f.updateEffectiveValues()
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

// randomGraph returns a fixture with jobs that have random upstream jobs, some of which
// have ended.
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

// storePages stores a job's list of upstream jobs in two pages, the first with the given
// number of jobs.
func (f *fixture) storePages(job *Job, first int) {
	f.store(record.KindUpstreamPage, job.ID+"/0", record.EncodeUpstreamPages(job.Upstream[:first], 4096)[0])
	modRevision := f.revision
	f.store(record.KindUpstreamPage, job.ID+"/1", record.EncodeUpstreamPages(job.Upstream[first:], 4096)[0])
	job.usePages(2, modRevision)
}

// maybeEnd cancels an unfinished job if cancel is true. Otherwise it completes the job if
// all of its upstream jobs are done.
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

// TestAnyOrder checks that the derived state does not depend on the order in which changes
// arrive, and equals the state derived from scratch.
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
					other.updateEffectiveValues()
				}
			}
			if got := other.derivedState(); got != want {
				reportDifferences(t, seed, got, want)
			}
			checkDerived(t, other)
		}
	}
}

// reportDifferences reports the lines that differ and ends the test.
func reportDifferences(t *testing.T, seed uint64, got, want string) {
	t.Helper()
	a, b := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range b {
		if i >= len(a) || a[i] != b[i] {
			t.Errorf("seed %d: derived state after shuffled changes has line %q, want %q", seed, a[min(i, len(a)-1)], b[i])
		}
	}
	t.FailNow()
}
