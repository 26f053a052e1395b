package pipeline

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// newLimitedTable returns a table with a value size limit of 2 KiB and a job of 128 tasks,
// which fill a segment.
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

func countPersisted(job *Job) (n int) {
	for assignment := range job.Assignments() {
		if assignment.persisted {
			n++
		}
	}
	return n
}

// flusher flushes a table every two seconds and commits its writes.
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

// flushAndCommit flushes, commits the write and returns the written value.
func (f *flusher) flushAndCommit(revision uint64) string {
	f.Helper()
	f.flush()
	txn := f.txns.next(f.T)
	data := string(txn.Writes[0].Data)
	if len(data) > f.table.config.ValueLimit {
		f.Fatalf("Flush wrote a value of %d bytes, which exceeds the limit", len(data))
	}
	commitAt(f.table, txn, revision, f.now)
	return data
}

// flushExpectingNoWrite flushes and checks that no queued write has any content.
func (f *flusher) flushExpectingNoWrite() {
	f.Helper()
	f.flush()
	for len(f.txns.list) > 0 {
		txn := f.txns.list[0]
		f.txns.list = f.txns.list[1:]
		if txn.Build(txn) {
			f.Fatal("Flush wrote a record that has not changed, want no write")
		}
		txn.Done(kv.Result{Outcome: kv.Aborted, Now: f.now})
	}
}

// While some controllers may not be able to read the compact format, placements that exceed
// the value size limit are deferred. The record is not written again and again meanwhile. The
// placements are written once all controllers can read the compact format.
func TestLargeRecordWaits(t *testing.T) {
	table, job := newLimitedTable(t, Array)
	table.HandleChange(record.KindVersion, "n0", record.VersionValue, 3)
	assignTasks(table, job, 128)
	flusher := &flusher{T: t, table: table}
	if data := flusher.flushAndCommit(4); !strings.Contains(data, `"a":[[`) {
		t.Errorf("Flush wrote %s, want the plain format", data)
	}
	fitting := countPersisted(job)
	if fitting < 60 || fitting > 120 || job.ActiveCount() != 128 || job.UnassignedCount() != 0 {
		t.Errorf("%d of %d assignments are persisted and %d tasks unassigned, want 60 to 120 of 128 and 0", fitting, job.ActiveCount(), job.UnassignedCount())
	}
	for range 5 {
		flusher.flushExpectingNoWrite()
	}
	// Completed tasks free space for deferred placements.
	for task := range 10 {
		table.RecordCompletion(job, task)
	}
	flusher.flushAndCommit(5)
	if got := countPersisted(job); got <= fitting-10 || job.ActiveCount() != 118 {
		t.Errorf("after 10 completions %d of %d assignments are persisted, want more of 118", got, job.ActiveCount())
	}
	table.HandleChange(record.KindVersion, "n1", record.VersionValue, 6)
	if data := flusher.flushAndCommit(7); !strings.Contains(data, `"a":"`) {
		t.Errorf("Flush wrote %s, want the compact format", data)
	}
	if countPersisted(job) != 118 || job.DoneCount() != 10 {
		t.Errorf("%d assignments are persisted and %d tasks done, want 118 and 10", countPersisted(job), job.DoneCount())
	}
	flusher.flush()
	if len(flusher.txns.list) != 0 {
		t.Error("Flush queued a write without a change, want none")
	}
}

