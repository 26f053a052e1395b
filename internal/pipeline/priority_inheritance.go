package pipeline

import (
	"container/heap"
	"math"
)

// NoDeadline is the value of a deadline that is not set.
const NoDeadline = math.MaxInt64

// newestFirst is a heap of jobs whose effective values are stale. The most recently created
// held job comes first, ready jobs come last. The upstream jobs of a job were all created
// before it, and a held job's record is only rewritten when the job becomes ready. So all
// jobs that a job inherits from are processed before it.
type newestFirst []*Job

// Len returns the number of jobs.
func (h newestFirst) Len() int { return len(h) }

// Less orders the jobs by create revision, most recent first.
func (h newestFirst) Less(a, b int) bool {
	if revisionA, revisionB := h[a].createRevision(), h[b].createRevision(); revisionA != revisionB {
		return revisionA > revisionB
	}
	return h[a].ID > h[b].ID
}

// Swap swaps two jobs.
func (h newestFirst) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push appends a job, for container/heap.
func (h *newestFirst) Push(x any) { *h = append(*h, x.(*Job)) }

// Pop removes the last job, for container/heap.
func (h *newestFirst) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// createRevision returns the revision at which a held job's record was created. It is zero
// for a ready job, whose record has been rewritten since.
func (j *Job) createRevision() uint64 {
	if j.Ready {
		return 0
	}
	return j.ModRevision
}

// updateEffectiveValues updates the effective priorities and deadlines of all jobs that are
// affected by changes. Each job is processed once.
func (t *Table) updateEffectiveValues() {
	stale := t.graph.stale
	if len(stale) == 0 {
		return
	}
	queue := make(newestFirst, 0, len(stale))
	for job := range stale {
		queue = append(queue, job)
	}
	heap.Init(&queue)
	push := func(job *Job) {
		if !stale[job] {
			stale[job] = true
			heap.Push(&queue, job)
		}
	}
	for len(queue) > 0 {
		job := heap.Pop(&queue).(*Job)
		delete(stale, job)
		if t.byID[job.ID] != job {
			continue // its records are deleted
		}
		if job.inheritStale {
			t.recomputeEffectiveValues(job)
		}
		t.propagate(job, push)
	}
}

// recomputeEffectiveValues computes a job's effective values from its own and those of its
// dependent jobs.
func (t *Table) recomputeEffectiveValues(job *Job) {
	job.inheritStale = false
	job.EffectivePriority = job.Priority
	job.EffectiveDeadline = job.deadlineAt
	for dependent := range t.graph.dependents(job.ID) {
		job.inheritFrom(dependent)
	}
}

// propagate passes a job's effective values on to its upstream jobs if they have changed. If
// the priority is lower or the deadline later than before, the upstream jobs are recomputed,
// since another dependent job may still require the old values.
func (t *Table) propagate(job *Job, push func(*Job)) {
	if job.EffectivePriority == job.propagatedPriority && job.EffectiveDeadline == job.propagatedDeadline {
		return
	}
	relaxed := job.EffectivePriority < job.propagatedPriority || job.EffectiveDeadline > job.propagatedDeadline
	job.propagatedPriority = job.EffectivePriority
	job.propagatedDeadline = job.EffectiveDeadline
	if !job.linked {
		return
	}
	for _, vertex := range job.upstream {
		upstream := t.byID[t.graph.id(vertex)]
		if upstream == nil || upstream.TerminalPhase != Queued {
			continue
		}
		if relaxed {
			upstream.inheritStale = true
			push(upstream)
		} else if upstream.inheritFrom(job) {
			push(upstream)
		}
	}
}

// inheritFrom raises a job's effective values to those that a dependent job requires. It
// reports whether they have changed.
func (j *Job) inheritFrom(dependent *Job) bool {
	priority := max(j.EffectivePriority, dependent.EffectivePriority)
	deadline := j.EffectiveDeadline
	if dependent.EffectiveDeadline != NoDeadline {
		deadline = min(deadline, dependent.EffectiveDeadline-secondsToDuration(dependent.EstimatedRuntime))
	}
	changed := priority != j.EffectivePriority || deadline != j.EffectiveDeadline
	j.EffectivePriority = priority
	j.EffectiveDeadline = deadline
	j.Chained = true
	return changed
}
