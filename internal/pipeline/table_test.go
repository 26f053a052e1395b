package pipeline

import (
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// A leader that ends between the last task's mark and the job's leaves a job
// on which nothing is due any more: its successor must mark it.
func TestSuccessorMarksCompleteJob(t *testing.T) {
	tb, j := newJob(t, 2)
	tb.HandleChange(record.KindRun, "req-1/0", []byte(`{"t":1,"d":"Aw"}`), 2)
	tb.Reset()
	q := &queue{}
	tb.Flush(0, term, q)
	carryOut(tb, q.next(t), 3)
	if f, _ := tb.Terminal.Get("req-1"); f.Phase != Done || j.Phase() != Done {
		t.Errorf("the job is %v, its mark %v", j.Phase(), f)
	}
}

// An entry whose write had no answer and that is cleared before it shows must
// not count for ever: a later write without it proves that it never will be stored.
func TestClearedBeforeStored(t *testing.T) {
	tb, j := newJob(t, 1)
	q := &queue{}
	e := tb.Assign(j, 0, tb.Names.Machines.Index("i-1"), 0, 0)
	tb.Flush(0, term, q)
	q.next(t).Done(kv.Result{Outcome: kv.Unknown, Now: time.Second})
	tb.RecordTermination(e)
	if j.ActiveCount() != 1 {
		t.Error("the entry is given up while its write may still be carried out")
	}
	tb.Flush(2*time.Second, term, q)
	carryOut(tb, q.next(t), 3)
	if j.ActiveCount() != 0 || j.UnplacedCount() != 1 {
		t.Errorf("%d entries, %d tasks to place", j.ActiveCount(), j.UnplacedCount())
	}
}

// All changes while a write is queued go into that write.
func TestOneWriteCarriesAll(t *testing.T) {
	tb, j := newJob(t, 40)
	q := &queue{}
	for task := range 40 {
		tb.Assign(j, task, tb.Names.Machines.Index("i-1"), 0, 0)
		tb.Flush(0, term, q)
	}
	if len(q.list) != 1 {
		t.Fatalf("%d writes wait", len(q.list))
	}
	carryOut(tb, q.next(t), 2)
	for task := range 40 {
		if !j.Assignment(task).durable {
			t.Fatalf("task %d is not stored", task)
		}
	}
	tb.Flush(0, term, q)
	if len(q.list) != 0 {
		t.Error("written again with nothing changed")
	}
}
