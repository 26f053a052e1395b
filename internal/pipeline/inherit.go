package pipeline

import (
	"container/heap"
	"math"
)

// NoDeadline is the deadline of a job that has none.
const NoDeadline = math.MaxInt64

// youngestFirst is a heap of jobs whose effective values are stale: the youngest
// held job first, jobs that are ready last. A job names only jobs that were
// accepted before it, and a held job's record is rewritten by its ready mark alone,
// so whatever a job inherits is settled before it.
type youngestFirst []*Job

func (h youngestFirst) Len() int { return len(h) }

func (h youngestFirst) Less(a, b int) bool {
	if x, y := h[a].acceptedAt(), h[b].acceptedAt(); x != y {
		return x > y
	}
	return h[a].ID > h[b].ID
}

func (h youngestFirst) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

func (h *youngestFirst) Push(x any) { *h = append(*h, x.(*Job)) }

func (h *youngestFirst) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// acceptedAt is the version at which a held job was accepted, 0 for one that is
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
	h := make(youngestFirst, 0, len(stale))
	for j := range stale {
		h = append(h, j)
	}
	heap.Init(&h)
	push := func(j *Job) {
		if !stale[j] {
			stale[j] = true
			heap.Push(&h, j)
		}
	}
	for len(h) > 0 {
		j := heap.Pop(&h).(*Job)
		delete(stale, j)
		if t.byID[j.ID] != j {
			continue // its records are deleted
		}
		if j.inheritStale {
			t.rederive(j)
		}
		t.propagate(j, push)
	}
}

// rederive computes a job's effective values from those of the jobs that need it.
func (t *Table) rederive(j *Job) {
	j.inheritStale = false
	j.EffectivePriority = j.Priority
	j.EffectiveDeadline = j.deadlineAt
	for dependent := range t.graph.dependents[j.ID] {
		j.inheritFrom(dependent)
	}
}

// propagate passes a job's effective values, if they have changed, on to its
// upstream jobs. Values that ask for less make them be derived anew, since another
// dependent job may still ask for more.
func (t *Table) propagate(j *Job, push func(*Job)) {
	if j.EffectivePriority == j.propagatedPriority && j.EffectiveDeadline == j.propagatedDeadline {
		return
	}
	asksLess := j.EffectivePriority < j.propagatedPriority || j.EffectiveDeadline > j.propagatedDeadline
	j.propagatedPriority = j.EffectivePriority
	j.propagatedDeadline = j.EffectiveDeadline
	for _, id := range j.linkedUpstream {
		upstream := t.byID[id]
		if upstream == nil || upstream.TerminalPhase != Queued {
			continue
		}
		if asksLess {
			upstream.inheritStale = true
			push(upstream)
		} else if upstream.inheritFrom(j) {
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
