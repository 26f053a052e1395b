package pipeline

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"lugward/internal/store"
)

// roundTrip checks that a compact record says the same as a plain one.
func roundTrip(t *testing.T, n *Names, active []*Entry) (size int) {
	t.Helper()
	plain := encodeRun(n, 7, nil, active, plainFormat)
	small := encodeRun(n, 7, nil, active, compactFormat)
	_, _, want, isSmall, ok1 := decodeRun(plain, 16)
	_, _, got, small2, ok2 := decodeRun(small, 16)
	byTask := func(a, b runEntry) int { return a.task - b.task }
	slices.SortFunc(got, byTask)
	if !ok1 || !ok2 || isSmall || !small2 || !reflect.DeepEqual(got, want) {
		t.Fatalf("%s\nis not\n%s", small, plain)
	}
	return len(small)
}

func TestCompact(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		n := &Names{}
		form := []string{"i-%06d", "%d", "x%d@+:,-y", "ü%d"}[rng.IntN(4)]
		first, next := 1024*rng.IntN(90), uint64(0)
		var active []*Entry
		for task := range 1 + rng.IntN(256) {
			if next++; rng.IntN(5) == 0 {
				next = rng.Uint64N(300)
			}
			attempt := next
			if rng.IntN(3) == 0 {
				attempt = 3
			}
			if rng.IntN(4) > 0 {
				machine := n.Machines.Index(fmt.Sprintf(form, rng.IntN(1+rng.IntN(100))))
				active = append(active, &Entry{Task: first + task, Machine: machine, Attempt: attempt})
			}
		}
		if len(active) > 0 {
			roundTrip(t, n, active)
		}
	}
}

// The largest chunks at hand fit half of what they were laid out for, however
// their tasks are spread.
func TestCompactSize(t *testing.T) {
	for _, c := range []struct {
		what    string
		n       int
		machine func(task int) int
		attempt func(task int) uint64
		most    int
	}{
		{"each on a machine of its own", 128, func(t int) int { return 100 + t*7 }, func(t int) uint64 { return uint64(t + 1) }, 2048},
		{"and placed again in any order", 128, func(t int) int { return 100 + t*7 }, func(t int) uint64 { return uint64(200 + t*37%128) }, 2048},
		{"an array of 256, four to a machine", 256, func(t int) int { return 100 + t/4 }, func(t int) uint64 { return uint64(t + 1) }, 1024},
		{"a gang of 256", 256, func(t int) int { return 100 + t }, func(int) uint64 { return 4 }, 2048},
	} {
		n := &Names{}
		var active []*Entry
		for task := range c.n {
			active = append(active, &Entry{Task: task, Machine: n.Machines.Index(fmt.Sprintf("i-%06d", c.machine(task))), Attempt: c.attempt(task)})
		}
		if size := roundTrip(t, n, active); size > c.most {
			t.Errorf("%s: %d bytes", c.what, size)
		}
	}
}

// Every rule of the compact format is the answer to some chunk.
func TestCompactRules(t *testing.T) {
	for want, attempts := range map[string][]uint64{
		"@4 i-1 0-3:":       {4, 4, 4, 4},
		"+1 i-1 0-3:":       {1, 2, 3, 4},
		"@4 i-1 0-2,3@9:":   {4, 4, 4, 9},
		"@4 i-1 0-2,3-4@9:": {4, 4, 4, 9, 9},
		"@4 i-1 0-2,3-4+9:": {4, 4, 4, 9, 10},
		"+1 i-1 0-2,3-4@9:": {1, 2, 3, 9, 9},
		"+1 i-1 0-2,3-4+9:": {1, 2, 3, 9, 10},
	} {
		n := &Names{}
		machine := n.Machines.Index("i-1")
		var active []*Entry
		for task, attempt := range attempts {
			active = append(active, &Entry{Task: task, Machine: machine, Attempt: attempt})
		}
		expect(t, "compact", compact(n, active), want)
		roundTrip(t, n, active)
	}
}

func TestExpandDamaged(t *testing.T) {
	good := "@1 i- 0-3,5@2:7 6+9:8"
	if list, ok := expand(good); !ok || len(list) != 6 {
		t.Fatalf("%v", list)
	}
	for _, bad := range []string{"", "@1", "1 i-", "@ i- 0:1", "@1 i- 0", "@1 i- :1", "@1 i- 3-1:1", "@1 i- 0-zzz:1", "@1 i- 0@:1", "@1 i- 0@-1:1", "@1  0:", "+-5 i- 0:1", "@1 i- 0-:1", "@1 i- +1:1"} {
		if list, ok := expand(bad); ok {
			t.Errorf("%q is read as %v", bad, list)
		}
	}
}

