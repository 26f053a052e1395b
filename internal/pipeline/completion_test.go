package pipeline

import (
	"testing"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// A job is completed by a single write of its terminal record, regardless of its other
// records. The resources of its tasks are freed immediately, and the other records are
// deleted at the lowest priority.
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
		t.Fatalf("Flush queued writes %+v, want only the terminal record with kv.PriorityProgress", txn.Writes)
	}
	commit(table, txn, 3)
	if used := table.TeamUsage(job.Team); job.Phase() != Done || job.ActiveCount() != 0 || used.CPUs != 0 {
		t.Errorf("phase = %v with %d assignments and team usage %v, want %v, 0 assignments and 0 CPUs", job.Phase(), job.ActiveCount(), used, Done)
	}
	table.Flush(1, term, txns)
	if len(txns.list) != 0 {
		t.Errorf("Flush queued %d transactions after the job was done, want 0", len(txns.list))
	}
	table.CollectGarbage(1, term, txns, 10)
	deletion := txns.next(t)
	if deletion.Priority != kv.PriorityGarbageCollection || len(deletion.Writes) != 2 {
		t.Errorf("CollectGarbage queued %+v, want 2 writes with kv.PriorityGarbageCollection", deletion)
	}
	commit(table, deletion, 4)
	if table.Job(job.ID) != nil {
		t.Errorf("Job(%s) is not nil after its records were deleted", job.ID)
	}
}

// A task may have completed in an attempt other than the persisted one, which may then
// still run. Its resources must stay counted until that attempt is proven to have
// terminated.
func TestOtherAttemptStaysCounted(t *testing.T) {
	table, job := newJob(t, 1)
	table.HandleChange(record.KindRun, "req-1/0", []byte(`{"t":2,"a":[[0,2,"i-2"]]}`), 2)
	job.Assignment(0).phase = TaskRunning
	table.RecordCompletion(job, 0)
	txns := &txnQueue{}
	table.Flush(0, term, txns)
	commit(table, txns.next(t), 3)
	if job.Phase() != Done || job.ActiveCount() != 1 || len(table.DrainEndedJobs()) != 1 {
		t.Errorf("phase = %v with %d assignments, want %v, 1 assignment and 1 ended job", job.Phase(), job.ActiveCount(), Done)
	}
}

// Writes of Idle jobs are ranked after those of all other jobs.
func TestWriteRank(t *testing.T) {
	for priority, want := range map[Priority]bool{Idle: false, Normal: true, High: true, Production: true} {
		job, idle := &Job{}, &Job{}
		job.EffectivePriority, idle.EffectivePriority = priority, Idle
		if got := job.writeRank() > idle.writeRank(); got != want {
			t.Errorf("writes of priority %d rank before those of Idle: got %v, want %v", priority, got, want)
		}
	}
}

// The write of a job's readiness has the same rank as the other writes of jobs of its
// priority, not a lower one, since the downstream jobs wait for it.
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
			t.Errorf("job priority %d: readiness write has rank %d, priority %d, want rank %d, priority %d", priority, txn.Rank, txn.Priority, want, kv.PriorityPlacement)
		}
	}
}
