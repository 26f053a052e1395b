package scheduler

import (
	"container/heap"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// slot is capacity for one task of a job on a machine, now or later.
type slot struct {
	capacity *Capacity
	slotPrice
}

// slotPrice is what it takes to run one more task on a machine.
type slotPrice struct {
	cost    float64                // seconds
	victims []*pipeline.Assignment // to be preempted
}

// slotSearch asks for the cheapest slots for tasks of a job.
type slotSearch struct {
	job   *pipeline.Job
	zone  pipeline.ZoneSelector
	count int
	price slotPricing
}

// slotPricing prices one more task on a machine, given what the slots found so far
// leave of it and which victims they have claimed. ok is false where the machine can
// take no more tasks.
type slotPricing func(free *Capacity, claimed victimSet) (price slotPrice, ok bool)

// victimSet holds the victims of slots that were found before.
type victimSet map[*pipeline.Assignment]bool

// cheapestSlots finds as many slots as are wanted, the cheapest first. Nothing is
// changed by it. It is a greedy search: a heap holds the cheapest next slot of each
// machine, and after each slot only its machine is priced again.
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
		if cheapest.slotPrice, ok = search.price(cheapest.remaining, claimed); ok {
			heap.Fix(&candidates, 0)
		} else {
			heap.Pop(&candidates)
		}
	}
	return slots
}

// slotCandidates prices a first slot on each machine.
func (r *round) slotCandidates(search slotSearch, claimed victimSet) slotHeap {
	candidates := r.scratch.slots[:0]
	r.counters.machinesVisited += len(r.capacities)
	for i, capacity := range r.capacities {
		if !capacity.eligible(search.job, search.zone, r.now) {
			continue
		}
		if price, ok := search.price(capacity, claimed); ok {
			candidates = append(candidates, slotCandidate{slot: slot{capacity, price}, index: i})
		}
	}
	r.scratch.slots = candidates
	return candidates
}

// eligible reports whether a machine in an allowed zone may run a task of a job once
// there is room, whatever runs there now.
func (c *Capacity) eligible(job *pipeline.Job, zone pipeline.ZoneSelector, now event.Time) bool {
	if !zone.Allows(c.Zone) {
		return false
	}
	if c.Machine.Draining() || !c.fitsEmpty(&job.Spec) {
		return false
	}
	return c.accepts(job, now)
}

// slotCandidate is the cheapest next slot on one machine.
type slotCandidate struct {
	slot
	remaining *Capacity // as the slots found before leave it, nil: there are none
	index     int       // of the machine among the others, so that equal costs keep an order
}

// claim counts the slot as used.
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

// slotHeap implements heap.Interface, the cheapest slot first.
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
