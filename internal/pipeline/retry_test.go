package pipeline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// A job whose tasks fail on one machine is retried on another machine without a delay. A job
// that fails on several machines backs off, once for all tasks that were running, and then
// retries with a single task.
func TestJobBacksOffOnce(t *testing.T) {
	table, job := newJob(t, 8)
	assignments := make([]*Assignment, 0, 6)
	for task := range 6 {
		assignments = append(assignments, table.Assign(job, task, MachineIndex(task/2), 0, 1))
	}
	for i, want := range []int{0, 0, 1, 1, 1, 1} {
		if atFault := table.RecordFailure(assignments[i], time.Second); atFault != (want > 0) || job.Failures() != want {
			t.Errorf("RecordFailure of task %d: at fault %v, %d failures, want %d failures", i, atFault, job.Failures(), want)
		}
		table.RecordTermination(assignments[i])
	}
	if !job.BackingOff(time.Second) || job.Schedulable(time.Second) {
		t.Error("the job is schedulable right after the failures, want a backoff")
	}
	later := 10 * time.Second
	if !job.Schedulable(later) || job.StartableCount() != 1 {
		t.Errorf("StartableCount() = %d after the backoff, want 1 and a schedulable job", job.StartableCount())
	}
	probe := table.Assign(job, 6, 9, 0, later)
	if job.StartableCount() != 0 || job.Schedulable(later) {
		t.Error("a second probe may start while the first is active")
	}
	table.RecordFailure(probe, later)
	table.RecordTermination(probe)
	if job.Failures() != 2 || !job.AvoidsMachine(9, later) || job.AvoidsMachine(0, later) {
		t.Errorf("got %d failures, want 2, with only the machine of the last probe avoided", job.Failures())
	}
	table.ClearFailures(job)
	if job.AtFault() || job.StartableCount() < 2 {
		t.Error("the job is still at fault or limited to a probe after ClearFailures")
	}
}

// Tasks that fail one after the other on the only machine also make the job back off. The job
// avoids that machine only for a limited time.
func TestOnlyMachine(t *testing.T) {
	table, job := newJob(t, 1)
	first := table.Assign(job, 0, 3, 0, 1)
	if table.RecordFailure(first, time.Second) || !job.AvoidsMachine(3, time.Second) {
		t.Error("the job is at fault or does not avoid the machine after one failure")
	}
	table.RecordTermination(first)
	later := time.Second + avoidTime
	if job.AvoidsMachine(3, later) {
		t.Error("the job still avoids the only machine after avoidTime")
	}
	if !table.RecordFailure(table.Assign(job, 0, 3, 0, later), later) {
		t.Error("the job is not at fault after a second failure on the only machine")
	}
}

// A failed attempt of a gang counts once, regardless of how many of its tasks fail.
func TestGangFailsOnce(t *testing.T) {
	table, job := newJob(t, 3)
	job.Shape = Gang
	fail := func(now time.Duration) {
		attempt := job.MaxAttempt() + 1
		assignments := make([]*Assignment, 0, 3)
		for task := range 3 {
			assignments = append(assignments, table.Assign(job, task, MachineIndex(task), attempt, now))
		}
		for _, assignment := range assignments {
			table.RecordFailure(assignment, now)
			job.terminating = true // the whole gang is terminated when its first task fails
		}
		for _, assignment := range assignments {
			table.RecordTermination(assignment)
		}
		job.terminating = false
	}
	fail(time.Second)
	if job.Failures() != 1 {
		t.Errorf("got %d failures after one attempt on three machines, want 1", job.Failures())
	}
	if job.StartableCount() != 3 {
		t.Errorf("StartableCount() = %d, want all 3 tasks of the gang", job.StartableCount())
	}
	fail(time.Minute)
	if job.Failures() != 2 {
		t.Errorf("got %d failures after two attempts, want 2", job.Failures())
	}
}

// Backoffs double up to retryCap, differ between jobs and are the same on every controller.
// No backoff makes a job wait for 90 s.
func TestRetryBackoff(t *testing.T) {
	backoffs := map[time.Duration]bool{}
	for failures := 1; failures < 100; failures++ {
		full := min(retryCap, retryBase<<min(failures-1, 8))
		for n := range 20 {
			id := fmt.Sprint("req-", n)
			backoff := retryBackoff(id, failures)
			if backoff > full || backoff < full-time.Duration(retryJitter*float64(full)) || backoff != retryBackoff(id, failures) {
				t.Fatalf("%s: backoff of %s after %d failures, want the doubled base less at most the jitter, the same on each call", id, backoff, failures)
			}
			backoffs[backoff] = true
		}
	}
	if len(backoffs) < 1000 {
		t.Errorf("got %d different backoffs, want at least 1000", len(backoffs))
	}
}

