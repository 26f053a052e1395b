package place

import (
	"math"

	"lugward/internal/pipeline"
	"lugward/internal/step"
)

// mostReserved bounds the reservations of one round: what is further back in
// the order waits for later ones.
const mostReserved = 64

// reserve keeps room for tasks of a job that found none: on each machine it
// takes what will be free first, so that jobs behind it in the order of
// readiness use only what does not delay it.
func (p *Placer) reserve(j *pipeline.Job, left int, rooms []*Room, now step.Time) {
	for ; left > 0 && p.reserved < mostReserved; left-- {
		var best *Room
		soonest := math.Inf(1)
		for _, r := range rooms {
			if !r.Suits(&j.Spec) || j.BadHosts[r.Host.Index] {
				continue
			}
			if at := p.fitsAt(j, r, now); at < soonest {
				soonest, best = at, r
			}
		}
		if best == nil {
			return
		}
		p.reserved++
		p.hold(j, best)
	}
}

// fitsAt estimates in how many seconds a task of the job fits on a machine.
func (p *Placer) fitsAt(j *pipeline.Job, r *Room, now step.Time) float64 {
	if !r.sorted {
		r.sorted = true
		for e := range p.Jobs.OnHost(r.Host.Index) {
			at := Remaining(e, now)
			if e.Evict {
				at = e.Job.SnapCost
			}
			r.ends = append(r.ends, ending{e, at})
		}
		sortEnds(r.ends)
	}
	free := *r
	at := 0.0
	for _, x := range r.ends {
		if free.Fits(&j.Spec) > 0 {
			return at
		}
		free.give(&x.e.Job.Spec)
		at = x.at
	}
	if free.Fits(&j.Spec) > 0 {
		return at
	}
	return math.Inf(1)
}
