package pipeline

import (
	"cmp"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

// maxReadinessWrites bounds the writes of readiness in flight, as placements wait behind
// them.
const maxReadinessWrites = 32

// ReadyLongerThan reports whether the job became ready more than a time ago.
func (j *Job) ReadyLongerThan(wait time.Duration, now event.Time) bool {
	return now-j.ReadySince > wait
}

// StartOverdue reports whether the job has been ready for longer than a limit and no
// task of it has been placed yet. A job at fault is never overdue: waiting does not
// entitle it to more than its probe.
func (j *Job) StartOverdue(limit time.Duration, now event.Time) bool {
	return j.ReadyLongerThan(limit, now) && !j.HasStarted() && !j.AtFault()
}

// byReadiness compares jobs by the order in which they became ready. Jobs of one
// transaction share their place and follow their IDs.
func byReadiness(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.ReadyRevision, b.ReadyRevision), cmp.Compare(a.ID, b.ID))
}

// ReadyJobs returns the unfinished ready jobs, in the order in which they became ready.
func (t *Table) ReadyJobs() []*Job {
	t.inherit()
	var list []*Job
	for job := range t.AllJobs() {
		if job.ModRevision != 0 && job.Ready && job.TerminalPhase == Queued {
			list = append(list, job)
		}
	}
	slices.SortFunc(list, byReadiness)
	return list
}

// Releasable returns the held jobs whose upstream jobs are all done, in the order
// of effective priority, the highest first, and then of acceptance.
func (t *Table) Releasable() []*Job {
	t.inherit()
	list := inOrder(t.graph.releasable)
	slices.SortStableFunc(list, func(a, b *Job) int { return cmp.Compare(b.EffectivePriority, a.EffectivePriority) })
	return list
}

// WriteReadiness queues the writes that make held jobs of ours ready, as all of their
// upstream jobs are done.
func (t *Table) WriteReadiness(now event.Time, submitter TxnSubmitter, ours func(*Job) bool) {
	if len(t.graph.releasable) == 0 || t.graph.readinessWritesInFlight >= maxReadinessWrites {
		return
	}
	for _, job := range t.Releasable() {
		if t.graph.readinessWritesInFlight >= maxReadinessWrites {
			return
		}
		if job.mayWriteRecord(now) && ours(job) {
			t.writeReadiness(job, now, submitter)
		}
	}
}

func (t *Table) writeReadiness(job *Job, now event.Time, submitter TxnSubmitter) {
	ready := *job
	ready.Ready = true
	ready.ReadyAt = t.UnixMS(now)
	ready.UpstreamPages = 0
	ready.SubmissionRevision = 0
	job.submitRecordWrite(&t.graph.readinessWritesInFlight, now, submitter, &kv.Txn{
		Priority: kv.PriorityPlacement,
		Writes:   []kv.Write{{Key: record.JobKey(job.ID), Data: EncodeJob(t.Names, &ready)}},
	})
}
