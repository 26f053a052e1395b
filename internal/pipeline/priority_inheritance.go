package pipeline

import (
	"container/heap"
	"math"
)

// NoDeadline is the deadline of a job that has none.
const NoDeadline = math.MaxInt64

// youngestFirst is a heap of jobs whose effective values are stale: the youngest
// held job first, jobs that are ready last. A job names only jobs that were
// accepted before it, and a held job's record is rewritten by its readiness alone,
// so whatever a job inherits is settled before it.
type youngestFirst []*Job

// Len returns the number of jobs.
func (h youngestFirst) Len() int { return len(h) }

// Less orders the jobs by acceptance, the youngest first.
func (h youngestFirst) Less(a, b int) bool {
	if revisionA, revisionB := h[a].acceptedAt(), h[b].acceptedAt(); revisionA != revisionB {
		return revisionA > revisionB
	}
	return h[a].ID > h[b].ID
}

// Swap swaps two jobs.
func (h youngestFirst) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push appends a job, for container/heap.
func (h *youngestFirst) Push(x any) { *h = append(*h, x.(*Job)) }

// Pop removes the last job, for container/heap.
func (h *youngestFirst) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// acceptedAt is the revision at which a held job was accepted, 0 for one that is
// ready: its record has been rewritten since.
func (j *Job) acceptedAt() uint64 {
	if j.Ready {
		return 0
	}
	return j.ModRevision
}

// inherit derives the effective priorities and deadlines that follow from what
// has changed, each job's once.
func (t *Table) inherit() {
	stale := t.graph.stale
	if len(stale) == 0 {
		return
	}
	queue := make(youngestFirst, 0, len(stale))
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
			t.rederive(job)
		}
		t.propagate(job, push)
	}
}

// rederive computes a job's effective values from those of the jobs that need it.
func (t *Table) rederive(job *Job) {
	job.inheritStale = false
	job.EffectivePriority = job.Priority
	job.EffectiveDeadline = job.deadlineAt
	for dependent := range t.graph.dependents[job.ID] {
		job.inheritFrom(dependent)
	}
}

// propagate passes a job's effective values, if they have changed, on to its
// upstream jobs. Values that ask for less make them be derived anew, since another
// dependent job may still ask for more.
func (t *Table) propagate(job *Job, push func(*Job)) {
	if job.EffectivePriority == job.propagatedPriority && job.EffectiveDeadline == job.propagatedDeadline {
		return
	}
	asksLess := job.EffectivePriority < job.propagatedPriority || job.EffectiveDeadline > job.propagatedDeadline
	job.propagatedPriority = job.EffectivePriority
	job.propagatedDeadline = job.EffectiveDeadline
	for _, id := range job.linkedUpstream {
		upstream := t.byID[id]
		if upstream == nil || upstream.TerminalPhase != Queued {
			continue
		}
		if asksLess {
			upstream.inheritStale = true
			push(upstream)
		} else if upstream.inheritFrom(job) {
			push(upstream)
		}
	}
}

// inheritFrom raises a job's effective values to what one that needs it asks for.
// It reports whether they have changed.
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
