package scheduler

import (
	"container/heap"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// slot is capacity for one task of a job on a machine. It is free now, or becomes free
// later or by preemption.
type slot struct {
	capacity *Capacity
	slotCost
}

// slotCost is the cost of running one more task on a machine.
type slotCost struct {
	cost    float64                // in seconds
	victims []*pipeline.Assignment // tasks to preempt
}

// slotSearch describes a search for the count cheapest slots for tasks of a job.
type slotSearch struct {
	job    *pipeline.Job
	zone   pipeline.ZoneSelector
	count  int
	costOf slotCostFunc
}

// slotCostFunc returns the cost of one more task on a machine. free is the capacity that
// the slots found so far leave on it, and claimed holds their victims. ok is false if
// the machine cannot take another task.
type slotCostFunc func(free *Capacity, claimed victimSet) (cost slotCost, ok bool)

// victimSet holds the victims of the slots found so far.
type victimSet map[*pipeline.Assignment]bool

// cheapestSlots returns up to search.count slots, cheapest first. It does not change the
// round's capacities. The search is greedy: a heap holds the cheapest next slot of each
// machine, and after a slot is taken only the cost of its machine is recomputed.
func (r *round) cheapestSlots(search slotSearch) []slot {
	claimed := victimSet{}
	candidates := r.slotCandidates(search, claimed)
	heap.Init(&candidates)
	placed := r.TasksByZone(search.job)
	var slots []slot
	for len(slots) < search.count && len(candidates) > 0 {
		cheapest := &candidates[0]
		zone := cheapest.capacity.Zone
		if TasksAllowedInZone(search.job, placed, zone) <= 0 {
			heap.Pop(&candidates)
			continue
		}
		slots = append(slots, cheapest.slot)
		placed[zone]++
		cheapest.claim(search.job, claimed)
		var ok bool
		if cheapest.slotCost, ok = search.costOf(cheapest.remaining, claimed); ok {
			heap.Fix(&candidates, 0)
		} else {
			heap.Pop(&candidates)
		}
	}
	return slots
}

// slotCandidates returns the cheapest slot of each eligible machine.
func (r *round) slotCandidates(search slotSearch, claimed victimSet) slotHeap {
	candidates := r.scratch.slots[:0]
	r.counters.machinesVisited += len(r.capacities)
	for i, capacity := range r.capacities {
		if !capacity.eligible(search.job, search.zone, r.now) {
			continue
		}
		if cost, ok := search.costOf(capacity, claimed); ok {
			candidates = append(candidates, slotCandidate{slot: slot{capacity, cost}, index: i})
		}
	}
	r.scratch.slots = candidates
	return candidates
}

// eligible reports whether the machine may run a task of a job once it has enough free
// capacity, regardless of the tasks that it runs now.
func (c *Capacity) eligible(job *pipeline.Job, zone pipeline.ZoneSelector, now event.Time) bool {
	if !zone.Allows(c.Zone) {
		return false
	}
	if c.Machine.Draining() || !c.fitsWhenEmpty(&job.Spec) {
		return false
	}
	return c.accepts(job, now)
}

// slotCandidate is the cheapest next slot on one machine.
type slotCandidate struct {
	slot
	remaining *Capacity // capacity left by the slots found on the machine, nil if there are none
	index     int       // index of the machine in the round, which breaks ties between equal costs
}

// claim allocates the slot in the candidate's remaining capacity and adds its victims to
// claimed.
func (c *slotCandidate) claim(job *pipeline.Job, claimed victimSet) {
	if c.remaining == nil {
		remaining := *c.capacity
		c.remaining = &remaining
	}
	for _, victim := range c.victims {
		claimed[victim] = true
		c.remaining.release(&victim.Job.Spec)
	}
	c.remaining.Allocate(&job.Spec, 1)
}

// slotHeap implements heap.Interface with the cheapest slot first.
type slotHeap []slotCandidate

func (h slotHeap) Len() int { return len(h) }
func (h slotHeap) Less(a, b int) bool {
	return h[a].cost < h[b].cost || (h[a].cost == h[b].cost && h[a].index < h[b].index)
}
func (h slotHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *slotHeap) Push(x any)   { *h = append(*h, x.(slotCandidate)) }
func (h *slotHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
