package pipeline

import (
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// A leader that ends between the writes of the last task's completion and of the job's
// leaves a job on which nothing is due any more: its successor must complete it.
func TestNewLeaderCompletesJob(t *testing.T) {
	table, job := newJob(t, 2)
	table.HandleChange(record.KindRun, "req-1/0", []byte(`{"t":1,"d":"Aw"}`), 2)
	table.Reset()
	txns := &txnQueue{}
	table.Flush(0, term, txns)
	commit(table, txns.next(t), 3)
	if terminal, _ := table.Terminal.Get("req-1"); terminal.Phase != Done || job.Phase() != Done {
		t.Errorf("the job is %v, its terminal record %v", job.Phase(), terminal)
	}
}

// An assignment whose write had no answer and that is cleared before it shows must
// not count for ever: a later write without it proves that it never will be stored.
func TestClearedBeforeStored(t *testing.T) {
	table, job := newJob(t, 1)
	txns := &txnQueue{}
	assignment := table.Assign(job, 0, table.Names.Machines.Index("i-1"), 0, 0)
	table.Flush(0, term, txns)
	txns.next(t).Done(kv.Result{Outcome: kv.Unknown, Now: time.Second})
	table.RecordTermination(assignment)
	if job.ActiveCount() != 1 {
		t.Error("the assignment is given up while its write may still be carried out")
	}
	table.Flush(2*time.Second, term, txns)
	commit(table, txns.next(t), 3)
	if job.ActiveCount() != 0 || job.UnplacedCount() != 1 {
		t.Errorf("%d assignments, %d tasks to place", job.ActiveCount(), job.UnplacedCount())
	}
}

// All changes while a write is queued go into that write.
func TestOneWriteCarriesAll(t *testing.T) {
	table, job := newJob(t, 40)
	txns := &txnQueue{}
	for task := range 40 {
		table.Assign(job, task, table.Names.Machines.Index("i-1"), 0, 0)
		table.Flush(0, term, txns)
	}
	if len(txns.list) != 1 {
		t.Fatalf("%d writes wait", len(txns.list))
	}
	commit(table, txns.next(t), 2)
	for task := range 40 {
		if !job.Assignment(task).durable {
			t.Fatalf("task %d is not stored", task)
		}
	}
	table.Flush(0, term, txns)
	if len(txns.list) != 0 {
		t.Error("written again with nothing changed")
	}
}
