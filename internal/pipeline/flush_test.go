package pipeline

import (
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// If a term ends after the completion of the last task was written but before the terminal
// record was, no further event concerns the job. The next leader must complete it.
func TestNewLeaderCompletesJob(t *testing.T) {
	table, job := newJob(t, 2)
	table.HandleChange(record.KindRun, "req-1/0", []byte(`{"t":1,"d":"Aw"}`), 2)
	table.Reset()
	txns := &txnQueue{}
	table.Flush(0, term, txns)
	commit(table, txns.next(t), 3)
	if terminal, _ := table.Terminal.Get("req-1"); terminal.Phase != Done || job.Phase() != Done {
		t.Errorf("job phase = %v, terminal record = %v, want phase %v in both", job.Phase(), terminal, Done)
	}
}

// An assignment is cleared after its write had an unknown outcome and before the watch cache
// shows it. It must not be counted forever: once a later write without it succeeds, the
// earlier write can no longer be committed.
func TestClearedBeforeStored(t *testing.T) {
	table, job := newJob(t, 1)
	txns := &txnQueue{}
	assignment := table.Assign(job, 0, table.Names.Machines.Index("i-1"), 0, 0)
	table.Flush(0, term, txns)
	txns.next(t).Done(kv.Result{Outcome: kv.Unknown, Now: time.Second})
	table.RecordTermination(assignment)
	if job.ActiveCount() != 1 {
		t.Errorf("ActiveCount = %d while the write of the assignment may still be committed, want 1", job.ActiveCount())
	}
	table.Flush(2*time.Second, term, txns)
	commit(table, txns.next(t), 3)
	if job.ActiveCount() != 0 || job.UnassignedCount() != 1 {
		t.Errorf("got %d assignments and %d unassigned tasks, want 0 and 1", job.ActiveCount(), job.UnassignedCount())
	}
}

// A queued write carries all changes that are made until it is built.
func TestOneWriteCarriesAll(t *testing.T) {
	table, job := newJob(t, 40)
	txns := &txnQueue{}
	for task := range 40 {
		table.Assign(job, task, table.Names.Machines.Index("i-1"), 0, 0)
		table.Flush(0, term, txns)
	}
	if len(txns.list) != 1 {
		t.Fatalf("Flush queued %d writes for 40 assignments, want 1", len(txns.list))
	}
	commit(table, txns.next(t), 2)
	for task := range 40 {
		if !job.Assignment(task).persisted {
			t.Fatalf("assignment of task %d is not persisted after the commit", task)
		}
	}
	table.Flush(0, term, txns)
	if len(txns.list) != 0 {
		t.Errorf("Flush queued %d writes without any change, want 0", len(txns.list))
	}
}
