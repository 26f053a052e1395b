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
	victims  []*pipeline.Entry // to be stopped for it
}

// pricing tells what one more task costs on what is left of a machine. taken
// holds the victims that were chosen before. ok is false where it can't be had.
type pricing func(left *Capacity, taken map[*pipeline.Entry]bool) (cost float64, victims []*pipeline.Entry, ok bool)

// offer is the cheapest next pick on one machine.
type offer struct {
	pick
	remaining *Capacity // as the picks before leave it, nil: none yet
	index     int       // of the machine among the others, so that equal costs keep an order
}

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

const anyZone = -1

// choose picks capacity for n tasks of a job, the cheapest first, in one zone or
// in any. Nothing is changed by it.
func (p *Scheduler) choose(j *pipeline.Job, capacities []*Capacity, zone, n int, price pricing, now event.Time) []pick {
	taken := map[*pipeline.Entry]bool{}
	list := p.offers[:0]
	for i, r := range capacities {
		if (zone != anyZone && r.Zone != zone) || !r.Matches(&j.Spec) || !r.fitsEmpty(&j.Spec) || j.Avoids(r.Machine.Index, int64(now)) || r.Machine.Draining {
			continue
		}
		if cost, victims, ok := price(r, taken); ok {
			list = append(list, offer{pick: pick{r, cost, victims}, index: i})
		}
	}
	p.offers = list
	heap.Init(&list)
	inZone := p.Zones(j)
	var picks []pick
	for len(picks) < n && len(list) > 0 {
		o := &list[0]
		if ZoneCapacity(j, inZone, o.capacity.Zone) <= 0 {
			heap.Pop(&list)
			continue
		}
		picks = append(picks, o.pick)
		inZone[o.capacity.Zone]++
		if o.remaining == nil {
			left := *o.capacity
			o.remaining = &left
		}
		for _, e := range o.victims {
			taken[e] = true
			o.remaining.release(&e.Job.Spec)
		}
		o.remaining.Allocate(&j.Spec, 1)
		var ok bool
		if o.cost, o.victims, ok = price(o.remaining, taken); ok {
			heap.Fix(&list, 0)
		} else {
			heap.Pop(&list)
		}
	}
	return picks
}

// zonesOf lists the zones to try for a job: one at a time if its tasks must
// be together, beginning with the one where capacity is being gathered for it.
func (p *Scheduler) zonesOf(j *pipeline.Job, capacities []*Capacity) []int {
	if !j.SamePlace || j.TaskCount == 1 {
		return []int{anyZone}
	}
	inZone := p.Zones(j)
	var zones []int
	if len(inZone) > 0 {
		for z := range inZone {
			if len(inZone) == 1 && z != unknownZone {
				zones = append(zones, z)
			}
		}
		return zones // tasks of it may still be there
	}
	seen := map[int]bool{}
	if j.ReservedZone != 0 {
		zones, seen[j.ReservedZone-1] = append(zones, j.ReservedZone-1), true
	}
	for _, r := range capacities {
		if !seen[r.Zone] {
			seen[r.Zone] = true
			zones = append(zones, r.Zone)
		}
	}
	return zones
}
