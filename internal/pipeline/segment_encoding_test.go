package pipeline

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// newLimitedTable returns a table whose state service will take values of 2 KiB, with a
// job of 128 tasks that fill a segment.
func newLimitedTable(t *testing.T, shape Shape) (*Table, *Job) {
	t.Helper()
	table, _ := newJob(t, 1)
	table.config.ValueLimit = 2048
	table.config.ControllerLabels = []string{"n0", "n1"}
	job := &Job{ID: "req-2", Ready: true, Spec: Spec{TaskCount: 128, Shape: shape, CPUs: 1, Zone: AnyZone}}
	table.HandleChange(record.KindJob, job.ID, EncodeJob(table.Names, job), 2)
	return table, table.Job(job.ID)
}

func assignTasks(table *Table, job *Job, n int) {
	attempt := uint64(0)
	if job.Shape == Gang {
		attempt = 1
	}
	for task := range n {
		table.Assign(job, task, table.Names.Machines.Index(fmt.Sprintf("i-%06d", 100+task)), attempt, 0)
	}
}

func countDurable(job *Job) (n int) {
	for assignment := range job.Assignments() {
		if assignment.durable {
			n++
		}
	}
	return n
}

// flusher flushes a table every two seconds and carries out its writes.
type flusher struct {
	*testing.T
	table *Table
	txns  txnQueue
	now   time.Duration
}

func (f *flusher) flush() {
	f.now += 2 * time.Second
	f.table.Flush(f.now, term, &f.txns)
}

// flushWritten flushes, carries out the write and returns what it has stored.
func (f *flusher) flushWritten(revision uint64) string {
	f.Helper()
	f.flush()
	txn := f.txns.next(f.T)
	data := string(txn.Writes[0].Data)
	if len(data) > f.table.config.ValueLimit {
		f.Fatalf("%d bytes", len(data))
	}
	commitAt(f.table, txn, revision, f.now)
	return data
}

// flushNothing flushes and checks that no write has anything to say.
func (f *flusher) flushNothing() {
	f.Helper()
	f.flush()
	for len(f.txns.list) > 0 {
		txn := f.txns.list[0]
		f.txns.list = f.txns.list[1:]
		if txn.Build(txn) {
			f.Fatal("written again with nothing new in it")
		}
		txn.Done(kv.Result{Outcome: kv.Aborted, Now: f.now})
	}
}

// While some controllers may not read the compact form, what does not fit waits;
// it is not written over and over, and goes on once all of them do.
func TestLargeRecordWaits(t *testing.T) {
	table, job := newLimitedTable(t, Array)
	table.HandleChange(record.KindVersion, "n0", record.Version, 3)
	assignTasks(table, job, 128)
	flusher := &flusher{T: t, table: table}
	if data := flusher.flushWritten(4); !strings.Contains(data, `"a":[[`) {
		t.Errorf("not plain: %s", data)
	}
	fitting := countDurable(job)
	if fitting < 60 || fitting > 120 || job.ActiveCount() != 128 || job.UnplacedCount() != 0 {
		t.Errorf("%d of %d stored, %d to place", fitting, job.ActiveCount(), job.UnplacedCount())
	}
	for range 5 {
		flusher.flushNothing()
	}
	// Completed tasks make room: others take it.
	for task := range 10 {
		table.RecordCompletion(job, task)
	}
	flusher.flushWritten(5)
	if got := countDurable(job); got <= fitting-10 || job.ActiveCount() != 118 {
		t.Errorf("%d of %d stored", got, job.ActiveCount())
	}
	table.HandleChange(record.KindVersion, "n1", record.Version, 6)
	if data := flusher.flushWritten(7); !strings.Contains(data, `"a":"`) {
		t.Errorf("not compact: %s", data)
	}
	if countDurable(job) != 118 || job.DoneCount() != 10 {
		t.Errorf("%d stored, %d done", countDurable(job), job.DoneCount())
	}
	flusher.flush()
	if len(flusher.txns.list) != 0 {
		t.Error("written again with nothing changed")
	}
}

