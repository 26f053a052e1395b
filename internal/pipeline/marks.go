package pipeline

import (
	"slices"
	"time"

	"lugward/internal/store"
)

const (
	maxRetryWait     = int64(30 * time.Second)
	maxReadyMarks    = 32 // ready marks at a time: placements wait behind them
	maxCancelMarks   = 8  // marks of jobs with a cancelled upstream job at a time: what users ask for goes first
	maxDeletingParts = 4
	orphanTimeout    = int64(time.Minute) // a list without its job is given up after this
	// RivalTimeout is how long a list that another attempt began keeps others from
	// beginning anew.
	RivalTimeout = 6 * time.Second
)

// backOff puts off the next write about a job. One that the state service calls
// malformed stays so: it is tried ever less often.
func (j *Job) backOff(r store.Result) {
	j.retryAt = int64(r.Now) + retryAfter(r, &j.rejectedWrites)
}

// retryAfter is how long to wait after a write; refused counts those in a row
// that were called malformed.
func retryAfter(r store.Result, refused *int) int64 {
	if !r.Invalid {
		*refused = 0
		return retryWait
	}
	*refused = min(*refused+1, 10)
	return min(maxRetryWait, int64(time.Second)<<*refused)
}

// MarkReady logs that held jobs of ours may start: all that they need is done.
func (t *Table) MarkReady(now time.Duration, s Submitter, ours func(*Job) bool) {
	if len(t.graph.releasable) == 0 || t.graph.readying >= maxReadyMarks {
		return
	}
	for _, j := range t.Releasable() {
		if t.graph.readying >= maxReadyMarks {
			return
		}
		if !j.marking && int64(now) >= j.retryAt && ours(j) {
			t.markReady(j, now, s)
		}
	}
}

func (t *Table) markReady(j *Job, now time.Duration, s Submitter) {
	ready := *j
	ready.Ready, ready.UpstreamParts, ready.SubmissionVersion, ready.ReadyAt = true, 0, 0, t.UnixMS(now)
	j.mark(&t.graph.readying, now, s, &store.Intent{Priority: store.Place,
		Writes: []store.Write{{Key: JobKeyOf(j.ID), Data: Encode(t.Names, &ready)}}})
}

// mark submits the writes of a mark on condition of the job's record and of no
// final mark; count is of such marks under way.
func (j *Job) mark(count *int, now time.Duration, s Submitter, in *store.Intent) {
	j.marking = true
	*count++
	in.Conditions = []store.Condition{{Key: JobKeyOf(j.ID), Version: j.Version}, {Key: FinalKeyOf(j.ID)}}
	in.Done = func(r store.Result) {
		j.marking = false
		*count--
		j.backOff(r)
	}
	s.Submit(in, now+writeTimeout)
}

// MarkUpstreamCancelled logs, a few at a time, that jobs of ours are cancelled with one
// that they need. What users are told does not wait for it.
func (t *Table) MarkUpstreamCancelled(now time.Duration, s Submitter, ours func(*Job) bool) {
	g := &t.graph
	if len(g.queue) == 0 || g.marking >= maxCancelMarks {
		return
	}
	g.queue = slices.DeleteFunc(g.queue, func(j *Job) bool { return !g.upstreamCancelled[j] })
	for _, j := range g.queue {
		if g.marking >= maxCancelMarks {
			return
		}
		if !j.marking && int64(now) >= j.retryAt && ours(j) {
			t.markUpstreamCancelled(j, now, s)
		}
	}
}

// markUpstreamCancelled writes the mark and drops the record.
func (t *Table) markUpstreamCancelled(j *Job, now time.Duration, s Submitter) {
	j.mark(&t.graph.marking, now, s, &store.Intent{Priority: store.Progress,
		Writes: []store.Write{{Key: FinalKeyOf(j.ID), Data: EncodeFinal(Cancelled, j)}, {Key: JobKeyOf(j.ID)}}})
}
