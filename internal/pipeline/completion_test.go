package pipeline

import (
	"testing"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// A job is done with a single write, whatever its records; what its tasks took is
// free at once, and the records go behind everything else.
func TestTerminalRecordEndsJob(t *testing.T) {
	table, job := newJob(t, 2)
	table.HandleChange(record.KindRun, "req-1/0", []byte(`{"t":2,"a":[[0,1,"i-1"],[1,2,"i-2"]]}`), 2)
	for task := range 2 {
		job.Assignment(task).phase = TaskExited
		table.RecordCompletion(job, task)
	}
	txns := &txnQueue{}
	table.Flush(0, term, txns)
	txn := txns.next(t)
	if len(txn.Writes) != 1 || txn.Writes[0].Key != record.TerminalKey(job.ID) || txn.Priority != kv.PriorityProgress {
		t.Fatalf("%+v is written", txn.Writes)
	}
	commit(table, txn, 3)
	if used := table.TeamUsage(job.Team); job.Phase() != Done || job.ActiveCount() != 0 || used.CPUs != 0 {
		t.Errorf("%v with %d assignments, the team uses %v", job.Phase(), job.ActiveCount(), used)
	}
	table.Flush(1, term, txns)
	if len(txns.list) != 0 {
		t.Error("the record is written once more")
	}
	table.CollectGarbage(1, term, txns, 10)
	deletion := txns.next(t)
	if deletion.Priority != kv.PriorityGarbageCollection || len(deletion.Writes) != 2 {
		t.Errorf("%+v", deletion)
	}
	commit(table, deletion, 4)
	if table.Job(job.ID) != nil {
		t.Error("the job is still held")
	}
}

// A task that completed in another attempt than the one that is logged may still
// run: what it takes stays counted until its end is proven.
func TestOtherAttemptStaysCounted(t *testing.T) {
	table, job := newJob(t, 1)
	table.HandleChange(record.KindRun, "req-1/0", []byte(`{"t":2,"a":[[0,2,"i-2"]]}`), 2)
	job.Assignment(0).phase = TaskRunning
	table.RecordCompletion(job, 0)
	txns := &txnQueue{}
	table.Flush(0, term, txns)
	commit(table, txns.next(t), 3)
	if job.Phase() != Done || job.ActiveCount() != 1 || len(table.TakeEndedJobs()) != 1 {
		t.Errorf("%v with %d assignments", job.Phase(), job.ActiveCount())
	}
}

// The writes of jobs of the lowest priority go behind those of others.
func TestWriteRank(t *testing.T) {
	for priority, want := range map[Priority]bool{Idle: false, Normal: true, High: true, Production: true} {
		job, idle := &Job{}, &Job{}
		job.EffectivePriority, idle.EffectivePriority = priority, Idle
		if got := job.writeRank() > idle.writeRank(); got != want {
			t.Errorf("priority %d before the lowest: %v", priority, got)
		}
	}
}

// The readiness of a job waits with the writes of jobs of its priority, not behind
// them: what comes after it in a chain waits for it.
func TestReadinessHasRankOfJob(t *testing.T) {
	for _, priority := range []Priority{Idle, Normal, High} {
		table := newTable(12)
		job := &Job{ID: "req-2", Upstream: []string{"req-1"}, Spec: Spec{TaskCount: 1, Priority: priority, Zone: AnyZone}}
		job.Class, job.Team, job.Image = table.Names.Classes.Index("c"), table.Names.Teams.Index("t"), table.Names.Images.Index("b")
		table.HandleChange(record.KindJob, job.ID, EncodeJob(table.Names, job), 1)
		table.HandleChange(record.KindTerminal, "req-1", []byte(`{"p":"done","n":1}`), 2)
		txns := &txnQueue{}
		table.WriteReadiness(0, txns, func(*Job) bool { return true })
		if txn, want := txns.next(t), table.Job(job.ID).writeRank(); txn.Rank != want || txn.Priority != kv.PriorityPlacement {
			t.Errorf("priority %d: rank %d, not %d", priority, txn.Rank, want)
		}
	}
}
