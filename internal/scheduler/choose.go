package scheduler

import (
	"container/heap"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// pick is capacity for one task of a job on a machine, and what it costs.
type pick struct {
	capacity *Capacity
	cost     float64
	victims  []*pipeline.Assignment // to be stopped for it
}

// taken holds the victims that were chosen before.
type taken map[*pipeline.Assignment]bool

// pricing tells what one more task costs on what is left of a machine. ok is false
// where the machine can take no more.
type pricing func(left *Capacity, taken taken) (cost float64, victims []*pipeline.Assignment, ok bool)

// offer is the cheapest next pick on one machine.
type offer struct {
	pick
	remaining *Capacity // as the picks before leave it, nil: none yet
	index     int       // of the machine among the others, so that equal costs keep an order
}

// take counts the offer's pick as carried out.
func (o *offer) take(job *pipeline.Job, taken taken) {
	if o.remaining == nil {
		left := *o.capacity
		o.remaining = &left
	}
	for _, victim := range o.victims {
		taken[victim] = true
		o.remaining.release(&victim.Job.Spec)
	}
	o.remaining.Allocate(&job.Spec, 1)
}

// offers is a heap, the cheapest first.
type offers []offer

func (o offers) Len() int { return len(o) }
func (o offers) Less(a, b int) bool {
	return o[a].cost < o[b].cost || (o[a].cost == o[b].cost && o[a].index < o[b].index)
}
func (o offers) Swap(a, b int) { o[a], o[b] = o[b], o[a] }
func (o *offers) Push(x any)   { *o = append(*o, x.(offer)) }
func (o *offers) Pop() any {
	old := *o
	last := old[len(old)-1]
	*o = old[:len(old)-1]
	return last
}

// choose picks capacity for a number of tasks of a job, the cheapest first, in one
// zone or in any. Nothing is changed by it.
func (s *Scheduler) choose(job *pipeline.Job, capacities []*Capacity, zone, count int, price pricing, now event.Time) []pick {
	taken := taken{}
	list := s.scratch.offers[:0]
	s.counters.machinesVisited += len(capacities)
	for i, capacity := range capacities {
		if !mayChoose(job, capacity, zone, now) {
			continue
		}
		if cost, victims, ok := price(capacity, taken); ok {
			list = append(list, offer{pick: pick{capacity, cost, victims}, index: i})
		}
	}
	s.scratch.offers = list
	heap.Init(&list)
	inZone := s.TasksByZone(job)
	var picks []pick
	for len(picks) < count && len(list) > 0 {
		cheapest := &list[0]
		if TasksAllowedInZone(job, inZone, cheapest.capacity.Zone) <= 0 {
			heap.Pop(&list)
			continue
		}
		picks = append(picks, cheapest.pick)
		inZone[cheapest.capacity.Zone]++
		cheapest.take(job, taken)
		var ok bool
		if cheapest.cost, cheapest.victims, ok = price(cheapest.remaining, taken); ok {
			heap.Fix(&list, 0)
		} else {
			heap.Pop(&list)
		}
	}
	return picks
}

// mayChoose tells whether capacity on a machine may be chosen for a job, whatever
// runs there now.
func mayChoose(job *pipeline.Job, capacity *Capacity, zone int, now event.Time) bool {
	if zone != anyZone && capacity.Zone != zone {
		return false
	}
	if capacity.Machine.Draining() || !capacity.fitsEmpty(&job.Spec) {
		return false
	}
	return capacity.accepts(job, now)
}
