package pipeline

import (
	"slices"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

// maxCancellationWrites bounds the writes in flight that cancel jobs with a cancelled
// upstream job, so that the requests of users go first.
const maxCancellationWrites = 8

// UpstreamCancelled reports whether an upstream job is cancelled: the job is cancelled
// with that one, whether its own terminal record is stored yet or not.
func (j *Job) UpstreamCancelled() bool { return j.upstreamCancelled }

// cancelDownstream notes that jobs, and all that need them, are below a cancelled
// one. Each is visited once, however many paths lead to it.
func (t *Table) cancelDownstream(stack ...*Job) {
	begin := len(t.graph.cancelQueue)
	for len(stack) > 0 {
		job := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if job.upstreamCancelled || job.Ready || job.TerminalPhase != Queued {
			continue
		}
		job.upstreamCancelled = true
		t.graph.upstreamCancelled[job] = true
		t.graph.cancelQueue = append(t.graph.cancelQueue, job)
		t.unlink(job)
		for dependent := range t.graph.dependents[job.ID] {
			stack = append(stack, dependent)
		}
		delete(t.graph.dependents, job.ID)
	}
	slices.SortFunc(t.graph.cancelQueue[begin:], byAcceptance)
}

// unmarkUpstreamCancelled removes a job from those whose cancellation is still to be
// written: its terminal record is stored, or its job record is deleted.
func (t *Table) unmarkUpstreamCancelled(job *Job) {
	job.upstreamCancelled = false
	delete(t.graph.upstreamCancelled, job)
}

// WriteCancellations queues, a few at a time, the terminal records of jobs of ours
// below a cancelled one. The answers to users do not wait for them.
func (t *Table) WriteCancellations(now event.Time, submitter TxnSubmitter, ours func(*Job) bool) {
	graph := &t.graph
	if len(graph.cancelQueue) == 0 || graph.cancellationWritesInFlight >= maxCancellationWrites {
		return
	}
	graph.cancelQueue = slices.DeleteFunc(graph.cancelQueue, func(job *Job) bool { return !graph.upstreamCancelled[job] })
	for _, job := range graph.cancelQueue {
		if graph.cancellationWritesInFlight >= maxCancellationWrites {
			return
		}
		if job.mayWriteRecord(now) && ours(job) {
			t.writeCancellation(job, now, submitter)
		}
	}
}

// writeCancellation queues the terminal record of a job and the deletion of its job record.
func (t *Table) writeCancellation(job *Job, now event.Time, submitter TxnSubmitter) {
	job.submitRecordWrite(&t.graph.cancellationWritesInFlight, now, submitter, &kv.Txn{
		Priority: kv.PriorityProgress,
		Writes:   []kv.Write{{Key: record.TerminalKey(job.ID), Data: EncodeTerminal(Cancelled, job)}, {Key: record.JobKey(job.ID)}},
	})
}
