package pipeline

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// limited returns a table whose state service will take values of 2 KiB, with a
// job of 128 tasks that fill a chunk.
func limited(t *testing.T, shape Shape) (*Table, *Job) {
	t.Helper()
	tb, _ := newJob(t, 1)
	tb.config.ValueLimit = 2048
	tb.config.ControllerLabels = []string{"n0", "n1"}
	j := &Job{ID: "req-2", Ready: true, Spec: Spec{TaskCount: 128, Shape: shape, CPUs: 1, Zone: -1}}
	tb.HandleChange(record.KindJob, j.ID, EncodeJob(tb.Names, j), 2)
	return tb, tb.Job(j.ID)
}

func place(tb *Table, j *Job, n int) {
	attempt := uint64(0)
	if j.Shape == Gang {
		attempt = 1
	}
	for task := range n {
		tb.Assign(j, task, tb.Names.Machines.Index(fmt.Sprintf("i-%06d", 100+task)), attempt, 0)
	}
}

func durable(j *Job) (n int) {
	for e := range j.Assignments() {
		if e.durable {
			n++
		}
	}
	return n
}

// While some controllers may not read the compact form, what does not fit waits;
// it is not written over and over, and goes on once all of them do.
func TestLargeRecordWaits(t *testing.T) {
	tb, j := limited(t, Array)
	tb.HandleChange(record.KindVersion, "n0", record.Version, 3)
	q := &queue{}
	place(tb, j, 128)
	now := time.Duration(0)
	flush := func() {
		now += 2 * time.Second
		tb.Flush(now, term, q)
	}
	written := func(revision uint64) string {
		in := q.next(t)
		data := string(in.Writes[0].Data)
		if len(data) > tb.config.ValueLimit {
			t.Fatalf("%d bytes", len(data))
		}
		for _, w := range in.Writes {
			kind, rest := splitKey(w.Key)
			tb.HandleChange(kind, rest, w.Data, revision)
		}
		in.Done(kv.Result{Outcome: kv.Committed, Revision: revision, Now: now})
		return data
	}
	flush()
	if data := written(4); !strings.Contains(data, `"a":[[`) {
		t.Errorf("not plain: %s", data)
	}
	part := durable(j)
	if part < 60 || part > 120 || j.ActiveCount() != 128 || j.UnplacedCount() != 0 {
		t.Errorf("%d of %d stored, %d to place", part, j.ActiveCount(), j.UnplacedCount())
	}
	for range 5 {
		flush()
		for len(q.list) > 0 {
			in := q.list[0]
			q.list = q.list[1:]
			if in.Build(in) {
				t.Fatal("written again with nothing new in it")
			}
			in.Done(kv.Result{Outcome: kv.Aborted, Now: now})
		}
	}
	// Capacity comes free: others take it.
	for task := range 10 {
		tb.RecordCompletion(j, task)
	}
	flush()
	written(5)
	if got := durable(j); got <= part-10 || j.ActiveCount() != 118 {
		t.Errorf("%d of %d stored", got, j.ActiveCount())
	}
	tb.HandleChange(record.KindVersion, "n1", record.Version, 6)
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
	for _, l := range tb.config.ControllerLabels {
		tb.HandleChange(record.KindVersion, l, record.Version, 3)
	}
	q := &queue{}
	place(tb, j, 128)
	tb.Flush(0, term, q)
	carryOut(tb, q.next(t), 4)
	tb.ExpandRecords(2)
	if tb.Flush(time.Second, term, q); len(q.list) != 0 || tb.CompactCount() != 1 {
		t.Errorf("%d writes, %d compact", len(q.list), tb.CompactCount())
	}
	tb.config.ValueLimit = 4096
	tb.ExpandRecords(2)
	tb.Flush(time.Second, term, q)
	carryOut(tb, q.next(t), 5)
	tb.ExpandRecords(2)
	if tb.Flush(2*time.Second, term, q); len(q.list) != 0 || tb.CompactCount() != 0 || durable(j) != 128 {
		t.Errorf("%d writes, %d compact, %d stored", len(q.list), tb.CompactCount(), durable(j))
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
		in.Done(kv.Result{Outcome: kv.Aborted})
	}
	q.list = nil
	for _, l := range tb.config.ControllerLabels {
		tb.HandleChange(record.KindVersion, l, record.Version, 3)
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
		tb := newTable(4)
		tb.config.ValueLimit = 2048
		tb.config.ControllerLabels = []string{"n0"}
		if all {
			tb.HandleChange(record.KindVersion, "n0", record.Version, 1)
		}
		l := stored(t, "production_large.txt")[0]
		if len(l.data) <= tb.config.ValueLimit {
			t.Fatal("the record is not large")
		}
		tb.HandleChange(l.kind, l.rest, l.data, l.version)
		id, _, _ := strings.Cut(l.rest, "/")
		job := &Job{ID: id, Ready: true, Spec: Spec{TaskCount: 10_000, Zone: -1}}
		nameSpec(tb.Names, &job.Spec)
		tb.HandleChange(record.KindJob, id, EncodeJob(tb.Names, job), l.version)
		j := tb.Job(id)
		before := durable(j)
		var one *Assignment
		for e := range j.Assignments() {
			one = e
		}
		tb.RecordCompletion(j, one.Task)
		q := &queue{}
		tb.Flush(0, term, q)
		in := q.next(t)
		if size := len(in.Writes[0].Data); (size <= tb.config.ValueLimit) != all || size > 4096 {
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
	for what, begin := range map[string]func(r *fixture){
		"run record":     func(r *fixture) { r.Assign(r.Job(id(1)), 0, 0, 0, 0) },
		"done mark":      func(r *fixture) { r.RecordCompletion(r.Job(id(1)), 0) },
		"ready mark":     func(r *fixture) { r.final(1, Done) },
		"cancelled mark": func(r *fixture) { r.final(1, Cancelled) },
		"clean-up":       func(r *fixture) { r.final(3, Cancelled) },
	} {
		r := newFixture()
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
				r.WriteReadiness(now, q, everything)
			}
			if what == "cancelled mark" {
				r.WriteCancellations(now, q, everything)
			}
			if what == "clean-up" {
				r.CollectGarbage(now, term, q, 1)
			}
			r.Flush(now, term, q)
			for len(q.list) > 0 {
				in := q.list[0]
				q.list = q.list[1:]
				if in.Build == nil || in.Build(in) {
					attempts++
					in.Done(kv.Result{Outcome: kv.Rejected, Now: now})
				} else {
					in.Done(kv.Result{Outcome: kv.Aborted, Now: now})
				}
			}
		}
		if attempts < 5 || attempts > 2*minutes+8 {
			t.Errorf("%s: %d tries in %d minutes", what, attempts, minutes)
		}
	}
}