// Once the larger value size limit applies again, compact records are rewritten in the plain
// format even if their content has not changed.
func TestExpandRecords(t *testing.T) {
	table, job := newLimitedTable(t, Array)
	for _, label := range table.config.ControllerLabels {
		table.HandleChange(record.KindVersion, label, record.VersionValue, 3)
	}
	txns := &txnQueue{}
	assignTasks(table, job, 128)
	table.Flush(0, term, txns)
	commit(table, txns.next(t), 4)
	table.ExpandRecords(2)
	if table.Flush(time.Second, term, txns); len(txns.list) != 0 || table.CompactCount() != 1 {
		t.Errorf("with the smaller limit Flush queued %d writes with %d compact records, want 0 and 1", len(txns.list), table.CompactCount())
	}
	table.config.ValueLimit = 4096
	table.ExpandRecords(2)
	table.Flush(time.Second, term, txns)
	commit(table, txns.next(t), 5)
	table.ExpandRecords(2)
	if table.Flush(2*time.Second, term, txns); len(txns.list) != 0 || table.CompactCount() != 0 || countPersisted(job) != 128 {
		t.Errorf("with the larger limit Flush queued %d writes with %d compact records and %d persisted assignments, want 0, 0 and 128", len(txns.list), table.CompactCount(), countPersisted(job))
	}
}

// The placements of a gang are written all together or not at all.
func TestLargeGangWaits(t *testing.T) {
	table, job := newLimitedTable(t, Gang)
	txns := &txnQueue{}
	assignTasks(table, job, 128)
	table.Flush(0, term, txns)
	if txn := txns.list[0]; txn.Build(txn) {
		t.Fatalf("Flush wrote %s, want no write while the gang does not fit", txn.Writes[0].Data)
	} else {
		txn.Done(kv.Result{Outcome: kv.Aborted})
	}
	txns.list = nil
	for _, label := range table.config.ControllerLabels {
		table.HandleChange(record.KindVersion, label, record.VersionValue, 3)
	}
	table.Flush(2*time.Second, term, txns)
	commit(table, txns.next(t), 4)
	if countPersisted(job) != 128 {
		t.Errorf("%d assignments are persisted, want 128", countPersisted(job))
	}
}

// A record that the version in production has written and that exceeds the future value size
// limit is read. The next change writes it in the compact format if all controllers can read
// that. Otherwise it is written in the plain format, beyond the future limit: the smaller
// limit only takes effect when all controllers can read the compact format.
func TestLargerRecordStored(t *testing.T) {
	for _, test := range []struct {
		name     string
		upgraded bool
	}{
		{"all controllers read the compact format", true},
		{"another controller may not read the compact format", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(4)
			table.config.ValueLimit = 2048
			table.config.ControllerLabels = []string{"n0"}
			if test.upgraded {
				table.HandleChange(record.KindVersion, "n0", record.VersionValue, 1)
			}
			stored := readChanges(t, "production_large.txt")[0]
			if len(stored.data) <= table.config.ValueLimit {
				t.Fatal("the record in production_large.txt does not exceed the value size limit")
			}
			job := storeLargeJob(table, stored)
			before := countPersisted(job)
			for assignment := range job.Assignments() {
				table.RecordCompletion(job, assignment.Task)
				break
			}
			txns := &txnQueue{}
			table.Flush(0, term, txns)
			txn := txns.next(t)
			if size := len(txn.Writes[0].Data); (size <= table.config.ValueLimit) != test.upgraded || size > testValueBytes {
				t.Errorf("Flush wrote a value of %d bytes, which must fit in the smaller limit only with all controllers upgraded", size)
			}
			commit(table, txn, stored.modRevision+1)
			if countPersisted(job) != before-1 || job.DoneCount() != 1 {
				t.Errorf("%d of %d assignments are persisted and %d tasks done, want one assignment less and 1", countPersisted(job), before, job.DoneCount())
			}
		})
	}
}

// storeLargeJob applies a run record and the record of its job to a table.
func storeLargeJob(table *Table, run change) *Job {
	table.HandleChange(run.kind, run.rest, run.data, run.modRevision)
	id, _, _ := strings.Cut(run.rest, "/")
	job := &Job{ID: id, Ready: true, Spec: Spec{TaskCount: 10_000, Zone: AnyZone}}
	nameSpec(table.Names, &job.Spec)
	table.HandleChange(record.KindJob, id, EncodeJob(table.Names, job), run.modRevision)
	return table.Job(id)
}
