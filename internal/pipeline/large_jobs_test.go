package pipeline

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

// largeJob is a table with a job whose tasks are all on one machine.
type largeJob struct {
	*Table
	job *Job
	now time.Duration
}

func newLargeJob(tasks int) *largeJob {
	table := newTable(12)
	table.SetNow(time.Second)
	job := &Job{ID: "req-1", Ready: true, Spec: Spec{TaskCount: tasks, CPUs: 0.0005, Memory: 0.001, Zone: AnyZone}}
	nameSpec(table.Names, &job.Spec)
	table.HandleChange(record.KindJob, job.ID, EncodeJob(table.Names, job), 1)
	table.Names.Machines.Index("i-1")
	return &largeJob{Table: table, job: table.Job(job.ID), now: time.Second}
}

// place assigns all unassigned tasks.
func (l *largeJob) place() {
	for task := l.job.NextUnassigned(0); task < l.job.TaskCount; task = l.job.NextUnassigned(0) {
		l.Assign(l.job, task, 0, 0, l.now)
	}
}

// persist writes all changes.
func (l *largeJob) persist() {
	txns := &txnQueue{}
	l.Flush(l.now, term, txns)
	for i, txn := range txns.list {
		if txn.Build == nil || txn.Build(txn) {
			commitAt(l.Table, txn, uint64(10+i), l.now)
		} else {
			txn.Done(kv.Result{Outcome: kv.Aborted, Now: l.now})
		}
	}
	l.now += time.Second
}

// cancel ends the job as its user's cancellation does.
func (l *largeJob) cancel() {
	l.HandleChange(record.KindTerminal, l.job.ID, EncodeTerminal(Cancelled, l.job), 1_000_000)
}

// largeJobSteps are the steps in the life of a job whose cost must be linear in its tasks. The
// steps before the last one of each list only prepare it.
var largeJobSteps = []struct {
	name  string
	steps []func(l *largeJob)
}{
	{"placement", []func(*largeJob){(*largeJob).place}},
	{"write", []func(*largeJob){(*largeJob).place, (*largeJob).persist}},
	{"termination of unwritten", []func(*largeJob){(*largeJob).place, func(l *largeJob) {
		for assignment := range l.job.Assignments() {
			l.RecordTermination(assignment)
		}
	}}},
	{"termination", []func(*largeJob){(*largeJob).place, (*largeJob).persist, func(l *largeJob) {
		for assignment := range l.job.Assignments() {
			l.RecordTermination(assignment)
		}
		l.persist()
	}}},
	{"completion", []func(*largeJob){(*largeJob).place, (*largeJob).persist, func(l *largeJob) {
		for task := range l.job.TaskCount - 1 {
			l.RecordCompletion(l.job, task)
		}
		l.persist()
	}}},
	{"completion of unassigned", []func(*largeJob){func(l *largeJob) {
		for task := range l.job.TaskCount - 1 {
			l.RecordCompletion(l.job, task)
		}
		l.persist()
	}}},
	{"replacement one by one", []func(*largeJob){(*largeJob).place, func(l *largeJob) {
		for task := l.job.TaskCount - 1; task >= 0; task-- {
			l.RecordTermination(l.job.Assignment(task))
			l.place()
		}
	}}},
	{"cancellation", []func(*largeJob){(*largeJob).place, (*largeJob).persist, (*largeJob).cancel}},
	{"hand-over", []func(*largeJob){(*largeJob).place, (*largeJob).handOver}},
	{"hand-over of written", []func(*largeJob){(*largeJob).place, (*largeJob).persist, (*largeJob).handOver}},
}

// handOver begins a new term.
func (l *largeJob) handOver() { l.Reset() }

// allocatedPerTask returns the bytes that the last of the steps allocates for each task.
func allocatedPerTask(tasks int, steps []func(*largeJob)) float64 {
	l := newLargeJob(tasks)
	for _, step := range steps[:len(steps)-1] {
		step(l)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	steps[len(steps)-1](l)
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / float64(tasks)
}

// TestLargeJobsAllocateLinearly guards against the fault of review case 4: placing n tasks on
// one machine copied its list of assignments n times, so that no controller answered for
// minutes. A step may allocate at most twice as much per task for ten times as many tasks.
func TestLargeJobsAllocateLinearly(t *testing.T) {
	const small, large = 2_000, 20_000
	const slack = 64 // bytes per task
	for _, c := range largeJobSteps {
		t.Run(c.name, func(t *testing.T) {
			few, many := allocatedPerTask(small, c.steps), allocatedPerTask(large, c.steps)
			t.Logf("%.0f bytes per task of %d, %.0f of %d", few, small, many, large)
			if many > 2*few+slack {
				t.Errorf("allocated %.0f bytes per task of %d and %.0f of %d, want at most twice as many", few, small, many, large)
			}
		})
	}
}

// BenchmarkLargeJobs measures the steps in the life of a job whose tasks are all on one
// machine, per task.
func BenchmarkLargeJobs(b *testing.B) {
	for _, c := range largeJobSteps {
		for _, tasks := range []int{1_000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("%s/tasks=%d", c.name, tasks), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					l := newLargeJob(tasks)
					for _, step := range c.steps[:len(c.steps)-1] {
						step(l)
					}
					b.StartTimer()
					c.steps[len(c.steps)-1](l)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tasks), "ns/task")
			})
		}
	}
}