// limited is a table whose state service will take values of 2 KiB, with an
// array of 128 tasks that fill a chunk.
func limited(t *testing.T, shape Shape) (*Table, *Job) {
	t.Helper()
	tb, _ := newJob(t, 1)
	tb.ValueLimit, tb.Labels = 2048, []string{"n0", "n1"}
	j := &Job{ID: "req-2", Ready: true, Spec: Spec{TaskCount: 128, Shape: shape, CPUs: 1, Zone: -1}}
	tb.Listen(JobKey, j.ID, Encode(tb.Names, j), 2)
	return tb, tb.Job(j.ID)
}

func place(tb *Table, j *Job, n int) {
	attempt := uint64(0)
	if j.Shape == Gang {
		attempt = 1
	}
	for task := range n {
		tb.Place(j, task, tb.Names.Machines.Index(fmt.Sprintf("i-%06d", 100+task)), attempt, 0)
	}
}

func durable(j *Job) (n int) {
	j.Entries(func(e *Entry) {
		if e.Durable {
			n++
		}
	})
	return n
}

// While some controllers may not read the compact form, what does not fit waits;
// it is not written over and over, and goes on once all of them do.
func TestLargeRecordWaits(t *testing.T) {
	tb, j := limited(t, Array)
	tb.Listen(VersionKey, "n0", Version, 3)
	q := &queue{}
	place(tb, j, 128)
	now := time.Duration(0)
	flush := func() { now += 2 * time.Second; tb.Flush(now, term, q) }
	written := func(revision uint64) string {
		in := q.next(t)
		data := string(in.Writes[0].Data)
		if len(data) > tb.ValueLimit {
			t.Fatalf("%d bytes", len(data))
		}
		for _, w := range in.Writes {
			kind, rest := store.SplitKey(w.Key)
			tb.Listen(kind, rest, w.Data, revision)
		}
		in.Done(store.Result{Outcome: store.OK, Revision: revision, Now: now})
		return data
	}
	flush()
	if data := written(4); !strings.Contains(data, `"a":[[`) {
		t.Errorf("not plain: %s", data)
	}
	part := durable(j)
	if part < 60 || part > 120 || j.Active() != 128 || j.OpenCount() != 0 {
		t.Errorf("%d of %d stored, %d to place", part, j.Active(), j.OpenCount())
	}
	for range 5 {
		flush()
		for len(q.list) > 0 {
			in := q.list[0]
			q.list = q.list[1:]
			if in.Build(in) {
				t.Fatal("written again with nothing new in it")
			}
			in.Done(store.Result{Outcome: store.Refused, Now: now})
		}
	}
	// Capacity comes free: others take it.
	for task := range 10 {
		tb.MarkDone(j, task)
	}
	flush()
	written(5)
	if got := durable(j); got <= part-10 || j.Active() != 118 {
		t.Errorf("%d of %d stored", got, j.Active())
	}
	tb.Listen(VersionKey, "n1", Version, 6)
	flush()
	if data := written(7); !strings.Contains(data, `"a":"`) {
		t.Errorf("not compact: %s", data)
	}
	if durable(j) != 118 || j.DoneCount() != 10 {
		t.Errorf("%d stored, %d done", durable(j), j.DoneCount())
	}
	flush()
	if len(q.list) != 0 {
		t.Error("written again with nothing changed")
	}
}

// Once the larger limit counts again what is compact is written plain, without
// any other change.
func TestExpandRecords(t *testing.T) {
	tb, j := limited(t, Array)
	for _, l := range tb.Labels {
		tb.Listen(VersionKey, l, Version, 3)
	}
	q := &queue{}
	place(tb, j, 128)
	tb.Flush(0, term, q)
	carryOut(tb, q.next(t), 4)
	tb.ExpandRecords(2)
	if tb.Flush(time.Second, term, q); len(q.list) != 0 || tb.Compact() != 1 {
		t.Errorf("%d writes, %d compact", len(q.list), tb.Compact())
	}
	tb.ValueLimit = 4096
	tb.ExpandRecords(2)
	tb.Flush(time.Second, term, q)
	carryOut(tb, q.next(t), 5)
	tb.ExpandRecords(2)
	if tb.Flush(2*time.Second, term, q); len(q.list) != 0 || tb.Compact() != 0 || durable(j) != 128 {
		t.Errorf("%d writes, %d compact, %d stored", len(q.list), tb.Compact(), durable(j))
	}
}