// Once the larger limit counts again what is compact is written plain, without
// any other change.
func TestExpandRecords(t *testing.T) {
	table, job := newLimitedTable(t, Array)
	for _, label := range table.config.ControllerLabels {
		table.HandleChange(record.KindVersion, label, record.Version, 3)
	}
	txns := &txnQueue{}
	assignTasks(table, job, 128)
	table.Flush(0, term, txns)
	commit(table, txns.next(t), 4)
	table.ExpandRecords(2)
	if table.Flush(time.Second, term, txns); len(txns.list) != 0 || table.CompactCount() != 1 {
		t.Errorf("%d writes, %d compact", len(txns.list), table.CompactCount())
	}
	table.config.ValueLimit = 4096
	table.ExpandRecords(2)
	table.Flush(time.Second, term, txns)
	commit(table, txns.next(t), 5)
	table.ExpandRecords(2)
	if table.Flush(2*time.Second, term, txns); len(txns.list) != 0 || table.CompactCount() != 0 || countDurable(job) != 128 {
		t.Errorf("%d writes, %d compact, %d stored", len(txns.list), table.CompactCount(), countDurable(job))
	}
}

// A gang is placed whole or not at all.
func TestLargeGangWaits(t *testing.T) {
	table, job := newLimitedTable(t, Gang)
	txns := &txnQueue{}
	assignTasks(table, job, 128)
	table.Flush(0, term, txns)
	if txn := txns.list[0]; txn.Build(txn) {
		t.Fatalf("written: %s", txn.Writes[0].Data)
	} else {
		txn.Done(kv.Result{Outcome: kv.Aborted})
	}
	txns.list = nil
	for _, label := range table.config.ControllerLabels {
		table.HandleChange(record.KindVersion, label, record.Version, 3)
	}
	table.Flush(2*time.Second, term, txns)
	commit(table, txns.next(t), 4)
	if countDurable(job) != 128 {
		t.Errorf("%d stored", countDurable(job))
	}
}

// What the version in production has stored beyond the limit to come is read
// and made smaller by the next change, also while another may not read the
// compact form: by then all do, else the larger limit still counts.
func TestLargerRecordStored(t *testing.T) {
	for _, test := range []struct {
		name     string
		upgraded bool
	}{
		{"all controllers read the compact form", true},
		{"another controller may not read it", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(4)
			table.config.ValueLimit = 2048
			table.config.ControllerLabels = []string{"n0"}
			if test.upgraded {
				table.HandleChange(record.KindVersion, "n0", record.Version, 1)
			}
			stored := readChanges(t, "production_large.txt")[0]
			if len(stored.data) <= table.config.ValueLimit {
				t.Fatal("the record is not large")
			}
			job := storeLargeJob(table, stored)
			before := countDurable(job)
			for assignment := range job.Assignments() {
				table.RecordCompletion(job, assignment.Task)
				break
			}
			txns := &txnQueue{}
			table.Flush(0, term, txns)
			txn := txns.next(t)
			if size := len(txn.Writes[0].Data); (size <= table.config.ValueLimit) != test.upgraded || size > testValueBytes {
				t.Errorf("%d bytes", size)
			}
			commit(table, txn, stored.modRevision+1)
			if countDurable(job) != before-1 || job.DoneCount() != 1 {
				t.Errorf("%d of %d assignments, %d done", countDurable(job), before, job.DoneCount())
			}
		})
	}
}

// storeLargeJob has a table take a run record and the record of its job.
func storeLargeJob(table *Table, run change) *Job {
	table.HandleChange(run.kind, run.rest, run.data, run.modRevision)
	id, _, _ := strings.Cut(run.rest, "/")
	job := &Job{ID: id, Ready: true, Spec: Spec{TaskCount: 10_000, Zone: AnyZone}}
	nameSpec(table.Names, &job.Spec)
	table.HandleChange(record.KindJob, id, EncodeJob(table.Names, job), run.modRevision)
	return table.Job(id)
}
