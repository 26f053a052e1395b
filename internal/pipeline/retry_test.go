package pipeline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// A job whose tasks fail on one machine tries another at once; one that fails on
// several backs off, once for all tasks that were running, and then tries again
// with a single task.
func TestJobBacksOffOnce(t *testing.T) {
	table, job := newJob(t, 8)
	assignments := make([]*Assignment, 0, 6)
	for task := range 6 {
		assignments = append(assignments, table.Assign(job, task, MachineIndex(task/2), 0, 1))
	}
	for i, want := range []int{0, 0, 1, 1, 1, 1} {
		if atFault := table.RecordFailure(assignments[i], time.Second); atFault != (want > 0) || job.Failures() != want {
			t.Errorf("task %d: at fault %v, %d failures, not %d", i, atFault, job.Failures(), want)
		}
		table.RecordTermination(assignments[i])
	}
	if !job.BackingOff(time.Second) || job.Schedulable(time.Second) {
		t.Error("the job is tried again at once")
	}
	later := 10 * time.Second
	if !job.Schedulable(later) || job.StartableCount() != 1 {
		t.Errorf("after the pause %d tasks are to be tried", job.StartableCount())
	}
	probe := table.Assign(job, 6, 9, 0, later)
	if job.StartableCount() != 0 || job.Schedulable(later) {
		t.Error("a second probe is sent")
	}
	table.RecordFailure(probe, later)
	table.RecordTermination(probe)
	if job.Failures() != 2 || !job.AvoidsMachine(9, later) || job.AvoidsMachine(0, later) {
		t.Errorf("%d failures; the next probe goes elsewhere than the last one", job.Failures())
	}
	table.ClearFailures(job)
	if job.AtFault() || job.StartableCount() < 2 {
		t.Error("a job that works is still probed")
	}
}

// Tasks that fail in turn on the only machine make the job back off as well, and
// it is not kept away from that machine for ever.
func TestOnlyMachine(t *testing.T) {
	table, job := newJob(t, 1)
	first := table.Assign(job, 0, 3, 0, 1)
	if table.RecordFailure(first, time.Second) || !job.AvoidsMachine(3, time.Second) {
		t.Error("one failure is no proof")
	}
	table.RecordTermination(first)
	later := time.Second + avoidTime
	if job.AvoidsMachine(3, later) {
		t.Error("the only machine is avoided for ever")
	}
	if !table.RecordFailure(table.Assign(job, 0, 3, 0, later), later) {
		t.Error("the second failure does not count")
	}
}

// The attempt of a gang counts once, whatever the number of its tasks that fail.
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
			job.terminating = true // as the whole gang is stopped with its first task
		}
		for _, assignment := range assignments {
			table.RecordTermination(assignment)
		}
		job.terminating = false
	}
	fail(time.Second)
	if job.Failures() != 1 {
		t.Errorf("%d failures after one attempt on three machines", job.Failures())
	}
	if job.StartableCount() != 3 {
		t.Errorf("%d tasks are tried, a gang has no smaller unit", job.StartableCount())
	}
	fail(time.Minute)
	if job.Failures() != 2 {
		t.Errorf("%d failures after two attempts", job.Failures())
	}
}

// Pauses double up to a cap, differ between jobs and are the same on every
// controller; none makes a job wait for 90 s.
func TestRetryPause(t *testing.T) {
	drawn := map[time.Duration]bool{}
	for failures := 1; failures < 100; failures++ {
		full := min(retryCap, retryBase<<min(failures-1, 8))
		for n := range 20 {
			id := fmt.Sprint("req-", n)
			pause := retryPause(id, failures)
			if pause > full || pause < full-time.Duration(retryJitter*float64(full)) || pause != retryPause(id, failures) {
				t.Fatalf("%s pauses for %s after %d failures", id, pause, failures)
			}
			drawn[pause] = true
		}
	}
	if len(drawn) < 1000 {
		t.Errorf("%d different pauses", len(drawn))
	}
}

