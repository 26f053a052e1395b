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
// job of 128 tasks that fill a segment.
func limited(t *testing.T, shape Shape) (*Table, *Job) {
	t.Helper()
	table, _ := newJob(t, 1)
	table.config.ValueLimit = 2048
	table.config.ControllerLabels = []string{"n0", "n1"}
	job := &Job{ID: "req-2", Ready: true, Spec: Spec{TaskCount: 128, Shape: shape, CPUs: 1, Zone: -1}}
	table.HandleChange(record.KindJob, job.ID, EncodeJob(table.Names, job), 2)
	return table, table.Job(job.ID)
}

func place(table *Table, job *Job, n int) {
	attempt := uint64(0)
	if job.Shape == Gang {
		attempt = 1
	}
	for task := range n {
		table.Assign(job, task, table.Names.Machines.Index(fmt.Sprintf("i-%06d", 100+task)), attempt, 0)
	}
}

func durable(job *Job) (n int) {
	for assignment := range job.Assignments() {
		if assignment.durable {
			n++
		}
	}
	return n
}

// While some controllers may not read the compact form, what does not fit waits;
// it is not written over and over, and goes on once all of them do.
func TestLargeRecordWaits(t *testing.T) {
	table, job := limited(t, Array)
	table.HandleChange(record.KindVersion, "n0", record.Version, 3)
	writes := &queue{}
	place(table, job, 128)
	now := time.Duration(0)
	flush := func() {
		now += 2 * time.Second
		table.Flush(now, term, writes)
	}
	written := func(revision uint64) string {
		txn := writes.next(t)
		data := string(txn.Writes[0].Data)
		if len(data) > table.config.ValueLimit {
			t.Fatalf("%d bytes", len(data))
		}
		for _, w := range txn.Writes {
			kind, rest := splitKey(w.Key)
			table.HandleChange(kind, rest, w.Data, revision)
		}
		txn.Done(kv.Result{Outcome: kv.Committed, Revision: revision, Now: now})
		return data
	}
	flush()
	if data := written(4); !strings.Contains(data, `"a":[[`) {
		t.Errorf("not plain: %s", data)
	}
	part := durable(job)
	if part < 60 || part > 120 || job.ActiveCount() != 128 || job.UnplacedCount() != 0 {
		t.Errorf("%d of %d stored, %d to place", part, job.ActiveCount(), job.UnplacedCount())
	}
	for range 5 {
		flush()
		for len(writes.list) > 0 {
			txn := writes.list[0]
			writes.list = writes.list[1:]
			if txn.Build(txn) {
				t.Fatal("written again with nothing new in it")
			}
			txn.Done(kv.Result{Outcome: kv.Aborted, Now: now})
		}
	}
	// Capacity comes free: others take it.
	for task := range 10 {
		table.RecordCompletion(job, task)
	}
	flush()
	written(5)
	if got := durable(job); got <= part-10 || job.ActiveCount() != 118 {
		t.Errorf("%d of %d stored", got, job.ActiveCount())
	}
	table.HandleChange(record.KindVersion, "n1", record.Version, 6)
	flush()
	if data := written(7); !strings.Contains(data, `"a":"`) {
		t.Errorf("not compact: %s", data)
	}
	if durable(job) != 118 || job.DoneCount() != 10 {
		t.Errorf("%d stored, %d done", durable(job), job.DoneCount())
	}
	flush()
	if len(writes.list) != 0 {
		t.Error("written again with nothing changed")
	}
}

// Once the larger limit counts again what is compact is written plain, without
// any other change.
func TestExpandRecords(t *testing.T) {
	table, job := limited(t, Array)
	for _, l := range table.config.ControllerLabels {
		table.HandleChange(record.KindVersion, l, record.Version, 3)
	}
	writes := &queue{}
	place(table, job, 128)
	table.Flush(0, term, writes)
	carryOut(table, writes.next(t), 4)
	table.ExpandRecords(2)
	if table.Flush(time.Second, term, writes); len(writes.list) != 0 || table.CompactCount() != 1 {
		t.Errorf("%d writes, %d compact", len(writes.list), table.CompactCount())
	}
	table.config.ValueLimit = 4096
	table.ExpandRecords(2)
	table.Flush(time.Second, term, writes)
	carryOut(table, writes.next(t), 5)
	table.ExpandRecords(2)
	if table.Flush(2*time.Second, term, writes); len(writes.list) != 0 || table.CompactCount() != 0 || durable(job) != 128 {
		t.Errorf("%d writes, %d compact, %d stored", len(writes.list), table.CompactCount(), durable(job))
	}
}