// A gang is placed whole or not at all.
func TestLargeGangWaits(t *testing.T) {
	tb, j := limited(t, Gang)
	q := &queue{}
	place(tb, j, 128)
	tb.Flush(0, term, q)
	if in := q.list[0]; in.Build(in) {
		t.Fatalf("written: %s", in.Writes[0].Data)
	} else {
		in.Done(store.Result{Outcome: store.Refused})
	}
	q.list = nil
	for _, l := range tb.Labels {
		tb.Listen(VersionKey, l, Version, 3)
	}
	tb.Flush(2*time.Second, term, q)
	carryOut(tb, q.next(t), 4)
	if durable(j) != 128 {
		t.Errorf("%d stored", durable(j))
	}
}

// What the version in production has stored beyond the limit to come is read
// and made smaller by the next change, also while another may not read the
// compact form: by then all do, else the larger limit still counts.
func TestLargerRecordStored(t *testing.T) {
	for _, all := range []bool{true, false} {
		tb := NewTable(&Names{}, 4096, 4)
		tb.ValueLimit, tb.Labels = 2048, []string{"n0"}
		if all {
			tb.Listen(VersionKey, "n0", Version, 1)
		}
		l := stored(t, "production_large.txt")[0]
		if len(l.data) <= tb.ValueLimit {
			t.Fatal("the record is not large")
		}
		tb.Listen(l.kind, l.rest, l.data, l.version)
		id, _, _ := strings.Cut(l.rest, "/")
		job := &Job{ID: id, Ready: true, Spec: Spec{TaskCount: 10_000, Zone: -1}}
		job.Class, job.Team, job.Image = tb.Names.Classes.Index("c"), tb.Names.Teams.Index("t"), tb.Names.Images.Index("b")
		tb.Listen(JobKey, id, Encode(tb.Names, job), l.version)
		j := tb.Job(id)
		before := durable(j)
		var one *Entry
		j.Entries(func(e *Entry) { one = e })
		tb.MarkDone(j, one.Task)
		q := &queue{}
		tb.Flush(0, term, q)
		in := q.next(t)
		if size := len(in.Writes[0].Data); (size <= tb.ValueLimit) != all || size > 4096 {
			t.Errorf("%d bytes, all new: %v", size, all)
		}
		carryOut(tb, in, l.version+1)
		if durable(j) != before-1 || j.DoneCount() != 1 {
			t.Errorf("%d of %d entries, %d done", durable(j), before, j.DoneCount())
		}
	}
}

// A write that the state service calls malformed is tried ever less often, be
// it of a run record, a done mark, a ready mark or a cancelled one.
func TestMalformedWrites(t *testing.T) {
	everything := func(*Job) bool { return true }
	for what, begin := range map[string]func(r *rig){
		"run record":     func(r *rig) { r.Place(r.Job(id(1)), 0, 0, 0, 0) },
		"done mark":      func(r *rig) { r.MarkDone(r.Job(id(1)), 0) },
		"ready mark":     func(r *rig) { r.final(1, Done) },
		"cancelled mark": func(r *rig) { r.final(1, Cancelled) },
		"clean-up":       func(r *rig) { r.final(3, Cancelled) },
	} {
		r := newRig()
		r.Names.Machines.Index("i-1")
		r.job(1, nil)
		r.job(2, nil, 1)
		r.job(3, nil)
		begin(r)
		q := &queue{}
		attempts := 0
		const minutes = 10
		for now := time.Duration(0); now < minutes*time.Minute; now += 50 * time.Millisecond {
			if what == "ready mark" {
				r.MarkReady(now, q, everything)
			}
			if what == "cancelled mark" {
				r.MarkUpstreamCancelled(now, q, everything)
			}
			if what == "clean-up" {
				r.Clean(now, term, q, 1)
			}
			r.Flush(now, term, q)
			for len(q.list) > 0 {
				in := q.list[0]
				q.list = q.list[1:]
				if in.Build == nil || in.Build(in) {
					attempts++
					in.Done(store.Result{Outcome: store.Refused, Invalid: true, Now: now})
				} else {
					in.Done(store.Result{Outcome: store.Refused, Now: now})
				}
			}
		}
		if attempts < 5 || attempts > 2*minutes+8 {
			t.Errorf("%s: %d tries in %d minutes", what, attempts, minutes)
		}
	}
}
