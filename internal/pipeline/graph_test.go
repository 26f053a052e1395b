package pipeline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"lugward/internal/store"
)

// line is a stored key, for tests that bring a replica about in some order.
type line struct {
	kind, rest string
	data       []byte
	version    uint64
}

// rig is a table together with what is stored.
type rig struct {
	*Table
	revision uint64
	log      []line
}

func newRig() *rig {
	r := &rig{Table: NewTable(&Names{}, 4096, 4)}
	r.Now = int64(time.Second)
	r.SetClock(time.Second, time.Unix(1000, 0)) // steady time 0 is 999 s
	return r
}

func (r *rig) write(kind, rest string, data []byte) {
	r.revision++
	r.log = append(r.log, line{kind, rest, data, r.revision})
	r.Listen(kind, rest, data, r.revision)
}

func id(n int) string { return fmt.Sprintf("req-%06d", n) }

// job stores a held job below others, or one that is ready if there are none.
func (r *rig) job(n int, set func(*Job), up ...int) *Job {
	j := &Job{ID: id(n), Owner: "n0", Ready: len(up) == 0, Spec: Spec{TaskCount: 1, CPUs: 1, Priority: Normal, Zone: -1, EstimatedRuntime: 10}}
	j.Class, j.Team, j.Image = r.Names.Classes.Index("c"), r.Names.Teams.Index("t"), r.Names.Images.Index("b")
	for _, u := range up {
		j.Upstream = append(j.Upstream, id(u))
	}
	if set != nil {
		set(j)
	}
	r.write(JobKey, j.ID, Encode(r.Names, j))
	return r.Job(j.ID)
}

func (r *rig) final(n int, p Phase) {
	j := &Job{Spec: Spec{TaskCount: 1}}
	r.write(FinalKey, id(n), EncodeFinal(p, j))
}

func idsOf(list []*Job) string {
	var s []string
	for _, j := range list {
		s = append(s, strings.TrimLeft(strings.TrimPrefix(j.ID, "req-"), "0"))
	}
	return strings.Join(s, " ")
}

func (r *rig) upstreamCancelledIDs() string { return idsOf(inOrder(r.graph.upstreamCancelled)) }

