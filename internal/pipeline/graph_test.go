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
	stamp      uint64
}

// rig is a table together with what is stored.
type rig struct {
	*Table
	epoch uint64
	log   []line
}

func newRig() *rig {
	r := &rig{Table: NewTable(&Names{}, 4096, 4)}
	r.Now = int64(time.Second)
	r.SetClock(time.Second, time.Unix(1000, 0)) // steady time 0 is 999 s
	return r
}

func (r *rig) write(kind, rest string, data []byte) {
	r.epoch++
	r.log = append(r.log, line{kind, rest, data, r.epoch})
	r.Listen(kind, rest, data, r.epoch)
}

func id(n int) string { return fmt.Sprintf("req-%06d", n) }

// job stores a held job below others, or one that is ready if there are none.
func (r *rig) job(n int, set func(*Job), up ...int) *Job {
	j := &Job{ID: id(n), Owner: "n0", Ready: len(up) == 0, Spec: Spec{N: 1, Cores: 1, Rank: Normal, Zone: -1, Expect: 10}}
	j.Class, j.Team, j.Bundle = r.Names.Classes.Index("c"), r.Names.Teams.Index("t"), r.Names.Bundles.Index("b")
	for _, u := range up {
		j.Up = append(j.Up, id(u))
	}
	if set != nil {
		set(j)
	}
	r.write(JobKey, j.ID, Encode(r.Names, j))
	return r.Job(j.ID)
}

func (r *rig) final(n int, p Phase) {
	j := &Job{Spec: Spec{N: 1}}
	r.write(FinalKey, id(n), EncodeFinal(p, j))
}

func idsOf(list []*Job) string {
	var s []string
	for _, j := range list {
		s = append(s, strings.TrimLeft(strings.TrimPrefix(j.ID, "req-"), "0"))
	}
	return strings.Join(s, " ")
}

func (r *rig) doomedIDs() string { return idsOf(inOrder(r.graph.doomed)) }

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
	expect(t, "before", idsOf(r.Held()), "")
	r.final(1, Done)
	expect(t, "first done", idsOf(r.Held()), "2 3")
	r.final(2, Done)
	expect(t, "second done", idsOf(r.Held()), "3")
	r.final(3, Done)
	expect(t, "all done", idsOf(r.Held()), "4")
	if d.Phase() != Queued || len(r.Unfinished()) != 0 {
		t.Errorf("a held job is %v, %d are to be placed", d.Phase(), len(r.Unfinished()))
	}
	// Whoever writes the ready mark: it shows.
	ready := *d
	ready.Ready = true
	r.write(JobKey, d.ID, Encode(r.Names, &ready))
	expect(t, "ready", idsOf(r.Held()), "")
	expect(t, "to be placed", idsOf(r.Unfinished()), "4")
	if len(r.graph.needs)+len(r.graph.free) != 0 {
		t.Errorf("the lists keep %d and %d", len(r.graph.needs), len(r.graph.free))
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
	expect(t, "held", idsOf(r.Held()), "2")
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
	expect(t, "doomed", r.doomedIDs(), "2 3 4")
	if d.Phase() != Cancelled || r.Job(id(6)).Phase() != Queued {
		t.Errorf("below: %v, beside: %v", d.Phase(), r.Job(id(6)).Phase())
	}
	// One that names a cancelled job, or one below it, comes later.
	r.job(7, nil, 4, 5)
	r.job(8, nil, 7)
	expect(t, "doomed", r.doomedIDs(), "2 3 4 7 8")
	// Its own mark settles it; what comes below it is judged by that.
	r.final(7, Cancelled)
	r.write(JobKey, id(7), nil)
	r.job(9, nil, 7)
	expect(t, "doomed", r.doomedIDs(), "2 3 4 8 9")
	if r.Job(id(7)) != nil {
		t.Error("a job without a key is kept")
	}
	r.final(5, Done)
	expect(t, "held", idsOf(r.Held()), "6")
}

