package pipeline

import (
	"slices"
	"time"

	"lugward/internal/store"
)

const (
	// maxRetryWait, in ns, bounds the pause after writes that the state service
	// calls malformed.
	maxRetryWait = int64(30 * time.Second)
	// maxRejectedWrites is the count of such writes in a row from which on the
	// pause grows no further: its doublings exceed maxRetryWait by then.
	maxRejectedWrites = 10
	// maxReadyMarks bounds the ready marks in flight, as placements wait behind them.
	maxReadyMarks = 32
	// maxCancelMarks bounds the marks in flight of jobs with a cancelled upstream
	// job, so that the requests of users go first.
	maxCancelMarks = 8
)

// backOff delays the next mark of a job after a write about it. A write that the
// state service calls malformed will be so again: it is retried ever less often.
func (j *Job) backOff(r store.Result) {
	j.retryAt = int64(r.Now) + retryAfter(r, &j.rejectedWrites)
}

// retryAfter is how long to wait after a write, in ns; rejected counts those in a
// row that were called malformed.
func retryAfter(r store.Result, rejected *int) int64 {
	if !r.Invalid {
		*rejected = 0
		return retryWait
	}
	*rejected = min(*rejected+1, maxRejectedWrites)
	return min(maxRetryWait, int64(time.Second)<<*rejected)
}

// markable reports whether a mark of the job may be written now.
func (j *Job) markable(now time.Duration) bool {
	return !j.marking && int64(now) >= j.retryAt
}

// MarkReady queues the ready marks of held jobs of ours: all that they need is done.
func (t *Table) MarkReady(now time.Duration, s Submitter, ours func(*Job) bool) {
	if len(t.graph.releasable) == 0 || t.graph.readyMarksInFlight >= maxReadyMarks {
		return
	}
	for _, j := range t.Releasable() {
		if t.graph.readyMarksInFlight >= maxReadyMarks {
			return
		}
		if j.markable(now) && ours(j) {
			t.markReady(j, now, s)
		}
	}
}

func (t *Table) markReady(j *Job, now time.Duration, s Submitter) {
	ready := *j
	ready.Ready = true
	ready.ReadyAt = t.UnixMS(now)
	ready.UpstreamParts = 0
	ready.SubmissionVersion = 0
	j.submitMark(&t.graph.readyMarksInFlight, now, s, &store.Intent{
		Priority: store.Place,
		Writes:   []store.Write{{Key: JobKeyOf(j.ID), Data: Encode(t.Names, &ready)}},
	})
}

// submitMark queues the writes of a mark on condition of the job's record as the
// replica shows it and of no final mark, so that of several controllers that mark
// the job only one succeeds; inFlight counts such marks.
func (j *Job) submitMark(inFlight *int, now time.Duration, s Submitter, in *store.Intent) {
	j.marking = true
	*inFlight++
	in.Rank = j.writeRank()
	in.Conditions = []store.Condition{{Key: JobKeyOf(j.ID), Version: j.Version}, {Key: FinalKeyOf(j.ID)}}
	in.Done = func(r store.Result) {
		j.marking = false
		*inFlight--
		j.backOff(r)
	}
	s.Submit(in, now+writeTimeout)
}

// MarkUpstreamCancelled queues, a few at a time, the final marks of jobs of ours
// below a cancelled one. The answers to users do not wait for them.
func (t *Table) MarkUpstreamCancelled(now time.Duration, s Submitter, ours func(*Job) bool) {
	g := &t.graph
	if len(g.cancelQueue) == 0 || g.cancelMarksInFlight >= maxCancelMarks {
		return
	}
	g.cancelQueue = slices.DeleteFunc(g.cancelQueue, func(j *Job) bool { return !g.upstreamCancelled[j] })
	for _, j := range g.cancelQueue {
		if g.cancelMarksInFlight >= maxCancelMarks {
			return
		}
		if j.markable(now) && ours(j) {
			t.markUpstreamCancelled(j, now, s)
		}
	}
}

// markUpstreamCancelled writes the mark and drops the record.
func (t *Table) markUpstreamCancelled(j *Job, now time.Duration, s Submitter) {
	j.submitMark(&t.graph.cancelMarksInFlight, now, s, &store.Intent{
		Priority: store.Progress,
		Writes:   []store.Write{{Key: FinalKeyOf(j.ID), Data: EncodeFinal(Cancelled, j)}, {Key: JobKeyOf(j.ID)}},
	})
}
