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
	tb, j := newJob(t, 8)
	entries := make([]*Assignment, 0, 6)
	for task := range 6 {
		entries = append(entries, tb.Assign(j, task, task/2, 0, 1))
	}
	for i, want := range []int{0, 0, 1, 1, 1, 1} {
		if atFault := tb.RecordFailure(entries[i], time.Second); atFault != (want > 0) || j.Failures() != want {
			t.Errorf("task %d: at fault %v, %d failures, not %d", i, atFault, j.Failures(), want)
		}
		tb.RecordTermination(entries[i])
	}
	if !j.BackingOff(time.Second) || j.Schedulable(time.Second) {
		t.Error("the job is tried again at once")
	}
	later := 10 * time.Second
	if !j.Schedulable(later) || j.StartableCount() != 1 {
		t.Errorf("after the pause %d tasks are to be tried", j.StartableCount())
	}
	probe := tb.Assign(j, 6, 9, 0, later)
	if j.StartableCount() != 0 || j.Schedulable(later) {
		t.Error("a second probe is sent")
	}
	tb.RecordFailure(probe, later)
	tb.RecordTermination(probe)
	if j.Failures() != 2 || !j.AvoidsMachine(9, later) || j.AvoidsMachine(0, later) {
		t.Errorf("%d failures; the next probe goes elsewhere than the last one", j.Failures())
	}
	tb.ClearFailures(j)
	if j.AtFault() || j.StartableCount() < 2 {
		t.Error("a job that works is still probed")
	}
}

// Tasks that fail in turn on the only machine make the job back off as well, and
// it is not kept away from that machine for ever.
func TestOnlyMachine(t *testing.T) {
	tb, j := newJob(t, 1)
	first := tb.Assign(j, 0, 3, 0, 1)
	if tb.RecordFailure(first, time.Second) || !j.AvoidsMachine(3, time.Second) {
		t.Error("one failure is no proof")
	}
	tb.RecordTermination(first)
	later := time.Second + avoidTime
	if j.AvoidsMachine(3, later) {
		t.Error("the only machine is avoided for ever")
	}
	if !tb.RecordFailure(tb.Assign(j, 0, 3, 0, later), later) {
		t.Error("the second failure does not count")
	}
}

