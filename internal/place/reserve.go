package place

import (
	"math"

	"lugward/internal/pipeline"
	"lugward/internal/step"
)

// mostReserved bounds the reservations of one job in one round.
const mostReserved = 16

// reserve keeps room for a job that found none: on each machine it takes what
// will be free first, so that jobs behind it in the order of readiness use
// only what does not delay it.
func (p *Placer) reserve(j *pipeline.Job, rooms []*Room, now step.Time) {
	left := min(j.OpenCount()-j.Promised, p.Quota(j)-j.Promised, mostReserved)
	for ; left > 0; left-- {
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
		best.Take(&j.Spec, 1)
	}
}

// fitsAt estimates in how many seconds a task of the job fits on a machine.
func (p *Placer) fitsAt(j *pipeline.Job, r *Room, now step.Time) float64 {
	var ends []ending
	for e := range p.Jobs.OnHost(r.Host.Index) {
		at := Remaining(e, now)
		if e.Evict {
			at = e.Job.SnapCost
		}
		ends = append(ends, ending{e, at})
	}
	sortEnds(ends)
	free := *r
	at := 0.0
	for _, x := range ends {
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