// A cancellation that loses to done leaves the jobs below alone.
func TestLostToDone(t *testing.T) {
	r := newRig()
	r.job(1, nil)
	r.job(2, nil, 1)
	r.final(1, Done)
	expect(t, "doomed", r.doomedIDs(), "")
	expect(t, "held", idsOf(r.Held()), "2")
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
	if !slices.Contains(in.Conds, store.Cond{Key: JobKeyOf(j.ID), Stamp: j.Stamp}) || !slices.Contains(in.Conds, store.Cond{Key: FinalKeyOf(j.ID)}) {
		t.Errorf("conditions %v", in.Conds)
	}
	in.Done(store.Result{Outcome: store.Conflict, Now: now})
	mark()
	if len(q.list) != 0 {
		t.Error("tried again at once")
	}
	now += time.Second
	mark()
	r.epoch++
	carryOut(r.Table, q.next(t), r.epoch)
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
		r.MarkDoomed(now, q, everything)
		r.MarkDoomed(now, q, everything)
		if len(q.list) > mostMarking {
			t.Fatalf("%d at a time", len(q.list))
		}
		for i := 0; len(q.list) > 0; i++ {
			in := q.next(t)
			if len(in.Writes) > 4 || len(in.Conds) > 16 {
				t.Fatalf("%d writes, %d conditions", len(in.Writes), len(in.Conds))
			}
			if i%3 == 2 {
				in.Done(store.Result{Outcome: store.Unknown, Now: now})
				continue
			}
			r.epoch++
			for _, w := range in.Writes {
				kind, rest := store.SplitKey(w.Key)
				r.log = append(r.log, line{kind, rest, w.Data, r.epoch})
			}
			carryOut(r.Table, in, r.epoch)
			marked++
		}
	}
	for range 10 {
		step(r)
	}
	after := newRig()
	for _, l := range r.log {
		after.Listen(l.kind, l.rest, l.data, l.stamp)
	}
	after.epoch, after.log = r.epoch, r.log
	if len(after.graph.doomed) != n-marked || marked == 0 {
		t.Fatalf("%d marked, %d left to the successor", marked, len(after.graph.doomed))
	}
	for range n {
		step(after)
	}
	for i := range n {
		if after.Finals[id(10+i)].Phase != Cancelled || after.Job(id(10+i)) != nil {
			t.Fatalf("job %d is left", i)
		}
	}
	if marked != n || len(after.graph.queue) > mostMarking {
		t.Errorf("%d marks for %d jobs, %d queued", marked, n, len(after.graph.queue))
	}
}