// The attempt of a gang counts once, whatever the number of its tasks that fail.
func TestGangFailsOnce(t *testing.T) {
	tb, j := newJob(t, 3)
	j.Shape = Gang
	fail := func(now time.Duration) {
		attempt := j.MaxAttempt() + 1
		entries := make([]*Assignment, 0, 3)
		for task := range 3 {
			entries = append(entries, tb.Assign(j, task, task, attempt, now))
		}
		for _, entry := range entries {
			tb.RecordFailure(entry, now)
			j.terminating = true // as the whole gang is stopped with its first task
		}
		for _, entry := range entries {
			tb.RecordTermination(entry)
		}
		j.terminating = false
	}
	fail(time.Second)
	if j.Failures() != 1 {
		t.Errorf("%d failures after one attempt on three machines", j.Failures())
	}
	if j.StartableCount() != 3 {
		t.Errorf("%d tasks are tried, a gang has no smaller unit", j.StartableCount())
	}
	fail(time.Minute)
	if j.Failures() != 2 {
		t.Errorf("%d failures after two attempts", j.Failures())
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
	tb, j := newJob(t, 4)
	tb.SetClock(0, time.UnixMilli(1_000_000))
	for machine := range 2 {
		entry := tb.Assign(j, machine, machine, 0, 1)
		tb.RecordFailure(entry, time.Second)
		tb.RecordTermination(entry)
	}
	q := &queue{}
	tb.FlushRetries(time.Second, term, q)
	carryOut(tb, q.next(t), 7)
	tb.Reset()
	if j.Failures() != 1 || !j.BackingOff(2*time.Second) || j.StartableCount() != 1 {
		t.Errorf("the new leader finds %d failures, %d tasks to try", j.Failures(), j.StartableCount())
	}

	// Another process has another monotonic clock.
	other := newTable(12)
	other.SetClock(time.Hour, time.UnixMilli(1_002_000))
	other.SetNow(time.Hour)
	other.HandleChange(record.KindRetry, j.ID, []byte(`{"n":3,"u":1010000}`), 7)
	other.HandleChange(record.KindJob, j.ID, EncodeJob(tb.Names, j), 1)
	o := other.Job(j.ID)
	if o.Failures() != 3 || !o.BackingOff(time.Hour+7*time.Second) || o.BackingOff(time.Hour+9*time.Second) {
		t.Errorf("another controller reads %d failures", o.Failures())
	}
	// A clock that is far ahead can't put the job off for long.
	other.HandleChange(record.KindRetry, j.ID, []byte(`{"n":4,"u":9999999999}`), 8)
	if o.BackingOff(time.Hour + retryCap) {
		t.Error("a clock that is ahead holds the job up")
	}

	tb.ClearFailures(j)
	tb.FlushRetries(time.Minute, term, q)
	write := q.next(t)
	if len(write.Writes) != 1 || write.Writes[0].Data != nil || write.Writes[0].Key != record.RetryKey(j.ID) {
		t.Errorf("%+v is written", write.Writes)
	}
	carryOut(tb, write, 9)
	tb.Reset()
	if j.AtFault() {
		t.Error("the success is forgotten")
	}
}

// The record of a job that is over goes, be it that a leader of the version before
// ended the job: that one does not know such records.
func TestRetryRecordGoes(t *testing.T) {
	tb, j := newJob(t, 2)
	tb.HandleChange(record.KindRetry, j.ID, []byte(`{"n":2,"u":1}`), 5)
	tb.HandleChange(record.KindTerminal, j.ID, EncodeTerminal(Cancelled, j), 6)
	q := &queue{}
	tb.CollectGarbage(0, term, q, 10)
	for len(q.list) > 0 {
		carryOut(tb, q.next(t), 7)
	}
	tb.CollectGarbage(0, term, q, 10)
	tb.CollectGarbage(0, term, q, 10) // the first is under way
	if len(q.list) != 1 {
		t.Fatalf("%d drops", len(q.list))
	}
	drop := q.next(t)
	if drop.Priority != kv.PriorityCleanup || drop.Writes[0].Key != record.RetryKey(j.ID) || drop.Compares[1].ModRevision != 5 {
		t.Errorf("%+v", drop)
	}
	carryOut(tb, drop, 8)
	if len(tb.storedRetries) != 0 {
		t.Error("the record is still there")
	}
}

// An array of which some tasks fail everywhere: its probes take turns over the open
// tasks, so that one that works is found and the job goes on.
func TestProbesTakeTurns(t *testing.T) {
	tb, j := newJob(t, 5)
	tb.RecordCompletion(j, 1) // never tried again
	for _, machine := range []int{0, 1} {
		e := tb.Assign(j, 0, machine, 0, 1)
		tb.RecordFailure(e, time.Second)
		tb.RecordTermination(e)
	}
	tried := make([]int, 0, 5)
	for range 5 {
		task := j.ProbeTask()
		tried = append(tried, task)
		probe := tb.Assign(j, task, 2, 0, 1)
		tb.RecordFailure(probe, time.Second)
		tb.RecordTermination(probe)
	}
	if fmt.Sprint(tried) != "[2 3 4 0 2]" {
		t.Errorf("tried: %v", tried)
	}
}

// The first open task is found from where the last one was, whatever became of the
// tasks in between.
func TestNextOpen(t *testing.T) {
	tb, j := newJob(t, 40)
	rng := rand.New(rand.NewPCG(1, 1))
	for step := range 2000 {
		task := rng.IntN(j.TaskCount)
		entry := j.Assignment(task)
		switch {
		case entry != nil:
			tb.RecordTermination(entry)
		case j.Unplaced(task) && rng.IntN(20) > 0:
			tb.Assign(j, task, 0, 0, 1)
		case rng.IntN(100) == 0:
			tb.RecordCompletion(j, task)
		}
		want := 0
		for want < j.TaskCount && !j.Unplaced(want) {
			want++
		}
		if got := j.NextUnplaced(0); got != want {
			t.Fatalf("step %d: task %d, not %d", step, got, want)
		}
		if step%500 == 499 {
			tb.Reset()
		}
	}
}
