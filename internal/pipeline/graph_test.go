package pipeline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

func TestDiamondReady(t *testing.T) {
	r := newRig()
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
	if d.Phase() != Queued || len(r.Unfinished()) != 0 {
		t.Errorf("a held job is %v, %d are to be placed", d.Phase(), len(r.Unfinished()))
	}
	// Whoever writes the ready mark: it shows.
	ready := *d
	ready.Ready = true
	r.write(JobKey, d.ID, Encode(r.Names, &ready))
	expect(t, "ready", idsOf(r.Releasable()), "")
	expect(t, "to be placed", idsOf(r.Unfinished()), "4")
	if len(r.graph.dependents)+len(r.graph.releasable) != 0 {
		t.Errorf("the lists keep %d and %d", len(r.graph.dependents), len(r.graph.releasable))
	}
}

// A record that is written again as it was changes nothing.
func TestHeldTwice(t *testing.T) {
	r := newRig()
	r.job(1, nil)
	r.job(2, nil, 1)
	r.job(2, nil, 1)
	r.final(1, Done)
	r.final(1, Done)
	expect(t, "held", idsOf(r.Releasable()), "2")
}

func TestDiamondCancelled(t *testing.T) {
	r := newRig()
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
	// Its own mark settles it; what comes below it is judged by that.
	r.final(7, Cancelled)
	r.write(JobKey, id(7), nil)
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
	r := newRig()
	r.job(1, nil)
	r.job(2, nil, 1)
	r.final(1, Done)
	expect(t, "upstream cancelled", r.upstreamCancelledIDs(), "")
	expect(t, "held", idsOf(r.Releasable()), "2")
}

// verdicts tells what follows from the graph for every job.
func (r *rig) verdicts() string {
	r.inherit()
	var b strings.Builder
	var names []string
	for id := range r.byID {
		names = append(names, id)
	}
	slices.Sort(names)
	for _, id := range names {
		j := r.byID[id]
		fmt.Fprint(&b, id, " ", j.Version, j.Phase(), j.upstreamCancelled, r.graph.releasable[j])
		if j.Phase() == Queued {
			fmt.Fprint(&b, " ", j.EffectivePriority, j.EffectiveDeadline)
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}

// TestAnyOrder: whatever the order in which keys arrive, the same follows, and
// the same as derived from scratch.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := newRig()
		const n = 60
		for i := 1; i <= n; i++ {
			var up []int
			for range rng.IntN(4) {
				if i > 1 {
					up = append(up, 1+rng.IntN(i-1))
				}
			}
			r.job(i, func(j *Job) {
				j.Priority = Priority(rng.IntN(4))
				j.Submitted = 1000_000 + int64(i)
				if rng.IntN(3) == 0 {
					j.Deadline = float64(100 + rng.IntN(100))
				}
				if len(up) > 2 {
					r.write(PartKey, j.ID+"/0", EncodeParts(j.Upstream[:2], 4096)[0])
					j.SubmissionVersion = r.revision
					r.write(PartKey, j.ID+"/1", EncodeParts(j.Upstream[2:], 4096)[0])
					j.Upstream, j.UpstreamParts = nil, 2
				}
			}, up...)
			if v := rng.IntN(12); v < 3 && i > 5 {
				// Of a job that may be over: all that it needs is done.
				over := 1 + rng.IntN(i)
				j := r.Job(id(over))
				if _, ok := r.Finals[id(over)]; !ok && j != nil && v == 0 {
					r.final(over, Cancelled)
				} else if !ok && j != nil && (j.Ready || r.graph.releasable[j]) && j.Phase() == Queued {
					r.final(over, Done)
				}
			}
		}
		want := r.verdicts()
		checkDerived(t, r)
		for range 10 {
			rng.Shuffle(len(r.log), func(a, b int) { r.log[a], r.log[b] = r.log[b], r.log[a] })
			o := newRig()
			for _, l := range r.log {
				o.Listen(l.kind, l.rest, l.data, l.version)
				if rng.IntN(4) == 0 {
					o.inherit()
				}
			}
			if got := o.verdicts(); got != want {
				a, b := strings.Split(got, "\n"), strings.Split(want, "\n")
				for i := range b {
					if i >= len(a) || a[i] != b[i] {
						t.Errorf("seed %d: %q, in order %q", seed, a[min(i, len(a)-1)], b[i])
					}
				}
				t.FailNow()
			}
			checkDerived(t, o)
		}
	}
}