func expect(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

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

// Ready marks of several owners: only the replica tells that one is through,
// and a write that lost is not tried without end.
func TestMarkReady(t *testing.T) {
	r := newRig()
	r.job(1, nil)
	j := r.job(2, func(j *Job) { j.Submitted = 1000_500 }, 1)
	r.final(1, Done)
	q := &queue{}
	now := 2 * time.Second
	mark := func() { r.MarkReady(now, q, func(*Job) bool { return true }) }
	mark()
	mark()
	if len(q.list) != 1 {
		t.Fatalf("%d writes", len(q.list))
	}
	in := q.next(t)
	if !slices.Contains(in.Conditions, store.Condition{Key: JobKeyOf(j.ID), Version: j.Version}) || !slices.Contains(in.Conditions, store.Condition{Key: FinalKeyOf(j.ID)}) {
		t.Errorf("conditions %v", in.Conditions)
	}
	in.Done(store.Result{Outcome: store.Conflict, Now: now})
	mark()
	if len(q.list) != 0 {
		t.Error("tried again at once")
	}
	now += time.Second
	mark()
	r.revision++
	carryOut(r.Table, q.next(t), r.revision)
	mark()
	if len(q.list) != 0 || !j.Ready || j.Submitted != 1000_500 || j.ReadyAt != 1002_000 {
		t.Errorf("%d writes, ready %v, submitted %d, ready at %d", len(q.list), j.Ready, j.Submitted, j.ReadyAt)
	}
}

// However wide, the marks go out a few at a time, each within the limits, and
// a successor finishes what its predecessor began.
func TestWideCancellation(t *testing.T) {
	const n = 500
	r := newRig()
	r.job(1, nil)
	for i := range n {
		r.job(10+i, nil, 1)
	}
	r.final(1, Cancelled)
	q := &queue{}
	everything := func(*Job) bool { return true }
	marked, now := 0, time.Duration(0)
	step := func(r *rig) {
		now += time.Second
		r.MarkUpstreamCancelled(now, q, everything)
		r.MarkUpstreamCancelled(now, q, everything)
		if len(q.list) > maxCancelMarks {
			t.Fatalf("%d at a time", len(q.list))
		}
		for i := 0; len(q.list) > 0; i++ {
			in := q.next(t)
			if len(in.Writes) > 4 || len(in.Conditions) > 16 {
				t.Fatalf("%d writes, %d conditions", len(in.Writes), len(in.Conditions))
			}
			if i%3 == 2 {
				in.Done(store.Result{Outcome: store.Unknown, Now: now})
				continue
			}
			r.revision++
			for _, w := range in.Writes {
				kind, rest := store.SplitKey(w.Key)
				r.log = append(r.log, line{kind, rest, w.Data, r.revision})
			}
			carryOut(r.Table, in, r.revision)
			marked++
		}
	}
	for range 10 {
		step(r)
	}
	after := newRig()
	for _, l := range r.log {
		after.Listen(l.kind, l.rest, l.data, l.version)
	}
	after.revision, after.log = r.revision, r.log
	if len(after.graph.upstreamCancelled) != n-marked || marked == 0 {
		t.Fatalf("%d marked, %d left to the successor", marked, len(after.graph.upstreamCancelled))
	}
	for range n {
		step(after)
	}
	for i := range n {
		if after.Finals[id(10+i)].Phase != Cancelled || after.Job(id(10+i)) != nil {
			t.Fatalf("job %d is left", i)
		}
	}
	if marked != n || len(after.graph.queue) > maxCancelMarks {
		t.Errorf("%d marks for %d jobs, %d queued", marked, n, len(after.graph.queue))
	}
}

// Jobs of others are left to them.
func TestMarkUpstreamCancelledOurs(t *testing.T) {
	r := newRig()
	r.job(1, nil)
	r.job(2, func(j *Job) { j.Owner = "n1" }, 1)
	r.job(3, nil, 1)
	r.final(1, Cancelled)
	q := &queue{}
	r.MarkUpstreamCancelled(time.Second, q, func(j *Job) bool { return j.Owner == "n0" })
	if len(q.list) != 1 || q.list[0].Writes[0].Key != FinalKeyOf(id(3)) {
		t.Errorf("%d marks", len(q.list))
	}
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

// checkDerived compares effective values with the plain definition.
func checkDerived(t *testing.T, r *rig) {
	t.Helper()
	r.inherit()
	var derive func(j *Job) (Priority, int64)
	derive = func(j *Job) (Priority, int64) {
		priority, deadline := j.Priority, j.deadlineAt
		for _, d := range r.byID {
			if d.Ready || d.Final != Queued || d.upstreamCancelled || !slices.Contains(d.linkedUpstream, j.ID) {
				continue
			}
			dr, dd := derive(d)
			priority = max(priority, dr)
			if dd != NoDeadline {
				deadline = min(deadline, dd-int64(d.EstimatedRuntime*1e9))
			}
		}
		return priority, deadline
	}
	for _, j := range r.byID {
		if j.Final != Queued || j.upstreamCancelled {
			continue
		}
		if priority, deadline := derive(j); priority != j.EffectivePriority || deadline != j.EffectiveDeadline {
			t.Errorf("%s has %v and %v, want %v and %v", j.ID, j.EffectivePriority, j.EffectiveDeadline, priority, deadline)
		}
	}
}

// The last job of a pipeline comes late and raises what still waits or runs;
// when it is cancelled they fall back.
func TestInherit(t *testing.T) {
	r := newRig()
	a := r.job(1, func(j *Job) { j.Priority = Idle })
	b := r.job(2, func(j *Job) { j.Priority = Idle }, 1)
	c := r.job(3, nil, 1)
	if r.inherit(); a.EffectivePriority != Normal || a.EffectiveDeadline != NoDeadline || b.EffectivePriority != Idle {
		t.Errorf("%v %v %v", a.EffectivePriority, a.EffectiveDeadline, b.EffectivePriority)
	}
	last := r.job(4, func(j *Job) { j.Priority, j.Deadline, j.Submitted = High, 100, 1000_000 }, 2, 3)
	r.inherit()
	// Submitted a second after steady time 0, due 100 s later.
	deadline := int64(101 * time.Second)
	step := int64(10 * time.Second)
	if a.EffectivePriority != High || b.EffectivePriority != High || c.EffectivePriority != High || last.EffectiveDeadline != deadline || b.EffectiveDeadline != deadline-step || a.EffectiveDeadline != deadline-2*step {
		t.Errorf("%v %v %v; %d %d %d", a.EffectivePriority, b.EffectivePriority, c.EffectivePriority, last.EffectiveDeadline, b.EffectiveDeadline, a.EffectiveDeadline)
	}
	if a.Priority != Idle || a.Deadline != 0 || !a.Chained {
		t.Errorf("what the user gave has changed: %v, %v", a.Priority, a.Deadline)
	}
	r.final(4, Cancelled)
	if r.inherit(); a.EffectivePriority != Normal || b.EffectivePriority != Idle || a.EffectiveDeadline != NoDeadline || c.EffectiveDeadline != NoDeadline {
		t.Errorf("after the cancellation %v %v %v %v", a.EffectivePriority, b.EffectivePriority, a.EffectiveDeadline, c.EffectiveDeadline)
	}
	checkDerived(t, r)
}

// A chain of thousands and a ladder of diamonds, in which paths are without
// number, are walked once.
func TestDeep(t *testing.T) {
	r := newRig()
	const n = 4000
	r.job(1, nil)
	for i := 2; i <= n; i++ {
		r.job(i, nil, i-1, max(1, i-2))
	}
	r.inherit()
	r.job(n+1, func(j *Job) { j.Priority, j.Deadline, j.Submitted = Production, 1e6, 1000_000 }, n)
	r.inherit()
	if root := r.Job(id(1)); root.EffectivePriority != Production || root.EffectiveDeadline != int64((1e6+1-10*n)*1e9) {
		t.Errorf("the root has %v and %v", root.EffectivePriority, root.EffectiveDeadline)
	}
	r.final(1, Cancelled)
	if len(r.graph.upstreamCancelled) != n || len(r.graph.dependents) != 0 || r.Job(id(n+1)).Phase() != Cancelled {
		t.Errorf("%d upstream cancelled, %d lists", len(r.graph.upstreamCancelled), len(r.graph.dependents))
	}
}

// Waiting counts from readiness and the deadline from submission, whoever
// takes over and whenever.
func TestTimesSurvive(t *testing.T) {
	r := newRig()
	r.Now = int64(50 * time.Second)
	r.SetClock(50*time.Second, time.Unix(5000, 0)) // steady time 0 is 4950 s
	j := r.job(1, func(j *Job) { j.Submitted, j.ReadyAt, j.Deadline = 4900_000, 4960_000, 100 })
	if j.ReadySince != int64(10*time.Second) || j.EffectiveDeadline != int64(50*time.Second) {
		t.Errorf("ready since %v, due at %v", time.Duration(j.ReadySince), time.Duration(j.EffectiveDeadline))
	}
	j = r.job(2, func(j *Job) { j.Submitted, j.Deadline = 4900_000, 100 })
	if j.ReadySince != int64(-50*time.Second) || j.ReadyAt != 4900_000 {
		t.Errorf("ready since %v, at %d", time.Duration(j.ReadySince), j.ReadyAt)
	}
	// A clock that is ahead puts nothing into the future, an old record tells nothing.
	for _, at := range []int64{9000_000, 0} {
		if j = r.job(3+int(at), func(j *Job) { j.Submitted, j.Deadline = at, 100 }); j.ReadySince != r.Now || j.EffectiveDeadline != r.Now+int64(100*time.Second) {
			t.Errorf("at %d: ready since %v, due at %v", at, time.Duration(j.ReadySince), time.Duration(j.EffectiveDeadline))
		}
	}
}

func TestEncodeParts(t *testing.T) {
	var list []string
	for i := range 900 {
		list = append(list, fmt.Sprintf("req-%d", i*i*i*i))
	}
	var back []string
	for _, p := range EncodeParts(list, 2048) {
		if len(p) > 2048 {
			t.Errorf("a part of %d bytes", len(p))
		}
		got, ok := decodePart(p)
		if !ok {
			t.Fatalf("%s", p)
		}
		back = append(back, got...)
	}
	if !slices.Equal(list, back) {
		t.Error("not the same list")
	}
}

// A job whose list is not whole, or is still that of an older attempt, is
// neither ready nor judged.
func TestPartsOfAttempts(t *testing.T) {
	r := newRig()
	r.job(1, nil)
	r.job(2, nil)
	r.final(1, Cancelled)
	r.final(2, Done)
	p := func(n int) []byte { return EncodeParts([]string{id(n)}, 4096)[0] }
	r.write(PartKey, id(5)+"/0", p(1)) // abandoned
	r.write(PartKey, id(5)+"/1", p(1))
	old := r.revision
	r.revision += 10
	j := r.job(5, func(j *Job) { j.Upstream, j.UpstreamParts, j.SubmissionVersion = nil, 2, old+3 }, 9)
	if j.linked || j.upstreamCancelled || len(r.Releasable()) != 0 {
		t.Fatal("judged by an abandoned list")
	}
	r.Listen(PartKey, id(5)+"/0", p(2), old+3)
	if j.linked {
		t.Fatal("judged by half a list")
	}
	r.Listen(PartKey, id(5)+"/1", p(2), old+4)
	expect(t, "held", idsOf(r.Releasable()), "5")
	// The list may go once it is ready; what was linked stays linked till then.
	r.Listen(PartKey, id(5)+"/0", nil, r.revision+1)
	expect(t, "held", idsOf(r.Releasable()), "5")
}

func TestDeleteStaleParts(t *testing.T) {
	r := newRig()
	part := EncodeParts([]string{id(1)}, 4096)[0]
	r.job(1, nil)
	for _, k := range []string{"/0", "/1", "/2"} {
		r.write(PartKey, id(2)+k, part) // left behind
	}
	first := r.graph.parts[id(2)].held[0].version
	r.write(PartKey, id(3)+"/0", part)
	held := r.job(3, func(j *Job) { j.Upstream, j.UpstreamParts, j.SubmissionVersion = nil, 1, r.revision }, 1)
	q := &queue{}
	r.DeleteStaleParts(time.Minute, term, q)
	if len(q.list) != 0 {
		t.Fatalf("%d drops of what is young or needed", len(q.list))
	}
	r.DeleteStaleParts(2*time.Minute, term, q)
	r.DeleteStaleParts(2*time.Minute, term, q)
	if len(q.list) != 1 || q.list[0].Writes[0].Key != PartKeyOf(id(2), 0) ||
		!slices.Contains(q.list[0].Conditions, store.Condition{Key: PartKeyOf(id(2), 0), Version: first}) || !slices.Contains(q.list[0].Conditions, store.Condition{Key: JobKeyOf(id(2))}) {
		t.Fatalf("%d drops", len(q.list))
	}
	carryOut(r.Table, q.next(t), r.revision+1)
	r.DeleteStaleParts(2*time.Minute, term, q)
	if len(q.list) != 2 || !slices.Contains(q.list[0].Conditions, store.Condition{Key: PartKeyOf(id(2), 0)}) {
		t.Fatalf("%d drops", len(q.list))
	}
	carryOut(r.Table, q.next(t), r.revision+2)
	carryOut(r.Table, q.next(t), r.revision+3)
	if r.graph.parts[id(2)] != nil || !held.linked {
		t.Error("not all dropped, or too much")
	}
	ready := *held
	ready.Ready, ready.UpstreamParts, ready.SubmissionVersion = true, 0, 0
	r.revision += 5
	r.write(JobKey, held.ID, Encode(r.Names, &ready))
	r.DeleteStaleParts(2*time.Minute, term, q)
	carryOut(r.Table, q.next(t), r.revision+1)
	if len(r.graph.parts) != 0 {
		t.Error("the list of a ready job is kept")
	}
}

// Many jobs that are freed at once are marked a few at a time, the most
// important first.
func TestWideReady(t *testing.T) {
	r := newRig()
	r.job(1, nil)
	for i := range 200 {
		r.job(10+i, func(j *Job) { j.Priority = Idle }, 1)
	}
	r.job(300, func(j *Job) { j.Priority = High }, 209)
	r.final(1, Done)
	q := &queue{}
	r.MarkReady(time.Second, q, func(*Job) bool { return true })
	r.MarkReady(time.Second, q, func(*Job) bool { return true })
	if len(q.list) != maxReadyMarks || q.list[0].Writes[0].Key != JobKeyOf(id(209)) || q.list[1].Writes[0].Key != JobKeyOf(id(10)) {
		t.Errorf("%d marks, first %s", len(q.list), q.list[0].Writes[0].Key)
	}
	marked := 0
	for now := 2 * time.Second; len(q.list) > 0; now += time.Second {
		for len(q.list) > 0 {
			r.revision++
			carryOut(r.Table, q.next(t), r.revision)
			marked++
		}
		r.MarkReady(now, q, func(*Job) bool { return true })
	}
	if marked != 200 || len(r.graph.releasable) != 0 {
		t.Errorf("%d marked, %d left", marked, len(r.graph.releasable))
	}
}
