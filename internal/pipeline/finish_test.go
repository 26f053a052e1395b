package pipeline

import (
	"testing"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// A job is done with a single write, whatever its records; what its tasks took is
// free at once, and the records go behind everything else.
func TestMarkAloneEndsJob(t *testing.T) {
	tb, j := newJob(t, 2)
	tb.HandleChange(record.KindRun, "req-1/0", []byte(`{"t":2,"a":[[0,1,"i-1"],[1,2,"i-2"]]}`), 2)
	for task := range 2 {
		j.Assignment(task).phase = TaskExited
		tb.RecordCompletion(j, task)
	}
	q := &queue{}
	tb.Flush(0, term, q)
	mark := q.next(t)
	if len(mark.Writes) != 1 || mark.Writes[0].Key != record.TerminalKey(j.ID) || mark.Priority != kv.PriorityProgress {
		t.Fatalf("%+v is written", mark.Writes)
	}
	carryOut(tb, mark, 3)
	if used := tb.TeamUsage(j.Team); j.Phase() != Done || j.ActiveCount() != 0 || used.CPUs != 0 {
		t.Errorf("%v with %d entries, the team uses %v", j.Phase(), j.ActiveCount(), used)
	}
	tb.Flush(1, term, q)
	if len(q.list) != 0 {
		t.Error("the record is written once more")
	}
	tb.CollectGarbage(1, term, q, 10)
	drop := q.next(t)
	if drop.Priority != kv.PriorityCleanup || len(drop.Writes) != 2 {
		t.Errorf("%+v", drop)
	}
	carryOut(tb, drop, 4)
	if tb.Job(j.ID) != nil {
		t.Error("the job is still held")
	}
}

// A task that completed in another attempt than the one that is logged may still
// run: what it takes stays counted until its end is proven.
func TestOtherAttemptStaysCounted(t *testing.T) {
	tb, j := newJob(t, 1)
	tb.HandleChange(record.KindRun, "req-1/0", []byte(`{"t":2,"a":[[0,2,"i-2"]]}`), 2)
	j.Assignment(0).phase = TaskRunning
	tb.RecordCompletion(j, 0)
	q := &queue{}
	tb.Flush(0, term, q)
	carryOut(tb, q.next(t), 3)
	if j.Phase() != Done || j.ActiveCount() != 1 || len(tb.TakeTerminatedJobs()) != 1 {
		t.Errorf("%v with %d entries", j.Phase(), j.ActiveCount())
	}
}

// The writes of jobs of the lowest priority go behind those of others.
func TestWriteRank(t *testing.T) {
	for priority, want := range map[Priority]bool{Idle: false, Normal: true, High: true, Production: true} {
		j := &Job{EffectivePriority: priority}
		if got := j.writeRank() > (&Job{EffectivePriority: Idle}).writeRank(); got != want {
			t.Errorf("priority %d before the lowest: %v", priority, got)
		}
	}
}

// The ready mark of a job waits with the writes of jobs of its priority, not behind
// them: what comes after it in a chain waits for it.
func TestReadyMarkHasItsJobsRank(t *testing.T) {
	for _, priority := range []Priority{Idle, Normal, High} {
		tb := newTable(12)
		j := &Job{ID: "req-2", Upstream: []string{"req-1"}, Spec: Spec{TaskCount: 1, Priority: priority, Zone: -1}}
		j.Class, j.Team, j.Image = tb.Names.Classes.Index("c"), tb.Names.Teams.Index("t"), tb.Names.Images.Index("b")
		tb.HandleChange(record.KindJob, j.ID, EncodeJob(tb.Names, j), 1)
		tb.HandleChange(record.KindTerminal, "req-1", []byte(`{"p":"done","n":1}`), 2)
		q := &queue{}
		tb.WriteReadiness(0, q, func(*Job) bool { return true })
		if mark, want := q.next(t), tb.Job(j.ID).writeRank(); mark.Rank != want || mark.Priority != kv.PriorityPlacement {
			t.Errorf("priority %d: rank %d, not %d", priority, mark.Rank, want)
		}
	}
}