// Jobs of others are left to them.
func TestMarkDoomedOurs(t *testing.T) {
	r := newRig()
	r.job(1, nil)
	r.job(2, func(j *Job) { j.Owner = "n1" }, 1)
	r.job(3, nil, 1)
	r.final(1, Cancelled)
	q := &queue{}
	r.MarkDoomed(time.Second, q, func(j *Job) bool { return j.Owner == "n0" })
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
		fmt.Fprint(&b, id, " ", j.Stamp, j.Phase(), j.doomed, r.graph.free[j])
		if j.Phase() == Queued {
			fmt.Fprint(&b, " ", j.EffRank, j.EffDue)
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
				j.Rank = Rank(rng.IntN(4))
				j.Submitted = 1000_000 + int64(i)
				if rng.IntN(3) == 0 {
					j.Due = float64(100 + rng.IntN(100))
				}
				if len(up) > 2 {
					r.write(PartKey, j.ID+"/0", EncodeParts(j.Up[:2], 4096)[0])
					j.Attempt = r.epoch
					r.write(PartKey, j.ID+"/1", EncodeParts(j.Up[2:], 4096)[0])
					j.Up, j.Parts = nil, 2
				}
			}, up...)
			if v := rng.IntN(12); v < 3 && i > 5 {
				// Of a job that may be over: all that it needs is done.
				over := 1 + rng.IntN(i)
				j := r.Job(id(over))
				if _, ok := r.Finals[id(over)]; !ok && j != nil && v == 0 {
					r.final(over, Cancelled)
				} else if !ok && j != nil && (j.Ready || r.graph.free[j]) && j.Phase() == Queued {
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
				o.Listen(l.kind, l.rest, l.data, l.stamp)
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
	var derive func(j *Job) (Rank, int64)
	derive = func(j *Job) (Rank, int64) {
		rank, due := j.Rank, j.dueAt
		for _, d := range r.byID {
			if d.Ready || d.Final != Queued || d.doomed || !slices.Contains(d.waits, j.ID) {
				continue
			}
			dr, dd := derive(d)
			rank = max(rank, dr)
			if dd != NoDue {
				due = min(due, dd-int64(d.Expect*1e9))
			}
		}
		return rank, due
	}
	for _, j := range r.byID {
		if j.Final != Queued || j.doomed {
			continue
		}
		if rank, due := derive(j); rank != j.EffRank || due != j.EffDue {
			t.Errorf("%s has %v and %v, want %v and %v", j.ID, j.EffRank, j.EffDue, rank, due)
		}
	}
}

// The last job of a pipeline comes late and raises what still waits or runs;
// when it is cancelled they fall back.
func TestInherit(t *testing.T) {
	r := newRig()
	a := r.job(1, func(j *Job) { j.Rank = Idle })
	b := r.job(2, func(j *Job) { j.Rank = Idle }, 1)
	c := r.job(3, nil, 1)
	if r.inherit(); a.EffRank != Normal || a.EffDue != NoDue || b.EffRank != Idle {
		t.Errorf("%v %v %v", a.EffRank, a.EffDue, b.EffRank)
	}
	last := r.job(4, func(j *Job) { j.Rank, j.Due, j.Submitted = High, 100, 1000_000 }, 2, 3)
	r.inherit()
	// Submitted a second after steady time 0, due 100 s later.
	due := int64(101 * time.Second)
	step := int64(10 * time.Second)
	if a.EffRank != High || b.EffRank != High || c.EffRank != High || last.EffDue != due || b.EffDue != due-step || a.EffDue != due-2*step {
		t.Errorf("%v %v %v; %d %d %d", a.EffRank, b.EffRank, c.EffRank, last.EffDue, b.EffDue, a.EffDue)
	}
	if a.Rank != Idle || a.Due != 0 || !a.Chained {
		t.Errorf("what the user gave has changed: %v, %v", a.Rank, a.Due)
	}
	r.final(4, Cancelled)
	if r.inherit(); a.EffRank != Normal || b.EffRank != Idle || a.EffDue != NoDue || c.EffDue != NoDue {
		t.Errorf("after the cancellation %v %v %v %v", a.EffRank, b.EffRank, a.EffDue, c.EffDue)
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
	r.job(n+1, func(j *Job) { j.Rank, j.Due, j.Submitted = Production, 1e6, 1000_000 }, n)
	r.inherit()
	if root := r.Job(id(1)); root.EffRank != Production || root.EffDue != int64((1e6+1-10*n)*1e9) {
		t.Errorf("the root has %v and %v", root.EffRank, root.EffDue)
	}
	r.final(1, Cancelled)
	if len(r.graph.doomed) != n || len(r.graph.needs) != 0 || r.Job(id(n+1)).Phase() != Cancelled {
		t.Errorf("%d doomed, %d lists", len(r.graph.doomed), len(r.graph.needs))
	}
}

// Waiting counts from readiness and the deadline from submission, whoever
// takes over and whenever.
func TestTimesSurvive(t *testing.T) {
	r := newRig()
	r.Now = int64(50 * time.Second)
	r.SetClock(50*time.Second, time.Unix(5000, 0)) // steady time 0 is 4950 s
	j := r.job(1, func(j *Job) { j.Submitted, j.ReadyAt, j.Due = 4900_000, 4960_000, 100 })
	if j.FirstSeen != int64(10*time.Second) || j.EffDue != int64(50*time.Second) {
		t.Errorf("ready since %v, due at %v", time.Duration(j.FirstSeen), time.Duration(j.EffDue))
	}
	j = r.job(2, func(j *Job) { j.Submitted, j.Due = 4900_000, 100 })
	if j.FirstSeen != int64(-50*time.Second) || j.ReadyAt != 4900_000 {
		t.Errorf("ready since %v, at %d", time.Duration(j.FirstSeen), j.ReadyAt)
	}
	// A clock that is ahead puts nothing into the future, an old record tells nothing.
	for _, at := range []int64{9000_000, 0} {
		if j = r.job(3+int(at), func(j *Job) { j.Submitted, j.Due = at, 100 }); j.FirstSeen != r.Now || j.EffDue != r.Now+int64(100*time.Second) {
			t.Errorf("at %d: ready since %v, due at %v", at, time.Duration(j.FirstSeen), time.Duration(j.EffDue))
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
	old := r.epoch
	r.epoch += 10
	j := r.job(5, func(j *Job) { j.Up, j.Parts, j.Attempt = nil, 2, old+3 }, 9)
	if j.linked || j.doomed || len(r.Held()) != 0 {
		t.Fatal("judged by an abandoned list")
	}
	r.Listen(PartKey, id(5)+"/0", p(2), old+3)
	if j.linked {
		t.Fatal("judged by half a list")
	}
	r.Listen(PartKey, id(5)+"/1", p(2), old+4)
	expect(t, "held", idsOf(r.Held()), "5")
	// The list may go once it is ready; what was linked stays linked till then.
	r.Listen(PartKey, id(5)+"/0", nil, r.epoch+1)
	expect(t, "held", idsOf(r.Held()), "5")
}

func TestCutParts(t *testing.T) {
	r := newRig()
	part := EncodeParts([]string{id(1)}, 4096)[0]
	r.job(1, nil)
	for _, k := range []string{"/0", "/1", "/2"} {
		r.write(PartKey, id(2)+k, part) // left behind
	}
	first := r.graph.parts[id(2)].held[0].stamp
	r.write(PartKey, id(3)+"/0", part)
	held := r.job(3, func(j *Job) { j.Up, j.Parts, j.Attempt = nil, 1, r.epoch }, 1)
	q := &queue{}
	r.CutParts(time.Minute, term, q)
	if len(q.list) != 0 {
		t.Fatalf("%d drops of what is young or needed", len(q.list))
	}
	r.CutParts(2*time.Minute, term, q)
	r.CutParts(2*time.Minute, term, q)
	if len(q.list) != 1 || q.list[0].Writes[0].Key != PartKeyOf(id(2), 0) ||
		!slices.Contains(q.list[0].Conds, store.Cond{Key: PartKeyOf(id(2), 0), Stamp: first}) || !slices.Contains(q.list[0].Conds, store.Cond{Key: JobKeyOf(id(2))}) {
		t.Fatalf("%d drops", len(q.list))
	}
	carryOut(r.Table, q.next(t), r.epoch+1)
	r.CutParts(2*time.Minute, term, q)
	if len(q.list) != 2 || !slices.Contains(q.list[0].Conds, store.Cond{Key: PartKeyOf(id(2), 0)}) {
		t.Fatalf("%d drops", len(q.list))
	}
	carryOut(r.Table, q.next(t), r.epoch+2)
	carryOut(r.Table, q.next(t), r.epoch+3)
	if r.graph.parts[id(2)] != nil || !held.linked {
		t.Error("not all dropped, or too much")
	}
	ready := *held
	ready.Ready, ready.Parts, ready.Attempt = true, 0, 0
	r.epoch += 5
	r.write(JobKey, held.ID, Encode(r.Names, &ready))
	r.CutParts(2*time.Minute, term, q)
	carryOut(r.Table, q.next(t), r.epoch+1)
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
		r.job(10+i, func(j *Job) { j.Rank = Idle }, 1)
	}
	r.job(300, func(j *Job) { j.Rank = High }, 209)
	r.final(1, Done)
	q := &queue{}
	r.MarkReady(time.Second, q, func(*Job) bool { return true })
	r.MarkReady(time.Second, q, func(*Job) bool { return true })
	if len(q.list) != mostReadying || q.list[0].Writes[0].Key != JobKeyOf(id(209)) || q.list[1].Writes[0].Key != JobKeyOf(id(10)) {
		t.Errorf("%d marks, first %s", len(q.list), q.list[0].Writes[0].Key)
	}
	marked := 0
	for now := 2 * time.Second; len(q.list) > 0; now += time.Second {
		for len(q.list) > 0 {
			r.epoch++
			carryOut(r.Table, q.next(t), r.epoch)
			marked++
		}
		r.MarkReady(now, q, func(*Job) bool { return true })
	}
	if marked != 200 || len(r.graph.free) != 0 {
		t.Errorf("%d marked, %d left", marked, len(r.graph.free))
	}
}
