package pipeline

import (
	"testing"
	"time"

	"lugward/internal/store"
)

// queue is a state service's client that lets the test decide what becomes of
// each write.
type queue struct{ list []*store.Intent }

func (q *queue) Submit(in *store.Intent, _ time.Duration) { q.list = append(q.list, in) }

// next takes the next intent whose turn has come and that has something to write.
func (q *queue) next(t *testing.T) *store.Intent {
	t.Helper()
	for len(q.list) > 0 {
		in := q.list[0]
		q.list = q.list[1:]
		if in.Build == nil || in.Build(in) {
			return in
		}
		in.Done(store.Result{Outcome: store.Refused})
	}
	t.Fatal("nothing is written")
	return nil
}

// carryOut applies a write as the state service would, and tells its outcome.
func carryOut(tb *Table, in *store.Intent, revision uint64) {
	for _, w := range in.Writes {
		kind, rest := store.SplitKey(w.Key)
		tb.Listen(kind, rest, w.Data, revision)
	}
	in.Done(store.Result{Outcome: store.OK, Revision: revision})
}

func newJob(t *testing.T, n int) (*Table, *Job) {
	t.Helper()
	tb := NewTable(&Names{}, 4096, 12)
	j := &Job{ID: "req-1", Ready: true, Spec: Spec{TaskCount: n, CPUs: 1, Zone: -1}}
	j.Class, j.Team, j.Image = tb.Names.Classes.Index("c"), tb.Names.Teams.Index("t"), tb.Names.Images.Index("b")
	tb.Listen(JobKey, j.ID, Encode(tb.Names, j), 1)
	return tb, tb.Job(j.ID)
}

var term = store.Condition{Key: "t/lead", Version: 1}

// A leader that ends between the last task's mark and the job's leaves a job
// on which nothing is due any more: its successor must mark it.
func TestSuccessorMarksCompleteJob(t *testing.T) {
	tb, j := newJob(t, 2)
	tb.Listen(RunKey, "req-1/0", []byte(`{"t":1,"d":"Aw"}`), 2)
	tb.Reset()
	q := &queue{}
	tb.Flush(0, term, q)
	carryOut(tb, q.next(t), 3)
	if f := tb.Finals["req-1"]; f.Phase != Done || j.Phase() != Done {
		t.Errorf("the job is %v, its mark %v", j.Phase(), f)
	}
}

// An entry whose write had no answer and that is cleared before it shows must
// not count for ever: a write without it settles that it never will be stored.
func TestClearedBeforeStored(t *testing.T) {
	tb, j := newJob(t, 1)
	q := &queue{}
	e := tb.Place(j, 0, tb.Names.Machines.Index("i-1"), 0, 0)
	tb.Flush(0, term, q)
	q.next(t).Done(store.Result{Outcome: store.Unknown, Now: time.Second})
	tb.Clear(e)
	if j.Active() != 1 {
		t.Error("the entry is given up while its write may still be carried out")
	}
	tb.Flush(2*time.Second, term, q)
	carryOut(tb, q.next(t), 3)
	if j.Active() != 0 || j.OpenCount() != 1 {
		t.Errorf("%d entries, %d tasks to place", j.Active(), j.OpenCount())
	}
}

// Whatever changes while a write waits for its turn goes into the same write.
func TestOneWriteCarriesAll(t *testing.T) {
	tb, j := newJob(t, 40)
	q := &queue{}
	for task := range 40 {
		tb.Place(j, task, tb.Names.Machines.Index("i-1"), 0, 0)
		tb.Flush(0, term, q)
	}
	if len(q.list) != 1 {
		t.Fatalf("%d writes wait", len(q.list))
	}
	carryOut(tb, q.next(t), 2)
	for task := range 40 {
		if !j.Entry(task).Durable {
			t.Fatalf("task %d is not stored", task)
		}
	}
	tb.Flush(0, term, q)
	if len(q.list) != 0 {
		t.Error("written again with nothing changed")
	}
}
