package pipeline

import (
	"slices"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

// Several controllers may write the readiness of a job. Only the watch cache shows that one
// of them succeeded, and a write with a conflict is retried after a delay.
func TestReadinessWrite(t *testing.T) {
	f := newFixture()
	f.addJob(1, nil)
	job := f.addJob(2, func(job *Job) { job.SubmittedAt = 1000_500 }, 1)
	f.storeTerminal(1, Done)
	txns := &txnQueue{}
	now := 2 * time.Second
	write := func() { f.WriteReadiness(now, txns, allJobs) }
	write()
	write()
	if len(txns.list) != 1 {
		t.Fatalf("two calls of WriteReadiness queued %d writes, want 1", len(txns.list))
	}
	txn := txns.next(t)
	if !slices.Contains(txn.Compares, kv.Compare{Key: record.JobKey(job.ID), ModRevision: job.ModRevision}) || !slices.Contains(txn.Compares, kv.Compare{Key: record.TerminalKey(job.ID)}) {
		t.Errorf("WriteReadiness queued a write with the conditions %v, want those of the job record and no terminal record", txn.Compares)
	}
	txn.Done(kv.Result{Outcome: kv.Conflict, Now: now})
	write()
	if len(txns.list) != 0 {
		t.Error("WriteReadiness queued a write immediately after a conflict, want none")
	}
	now += time.Second
	write()
	f.commit(txns.next(t))
	write()
	if len(txns.list) != 0 || !job.Ready || job.SubmittedAt != 1000_500 || job.ReadyAt != 1002_000 {
		t.Errorf("%d writes queued, job ready %v, submitted at %d, ready at %d; want 0, true, 1000500 and 1002000", len(txns.list), job.Ready, job.SubmittedAt, job.ReadyAt)
	}
}

// cancellations commits the cancellations of a table in steps of one second.
type cancellations struct {
	now   time.Duration
	txns  txnQueue
	count int
}

// step queues the cancellations that may be written and commits two of three. The outcome of
// the others is unknown.
func (c *cancellations) step(t *testing.T, f *fixture) {
	t.Helper()
	c.now += time.Second
	f.WriteCancellations(c.now, &c.txns, allJobs)
	f.WriteCancellations(c.now, &c.txns, allJobs)
	if len(c.txns.list) > maxCancellationWrites {
		t.Fatalf("%d cancellations are in flight, want at most maxCancellationWrites", len(c.txns.list))
	}
	for i := 0; len(c.txns.list) > 0; i++ {
		txn := c.txns.next(t)
		if len(txn.Writes) > 4 || len(txn.Compares) > 16 {
			t.Fatalf("a cancellation has %d writes and %d conditions, want at most 4 and 16", len(txn.Writes), len(txn.Compares))
		}
		if i%3 == 2 {
			txn.Done(kv.Result{Outcome: kv.Unknown, Now: c.now})
			continue
		}
		f.commit(txn)
		c.count++
	}
}

// The cancellations of jobs that depend on a cancelled one are written in small batches, and
// each transaction is within its limits. A new leader completes the cancellations that its
// predecessor began.
func TestCancellationsInBatches(t *testing.T) {
	const dependents = 500
	first := newFixture()
	first.addJob(1, nil)
	for i := range dependents {
		first.addJob(10+i, nil, 1)
	}
	first.storeTerminal(1, Cancelled)
	var cancelled cancellations
	for range 10 {
		cancelled.step(t, first)
	}
	second := first.replay()
	if len(second.graph.upstreamCancelled) != dependents-cancelled.count || cancelled.count == 0 {
		t.Fatalf("first leader wrote %d cancellations and the second has %d pending, want more than 0 and 500 in all", cancelled.count, len(second.graph.upstreamCancelled))
	}
	for range dependents {
		cancelled.step(t, second)
	}
	for i := range dependents {
		if terminal, _ := second.Terminal.Get(id(10 + i)); terminal.Phase != Cancelled || second.Job(id(10+i)) != nil {
			t.Fatalf("dependent job %d is not cancelled or not removed", i)
		}
	}
	if cancelled.count != dependents || len(second.graph.cancelQueue) > maxCancellationWrites {
		t.Errorf("got %d cancellations for %d jobs and %d queued ones, want one for each job and at most maxCancellationWrites queued", cancelled.count, dependents, len(second.graph.cancelQueue))
	}
}

// A controller writes only the cancellations of the jobs that it owns.
func TestCancellationsOfOwnedJobs(t *testing.T) {
	f := newFixture()
	f.addJob(1, nil)
	f.addJob(2, func(job *Job) { job.Owner = "n1" }, 1)
	f.addJob(3, nil, 1)
	f.storeTerminal(1, Cancelled)
	txns := &txnQueue{}
	f.WriteCancellations(time.Second, txns, func(job *Job) bool { return job.Owner == "n0" })
	if len(txns.list) != 1 || txns.list[0].Writes[0].Key != record.TerminalKey(id(3)) {
		t.Errorf("WriteCancellations queued %d writes, want 1 for the owned job", len(txns.list))
	}
}

// If many jobs become ready at the same time, their readiness is written in small batches,
// ordered by effective priority.
func TestReadinessInBatches(t *testing.T) {
	f := newFixture()
	f.addJob(1, nil)
	for i := range 200 {
		f.addJob(10+i, func(job *Job) { job.Priority = Idle }, 1)
	}
	f.addJob(300, func(job *Job) { job.Priority = High }, 209)
	f.storeTerminal(1, Done)
	txns := &txnQueue{}
	f.WriteReadiness(time.Second, txns, allJobs)
	f.WriteReadiness(time.Second, txns, allJobs)
	if len(txns.list) != maxReadinessWrites || txns.list[0].Writes[0].Key != record.JobKey(id(209)) || txns.list[1].Writes[0].Key != record.JobKey(id(10)) {
		t.Errorf("WriteReadiness queued %d writes, the first of %s; want maxReadinessWrites, first of job 209, then of job 10", len(txns.list), txns.list[0].Writes[0].Key)
	}
	written := 0
	for now := 2 * time.Second; len(txns.list) > 0; now += time.Second {
		for len(txns.list) > 0 {
			f.commit(txns.next(t))
			written++
		}
		f.WriteReadiness(now, txns, allJobs)
	}
	if written != 200 || len(f.graph.releasable) != 0 {
		t.Errorf("wrote the readiness of %d jobs, %d are still releasable; want 200 and 0", written, len(f.graph.releasable))
	}
}

// A write that the state service rejects is retried with an exponential backoff.
func TestRejectedWrites(t *testing.T) {
	const minutes = 10
	for _, test := range []struct {
		name  string
		begin func(f *fixture)
		write func(f *fixture, now event.Time, txns *txnQueue) // in addition to Flush
	}{
		{
			name:  "run record",
			begin: func(f *fixture) { f.Assign(f.Job(id(1)), 0, 0, 0, 0) },
		},
		{
			name:  "completion",
			begin: func(f *fixture) { f.RecordCompletion(f.Job(id(1)), 0) },
		},
		{
			name:  "readiness",
			begin: func(f *fixture) { f.storeTerminal(1, Done) },
			write: func(f *fixture, now event.Time, txns *txnQueue) { f.WriteReadiness(now, txns, allJobs) },
		},
		{
			name:  "cancellation",
			begin: func(f *fixture) { f.storeTerminal(1, Cancelled) },
			write: func(f *fixture, now event.Time, txns *txnQueue) { f.WriteCancellations(now, txns, allJobs) },
		},
		{
			name:  "garbage collection",
			begin: func(f *fixture) { f.storeTerminal(3, Cancelled) },
			write: func(f *fixture, now event.Time, txns *txnQueue) { f.CollectGarbage(now, term, txns, 1) },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.Names.Machines.Index("i-1")
			f.addJob(1, nil)
			f.addJob(2, nil, 1)
			f.addJob(3, nil)
			test.begin(f)
			if attempts := f.rejectedAttempts(test.write, minutes*time.Minute); attempts < 5 || attempts > 2*minutes+8 {
				t.Errorf("got %d attempts in %d minutes, want 5 to 28", attempts, minutes)
			}
		})
	}
}

// rejectedAttempts returns the number of writes that are attempted until end while all are
// rejected. write, if not nil, queues writes in addition to Flush.
func (f *fixture) rejectedAttempts(write func(*fixture, event.Time, *txnQueue), end event.Time) (attempts int) {
	txns := &txnQueue{}
	for now := event.Time(0); now < end; now += 50 * time.Millisecond {
		if write != nil {
			write(f, now, txns)
		}
		f.Flush(now, term, txns)
		attempts += txns.rejectAll(now)
	}
	return attempts
}