// A gang is placed whole or not at all.
func TestLargeGangWaits(t *testing.T) {
	table, job := limited(t, Gang)
	writes := &queue{}
	place(table, job, 128)
	table.Flush(0, term, writes)
	if txn := writes.list[0]; txn.Build(txn) {
		t.Fatalf("written: %s", txn.Writes[0].Data)
	} else {
		txn.Done(kv.Result{Outcome: kv.Aborted})
	}
	writes.list = nil
	for _, l := range table.config.ControllerLabels {
		table.HandleChange(record.KindVersion, l, record.Version, 3)
	}
	table.Flush(2*time.Second, term, writes)
	carryOut(table, writes.next(t), 4)
	if durable(job) != 128 {
		t.Errorf("%d stored", durable(job))
	}
}

// What the version in production has stored beyond the limit to come is read
// and made smaller by the next change, also while another may not read the
// compact form: by then all do, else the larger limit still counts.
func TestLargerRecordStored(t *testing.T) {
	for _, all := range []bool{true, false} {
		table := newTable(4)
		table.config.ValueLimit = 2048
		table.config.ControllerLabels = []string{"n0"}
		if all {
			table.HandleChange(record.KindVersion, "n0", record.Version, 1)
		}
		l := stored(t, "production_large.txt")[0]
		if len(l.data) <= table.config.ValueLimit {
			t.Fatal("the record is not large")
		}
		table.HandleChange(l.kind, l.rest, l.data, l.version)
		id, _, _ := strings.Cut(l.rest, "/")
		job := &Job{ID: id, Ready: true, Spec: Spec{TaskCount: 10_000, Zone: -1}}
		nameSpec(table.Names, &job.Spec)
		table.HandleChange(record.KindJob, id, EncodeJob(table.Names, job), l.version)
		j := table.Job(id)
		before := durable(j)
		var one *Assignment
		for assignment := range j.Assignments() {
			one = assignment
		}
		table.RecordCompletion(j, one.Task)
		writes := &queue{}
		table.Flush(0, term, writes)
		txn := writes.next(t)
		if size := len(txn.Writes[0].Data); (size <= table.config.ValueLimit) != all || size > 4096 {
			t.Errorf("%d bytes, all new: %v", size, all)
		}
		carryOut(table, txn, l.version+1)
		if durable(j) != before-1 || j.DoneCount() != 1 {
			t.Errorf("%d of %d entries, %d done", durable(j), before, j.DoneCount())
		}
	}
}

// A write that the state service calls malformed is tried ever less often, be
// it of a run record, a completion, a readiness or a cancelled one.
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
		writes := &queue{}
		attempts := 0
		const minutes = 10
		for now := time.Duration(0); now < minutes*time.Minute; now += 50 * time.Millisecond {
			if what == "ready mark" {
				r.WriteReadiness(now, writes, everything)
			}
			if what == "cancelled mark" {
				r.WriteCancellations(now, writes, everything)
			}
			if what == "clean-up" {
				r.CollectGarbage(now, term, writes, 1)
			}
			r.Flush(now, term, writes)
			for len(writes.list) > 0 {
				txn := writes.list[0]
				writes.list = writes.list[1:]
				if txn.Build == nil || txn.Build(txn) {
					attempts++
					txn.Done(kv.Result{Outcome: kv.Rejected, Now: now})
				} else {
					txn.Done(kv.Result{Outcome: kv.Aborted, Now: now})
				}
			}
		}
		if attempts < 5 || attempts > 2*minutes+8 {
			t.Errorf("%s: %d tries in %d minutes", what, attempts, minutes)
		}
	}
}
