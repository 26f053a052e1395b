package pipeline

import (
	"container/heap"
	"math"
)

// NoDeadline is the deadline of a job that has none.
const NoDeadline = math.MaxInt64

// byAge pops the youngest held job first, jobs that are ready last. A job names
// only jobs that were accepted before it and a held job's record is rewritten
// by its ready mark alone, so whatever a job inherits is settled before it.
type byAge []*Job

func (h byAge) Len() int { return len(h) }

func (h byAge) Less(a, b int) bool {
	if x, y := h[a].age(), h[b].age(); x != y {
		return x > y
	}
	return h[a].ID > h[b].ID
}

func (h byAge) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

func (h *byAge) Push(x any) { *h = append(*h, x.(*Job)) }

func (h *byAge) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (j *Job) age() uint64 {
	if j.Ready {
		return 0
	}
	return j.Version
}

// inherit derives the effective priorities and deadlines that follow from what
// has changed, each job's once.
func (t *Table) inherit() {
	stale := t.graph.stale
	if len(stale) == 0 {
		return
	}
	h := make(byAge, 0, len(stale))
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
			continue
		}
		if j.inheritStale {
			j.inheritStale = false
			j.EffectivePriority, j.EffectiveDeadline = j.Priority, j.deadlineAt
			for d := range t.graph.dependents[j.ID] {
				j.inheritFrom(d)
			}
		}
		if j.EffectivePriority == j.propagatedPriority && j.EffectiveDeadline == j.propagatedDeadline {
			continue
		}
		lower := j.EffectivePriority < j.propagatedPriority || j.EffectiveDeadline > j.propagatedDeadline
		j.propagatedPriority, j.propagatedDeadline = j.EffectivePriority, j.EffectiveDeadline
		for _, up := range j.linkedUpstream {
			u := t.byID[up]
			if u == nil || u.Final != Queued {
				continue
			}
			if lower {
				u.inheritStale = true
				push(u)
			} else if u.inheritFrom(j) {
				push(u)
			}
		}
	}
}

// inheritFrom raises a job's effective values by those of one that needs it.
func (j *Job) inheritFrom(d *Job) bool {
	priority, deadline := max(j.EffectivePriority, d.EffectivePriority), j.EffectiveDeadline
	if d.EffectiveDeadline != NoDeadline {
		deadline = min(deadline, d.EffectiveDeadline-int64(d.EstimatedRuntime*1e9))
	}
	changed := priority != j.EffectivePriority || deadline != j.EffectiveDeadline
	j.EffectivePriority, j.EffectiveDeadline, j.Chained = priority, deadline, true
	return changed
}
