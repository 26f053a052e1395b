package pipeline

import (
	"slices"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

// maxCancellationWrites limits the writes in flight that cancel jobs with a cancelled
// upstream job, so that users' requests are not delayed behind them.
const maxCancellationWrites = 8

// UpstreamCancelled reports whether a direct or indirect upstream job is cancelled. The job
// then counts as cancelled, too, even before its own terminal record is persisted.
func (j *Job) UpstreamCancelled() bool { return j.upstreamCancelled }

// cancelDownstream marks the given jobs and all their direct and indirect dependents as
// downstream of a cancelled job. Each job is visited once, regardless of the number of
// paths to it.
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
		t.forgetUpstream(job)
		stack = append(stack, t.graph.takeDependents(job.ID)...)
	}
	slices.SortFunc(t.graph.cancelQueue[begin:], byCreateRevision)
}

// unmarkUpstreamCancelled removes a job from the jobs whose cancellation must be written,
// after its terminal record was persisted or its job record was deleted.
func (t *Table) unmarkUpstreamCancelled(job *Job) {
	job.upstreamCancelled = false
	delete(t.graph.upstreamCancelled, job)
}

// WriteCancellations queues the writes of the terminal records of jobs downstream of a
// cancelled job, at most maxCancellationWrites at a time. Only the jobs for which
// isResponsible returns true are written. Responses to users do not wait for these writes.
func (t *Table) WriteCancellations(now event.Time, submitter TxnSubmitter, isResponsible func(*Job) bool) {
	graph := &t.graph
	if len(graph.cancelQueue) == 0 || graph.cancellationWritesInFlight >= maxCancellationWrites {
		return
	}
	graph.cancelQueue = slices.DeleteFunc(graph.cancelQueue, func(job *Job) bool { return !graph.upstreamCancelled[job] })
	for _, job := range graph.cancelQueue {
		if graph.cancellationWritesInFlight >= maxCancellationWrites {
			return
		}
		if job.mayWriteRecord(now) && isResponsible(job) {
			t.writeCancellation(job, now, submitter)
		}
	}
}

// writeCancellation queues the write of a job's terminal record and the deletion of its
// job record.
func (t *Table) writeCancellation(job *Job, now event.Time, submitter TxnSubmitter) {
	job.submitRecordWrite(&t.graph.cancellationWritesInFlight, now, submitter, &kv.Txn{
		Priority: kv.PriorityProgress,
		Writes:   []kv.Write{{Key: record.TerminalKey(job.ID), Data: EncodeTerminal(Cancelled, job)}, {Key: record.JobKey(job.ID)}},
	})
}
