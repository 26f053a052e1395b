package pipeline

import (
	"slices"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

const (
	// maxRetryWait bounds the pause after writes that the state service
	// calls malformed.
	maxRetryWait = 30 * time.Second
	// maxRejectedWrites is the count of such writes in a row from which on the
	// pause grows no further: its doublings exceed maxRetryWait by then.
	maxRejectedWrites = 10
	// maxReadinessWrites bounds the ready marks in flight, as placements wait behind them.
	maxReadinessWrites = 32
	// maxCancellationWrites bounds the marks in flight of jobs with a cancelled upstream
	// job, so that the requests of users go first.
	maxCancellationWrites = 8
)

// backOff delays the next mark of a job after a write about it. A write that the
// state service calls malformed will be so again: it is retried ever less often.
func (j *Job) backOff(r kv.Result) {
	j.retryAt = r.Now + retryAfter(r, &j.rejectedWrites)
}

// retryAfter is how long to wait after a write, in ns; rejected counts those in a
// row that were called malformed.
func retryAfter(r kv.Result, rejected *int) time.Duration {
	if r.Outcome != kv.Rejected {
		*rejected = 0
		return retryWait
	}
	*rejected = min(*rejected+1, maxRejectedWrites)
	return min(maxRetryWait, time.Second<<*rejected)
}

// mayWriteRecord reports whether a mark of the job may be written now.
func (j *Job) mayWriteRecord(now time.Duration) bool {
	return !j.recordWriteInFlight && now >= j.retryAt
}

// WriteReadiness queues the ready marks of held jobs of ours: all that they need is done.
func (t *Table) WriteReadiness(now time.Duration, s TxnSubmitter, ours func(*Job) bool) {
	if len(t.graph.releasable) == 0 || t.graph.readinessWritesInFlight >= maxReadinessWrites {
		return
	}
	for _, j := range t.Releasable() {
		if t.graph.readinessWritesInFlight >= maxReadinessWrites {
			return
		}
		if j.mayWriteRecord(now) && ours(j) {
			t.writeReadiness(j, now, s)
		}
	}
}

func (t *Table) writeReadiness(j *Job, now time.Duration, s TxnSubmitter) {
	ready := *j
	ready.Ready = true
	ready.ReadyAt = t.UnixMS(now)
	ready.UpstreamPages = 0
	ready.SubmissionRevision = 0
	j.submitRecordWrite(&t.graph.readinessWritesInFlight, now, s, &kv.Txn{
		Priority: kv.PriorityPlacement,
		Writes:   []kv.Write{{Key: record.JobKey(j.ID), Data: EncodeJob(t.Names, &ready)}},
	})
}

// submitRecordWrite queues the writes of a mark on condition of the job's record as the
// replica shows it and of no final mark, so that of several controllers that mark
// the job only one succeeds; inFlight counts such marks.
func (j *Job) submitRecordWrite(inFlight *int, now time.Duration, s TxnSubmitter, in *kv.Txn) {
	j.recordWriteInFlight = true
	*inFlight++
	in.Rank = j.writeRank()
	in.Compares = []kv.Compare{{Key: record.JobKey(j.ID), ModRevision: j.ModRevision}, {Key: record.TerminalKey(j.ID)}}
	in.Done = func(r kv.Result) {
		j.recordWriteInFlight = false
		*inFlight--
		j.backOff(r)
	}
	s.Submit(in, now+writeTimeout)
}

// WriteCancellations queues, a few at a time, the final marks of jobs of ours
// below a cancelled one. The answers to users do not wait for them.
func (t *Table) WriteCancellations(now time.Duration, s TxnSubmitter, ours func(*Job) bool) {
	g := &t.graph
	if len(g.cancelQueue) == 0 || g.cancellationWritesInFlight >= maxCancellationWrites {
		return
	}
	g.cancelQueue = slices.DeleteFunc(g.cancelQueue, func(j *Job) bool { return !g.upstreamCancelled[j] })
	for _, j := range g.cancelQueue {
		if g.cancellationWritesInFlight >= maxCancellationWrites {
			return
		}
		if j.mayWriteRecord(now) && ours(j) {
			t.writeCancellation(j, now, s)
		}
	}
}

// writeCancellation writes the mark and drops the record.
func (t *Table) writeCancellation(j *Job, now time.Duration, s TxnSubmitter) {
	j.submitRecordWrite(&t.graph.cancellationWritesInFlight, now, s, &kv.Txn{
		Priority: kv.PriorityProgress,
		Writes:   []kv.Write{{Key: record.TerminalKey(j.ID), Data: EncodeTerminal(Cancelled, j)}, {Key: record.JobKey(j.ID)}},
	})
}