// A new leader goes on with the pause and the probes of the one before; once the
// job works nothing of that is kept.
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
		t.Errorf("the new leader finds %d failures, %d tasks to try", job.Failures(), job.StartableCount())
	}

	// Another process has another monotonic clock.
	other := newTable(12)
	other.SetClock(time.Hour, time.UnixMilli(1_002_000))
	other.SetNow(time.Hour)
	other.HandleChange(record.KindRetry, job.ID, []byte(`{"n":3,"u":1010000}`), 7)
	other.HandleChange(record.KindJob, job.ID, EncodeJob(table.Names, job), 1)
	o := other.Job(job.ID)
	if o.Failures() != 3 || !o.BackingOff(time.Hour+7*time.Second) || o.BackingOff(time.Hour+9*time.Second) {
		t.Errorf("another controller reads %d failures", o.Failures())
	}
	// A clock that is far ahead can't put the job off for long.
	other.HandleChange(record.KindRetry, job.ID, []byte(`{"n":4,"u":9999999999}`), 8)
	if o.BackingOff(time.Hour + retryCap) {
		t.Error("a clock that is ahead holds the job up")
	}

	table.ClearFailures(job)
	table.FlushRetries(time.Minute, term, txns)
	txn := txns.next(t)
	if len(txn.Writes) != 1 || txn.Writes[0].Data != nil || txn.Writes[0].Key != record.RetryKey(job.ID) {
		t.Errorf("%+v is written", txn.Writes)
	}
	commit(table, txn, 9)
	table.Reset()
	if job.AtFault() {
		t.Error("the success is forgotten")
	}
}

// The record of a job that has ended is deleted, be it that a leader of the version before
// ended the job: that one does not know such records.
func TestRetryRecordGoes(t *testing.T) {
	table, job := newJob(t, 2)
	table.HandleChange(record.KindRetry, job.ID, []byte(`{"n":2,"u":1}`), 5)
	table.HandleChange(record.KindTerminal, job.ID, EncodeTerminal(Cancelled, job), 6)
	txns := &txnQueue{}
	table.CollectGarbage(0, term, txns, 10)
	for len(txns.list) > 0 {
		commit(table, txns.next(t), 7)
	}
	table.CollectGarbage(0, term, txns, 10)
	table.CollectGarbage(0, term, txns, 10) // the first is under way
	if len(txns.list) != 1 {
		t.Fatalf("%d deletions", len(txns.list))
	}
	deletion := txns.next(t)
	if deletion.Priority != kv.PriorityGarbageCollection || deletion.Writes[0].Key != record.RetryKey(job.ID) || deletion.Compares[1].ModRevision != 5 {
		t.Errorf("%+v", deletion)
	}
	commit(table, deletion, 8)
	if len(table.retries.stored) != 0 {
		t.Error("the record is still there")
	}
}

// An array of which some tasks fail everywhere: its probes take turns over the unplaced
// tasks, so that one that works is found and the job goes on.
func TestProbesTakeTurns(t *testing.T) {
	table, job := newJob(t, 5)
	table.RecordCompletion(job, 1) // never tried again
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
		t.Errorf("tried: %v", tried)
	}
}

// The first open task is found from where the last one was, whatever became of the
// tasks in between.
func TestNextOpen(t *testing.T) {
	table, job := newJob(t, 40)
	rng := rand.New(rand.NewPCG(1, 1))
	for step := range 2000 {
		task := rng.IntN(job.TaskCount)
		assignment := job.Assignment(task)
		switch {
		case assignment != nil:
			table.RecordTermination(assignment)
		case job.Unplaced(task) && rng.IntN(20) > 0:
			table.Assign(job, task, 0, 0, 1)
		case rng.IntN(100) == 0:
			table.RecordCompletion(job, task)
		}
		want := 0
		for want < job.TaskCount && !job.Unplaced(want) {
			want++
		}
		if got := job.NextUnplaced(0); got != want {
			t.Fatalf("step %d: task %d, not %d", step, got, want)
		}
		if step%500 == 499 {
			table.Reset()
		}
	}
}
