package pipeline

import (
	"cmp"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

// maxReadinessWrites is the maximum number of readiness writes in flight. Placements have the
// same priority and wait behind them.
const maxReadinessWrites = 32

// ReadyLongerThan reports whether the job has been ready for longer than wait.
func (j *Job) ReadyLongerThan(wait time.Duration, now event.Time) bool {
	return now-j.ReadySince > wait
}

// StartOverdue reports whether the job has been ready for longer than limit without any of
// its tasks having been assigned. A job at fault is never overdue: however long it waits, it
// may only start its probe.
func (j *Job) StartOverdue(limit time.Duration, now event.Time) bool {
	return j.ReadyLongerThan(limit, now) && !j.HasStarted() && !j.AtFault()
}

// byReadiness compares jobs by the order in which they became ready. Jobs that became ready
// in the same transaction are ordered by ID.
func byReadiness(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.ReadyRevision, b.ReadyRevision), cmp.Compare(a.ID, b.ID))
}

// ReadyJobs returns the unfinished ready jobs, in the order in which they became ready.
func (t *Table) ReadyJobs() []*Job {
	t.updateEffectiveValues()
	var list []*Job
	for job := range t.AllJobs() {
		if job.ModRevision != 0 && job.Ready && job.TerminalPhase == Queued {
			list = append(list, job)
		}
	}
	slices.SortFunc(list, byReadiness)
	return list
}

// Releasable returns the held jobs whose upstream jobs are all done, ordered by effective
// priority, highest first, and then by the order in which their records were created.
func (t *Table) Releasable() []*Job {
	t.updateEffectiveValues()
	list := inCreationOrder(t.graph.releasable)
	slices.SortStableFunc(list, func(a, b *Job) int { return cmp.Compare(b.EffectivePriority, a.EffectivePriority) })
	return list
}

// WriteReadiness queues the writes that mark held jobs as ready once all of their upstream
// jobs are done. Only the jobs for which isResponsible returns true are written.
func (t *Table) WriteReadiness(now event.Time, submitter TxnSubmitter, isResponsible func(*Job) bool) {
	if len(t.graph.releasable) == 0 || t.graph.readinessWritesInFlight >= maxReadinessWrites {
		return
	}
	for _, job := range t.Releasable() {
		if t.graph.readinessWritesInFlight >= maxReadinessWrites {
			return
		}
		if job.mayWriteRecord(now) && isResponsible(job) {
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
	if job.UpstreamPages == 0 {
		ready.Upstream = t.UpstreamIDs(job)
	}
	job.submitRecordWrite(&t.graph.readinessWritesInFlight, now, submitter, &kv.Txn{
		Priority: kv.PriorityPlacement,
		Writes:   []kv.Write{{Key: record.JobKey(job.ID), Data: EncodeJob(t.Names, &ready)}},
	})
}
