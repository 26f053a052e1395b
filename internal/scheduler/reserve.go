package scheduler

import (
	"math"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// maxReservations bounds the reservations of one round: what is further back in
// the order waits for later ones. A gang begun within the bound is reserved for
// as a whole.
const maxReservations = 64

// reserve keeps capacity for tasks of a job that found none: on each machine it
// takes what will be free first, so that jobs behind it in the order of
// readiness use only what does not delay it. For a gang that must be in one
// place a zone is chosen once and kept: else the capacity that gathers in one is
// left for another whenever that looks a little better, and small work takes it.
func (p *Scheduler) reserve(j *pipeline.Job, left int, capacities []*Capacity, now event.Time) {
	if left <= 0 || p.reserved >= maxReservations {
		return
	}
	if j.Shape != pipeline.Gang {
		left = min(left, maxReservations-p.reserved)
	}
	price := func(r *Capacity, _ map[*pipeline.Entry]bool) (float64, []*pipeline.Entry, bool) {
		at := p.fitsAt(j, r, now)
		return at, nil, !math.IsInf(at, 1)
	}
	var best []pick
	soonest, chosen := math.Inf(1), anyZone
	for _, z := range p.zonesOf(j, capacities) {
		picks := p.choose(j, capacities, z, left, price, now)
		if len(picks) == 0 {
			continue
		}
		at := picks[len(picks)-1].cost
		if len(picks) < left {
			// Not enough machines yet: it holds what there is only where more
			// are being provisioned for it, and otherwise the most.
			at = math.MaxFloat64 / float64(1+len(picks))
		}
		if at < soonest {
			soonest, best, chosen = at, picks, z
		}
		if j.ReservedZone != 0 && z == j.ReservedZone-1 {
			break // kept
		}
	}
	if chosen != anyZone && len(best) == left {
		j.ReservedZone = chosen + 1
	}
	for _, k := range best {
		p.reserved++
		p.reserveTask(j, k.capacity, now)
	}
}

// fitsAt estimates in how many seconds a task of the job fits on a machine.
func (p *Scheduler) fitsAt(j *pipeline.Job, r *Capacity, now event.Time) float64 {
	if r.Fits(&j.Spec) > 0 {
		return 0
	}
	if !r.sorted {
		r.sorted = true
		for _, e := range p.Jobs.OnMachine(r.Machine.Index) {
			if e.Phase == pipeline.Exited {
				continue
			}
			at := p.Remaining(e, now)
			if e.Evict {
				at = e.Job.CheckpointDuration
			}
			r.endings = append(r.endings, ending{e, at})
		}
		sortEnds(r.endings)
	}
	free := *r
	for _, x := range r.endings {
		free.release(&x.e.Job.Spec)
		if free.Fits(&j.Spec) > 0 {
			return x.at
		}
	}
	return math.Inf(1)
}