// A new leader continues the backoff and the probes of its predecessor. Once the job
// succeeds, its retry record is deleted.
func TestRetrySurvivesLeader(t *testing.T) {
	table, job := newJob(t, 4)
	table.SetClock(0, time.UnixMilli(1_000_000))
	for machine := range 2 {
		assignment := table.Assign(job, machine, MachineIndex(machine), 0, 1)
		table.RecordFailure(assignment, time.Second)
		table.RecordTermination(assignment)
	}
	txns := &txnQueue{}
	table.FlushRetries(time.Second, term, txns)
	commit(table, txns.next(t), 7)
	table.Reset()
	if job.Failures() != 1 || !job.BackingOff(2*time.Second) || job.StartableCount() != 1 {
		t.Errorf("new leader has %d failures and %d startable tasks, want 1, 1 and a backoff", job.Failures(), job.StartableCount())
	}

	// The monotonic clock of another process differs.
	other := newTable(12)
	other.SetClock(time.Hour, time.UnixMilli(1_002_000))
	other.SetNow(time.Hour)
	other.HandleChange(record.KindRetry, job.ID, []byte(`{"n":3,"u":1010000}`), 7)
	other.HandleChange(record.KindJob, job.ID, EncodeJob(table.Names, job), 1)
	otherJob := other.Job(job.ID)
	if otherJob.Failures() != 3 || !otherJob.BackingOff(time.Hour+7*time.Second) || otherJob.BackingOff(time.Hour+9*time.Second) {
		t.Errorf("another controller has %d failures, want 3 and a backoff of 8 s", otherJob.Failures())
	}
	// If the clock of the writer was far ahead, the backoff is still bounded by retryCap.
	other.HandleChange(record.KindRetry, job.ID, []byte(`{"n":4,"u":9999999999}`), 8)
	if otherJob.BackingOff(time.Hour + retryCap) {
		t.Error("the job still backs off after retryCap, with a record written by a clock that was ahead")
	}

	table.ClearFailures(job)
	table.FlushRetries(time.Minute, term, txns)
	txn := txns.next(t)
	if len(txn.Writes) != 1 || txn.Writes[0].Data != nil || txn.Writes[0].Key != record.RetryKey(job.ID) {
		t.Errorf("FlushRetries wrote %+v, want the deletion of the retry record", txn.Writes)
	}
	commit(table, txn, 9)
	table.Reset()
	if job.AtFault() {
		t.Error("the job is at fault again after Reset, want the cleared failures")
	}
}

// The retry record of a job that has ended is deleted, even if a leader of the previous
// version ended the job. That version does not know retry records and leaves them behind.
func TestOrphanedRetryRecordIsDeleted(t *testing.T) {
	table, job := newJob(t, 2)
	table.HandleChange(record.KindRetry, job.ID, []byte(`{"n":2,"u":1}`), 5)
	table.HandleChange(record.KindTerminal, job.ID, EncodeTerminal(Cancelled, job), 6)
	txns := &txnQueue{}
	table.CollectGarbage(0, term, txns, 10)
	for len(txns.list) > 0 {
		commit(table, txns.next(t), 7)
	}
	table.CollectGarbage(0, term, txns, 10)
	table.CollectGarbage(0, term, txns, 10) // the first deletion is in flight
	if len(txns.list) != 1 {
		t.Fatalf("CollectGarbage queued %d deletions, want 1", len(txns.list))
	}
	deletion := txns.next(t)
	if deletion.Priority != kv.PriorityGarbageCollection || deletion.Writes[0].Key != record.RetryKey(job.ID) || deletion.Compares[1].ModRevision != 5 {
		t.Errorf("CollectGarbage queued %+v, want the deletion of the retry record at revision 5", deletion)
	}
	commit(table, deletion, 8)
	if len(table.retries.persisted) != 0 {
		t.Error("the retry record is not deleted")
	}
}

// If some tasks of an array fail on every machine, its probes rotate through the unassigned
// tasks, so that a task that succeeds is found and the job continues.
func TestProbesTakeTurns(t *testing.T) {
	table, job := newJob(t, 5)
	table.RecordCompletion(job, 1) // must not be used as a probe
	for _, machine := range []MachineIndex{0, 1} {
		assignment := table.Assign(job, 0, machine, 0, 1)
		table.RecordFailure(assignment, time.Second)
		table.RecordTermination(assignment)
	}
	tried := make([]int, 0, 5)
	for range 5 {
		task := job.ProbeTask()
		tried = append(tried, task)
		probe := table.Assign(job, task, 2, 0, 1)
		table.RecordFailure(probe, time.Second)
		table.RecordTermination(probe)
	}
	if fmt.Sprint(tried) != "[2 3 4 0 2]" {
		t.Errorf("probed the tasks %v, want [2 3 4 0 2]", tried)
	}
}

// NextUnassigned starts its search at the last task that it found. It must still return the
// first unassigned task after any sequence of assignments, terminations and completions.
func TestNextUnassigned(t *testing.T) {
	table, job := newJob(t, 40)
	rng := rand.New(rand.NewPCG(1, 1))
	for step := range 2000 {
		task := rng.IntN(job.TaskCount)
		assignment := job.Assignment(task)
		switch {
		case assignment != nil:
			table.RecordTermination(assignment)
		case job.Unassigned(task) && rng.IntN(20) > 0:
			table.Assign(job, task, 0, 0, 1)
		case rng.IntN(100) == 0:
			table.RecordCompletion(job, task)
		}
		want := 0
		for want < job.TaskCount && !job.Unassigned(want) {
			want++
		}
		if got := job.NextUnassigned(0); got != want {
			t.Fatalf("step %d: NextUnassigned(0) = %d, want %d", step, got, want)
		}
		if step%500 == 499 {
			table.Reset()
		}
	}
}
