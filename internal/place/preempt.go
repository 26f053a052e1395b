package place

import (
	"cmp"
	"slices"

	"lugward/internal/pipeline"
	"lugward/internal/step"
)

// patience is how long a job within its team's guarantee waits for a machine
// to come free or up before work that borrows is stopped for it.
const patience = int64(30e9)

// fetchCost weighs a second that the more important job waits for its image
// against a second that a stopped task loses.
const fetchCost = 4.0

// preempt makes room for a job that found none by stopping work that it
// outranks. Room that is already being emptied is counted first, so that a
// job does not stop more than it needs. It returns how many tasks are left
// without a promise.
func (p *Placer) preempt(j *pipeline.Job, rooms []*Room, now step.Time) (left int) {
	left = min(j.OpenCount(), p.Quota(j))
	if j.Shape == pipeline.Gang && (j.N > 1 || left < j.OpenCount()) {
		return left // a gang would need all its places at the same moment
	}
	guaranteed := p.within(j) && int64(now)-j.FirstSeen > patience
	for ; left > 0; left-- {
		best, victims := p.cheapestVictims(j, rooms, guaranteed, now)
		if best == nil {
			return left
		}
		for _, e := range victims {
			p.Fleet.Evict(e, e.Job.SnapCost+1)
			best.Leaving = append(best.Leaving, e)
		}
		p.hold(j, best)
	}
	return 0
}

// future is the room with what is leaving already gone.
func (r *Room) future() Room {
	f := *r
	for _, e := range r.Leaving {
		f.give(&e.Job.Spec)
	}
	return f
}

// outranks tells whether a job may stop a running task.
func (p *Placer) outranks(j *pipeline.Job, e *pipeline.Entry, guaranteed bool) bool {
	o := e.Job
	if j.Rank > o.Rank {
		return true
	}
	if !guaranteed || j.Team == o.Team {
		return false
	}
	// Only what borrows the very thing that is guaranteed gives way.
	mine, t, u := p.Teams[j.Team], p.Teams[o.Team], p.Jobs.Team(o.Team)
	return (mine.Cores > 0 && j.Cores > 0 && o.Cores > 0 && u.Cores > t.Cores+slack) ||
		(mine.Cards > 0 && j.Cards > 0 && o.Cards > 0 && u.Cards > t.Cards+slack)
}

// cheapestVictims finds the machine on which the least has to be stopped.
func (p *Placer) cheapestVictims(j *pipeline.Job, rooms []*Room, guaranteed bool, now step.Time) (best *Room, victims []*pipeline.Entry) {
	least := 0.0
	for _, r := range rooms {
		if !r.Suits(&j.Spec) || j.BadHosts[r.Host.Index] || r.Host.Draining {
			continue
		}
		f := r.future()
		var list []*pipeline.Entry
		cost := 0.0
		if f.Fits(&j.Spec) == 0 {
			list, cost = p.victims(j, r, f, guaranteed, now)
			if list == nil {
				continue
			}
		}
		cost += fetchCost * r.FetchTime(j)
		if best == nil || cost < least {
			best, least, victims = r, cost, list
		}
	}
	return best, victims
}

// victims picks tasks to stop on a machine until the job fits, those that
// lose least first. cost is in seconds of work lost or delayed.
func (p *Placer) victims(j *pipeline.Job, r *Room, f Room, guaranteed bool, now step.Time) (list []*pipeline.Entry, cost float64) {
	type candidate struct {
		e    *pipeline.Entry
		cost float64
	}
	var cands []candidate
	for e := range p.Jobs.OnHost(r.Host.Index) {
		if e.Evict || e.Wish != pipeline.Keep || e.Job.Final != pipeline.Queued || (e.Job.Shape == pipeline.Gang && e.Job.N > 1) || !p.outranks(j, e, guaranteed) {
			continue
		}
		c := e.Job.SnapCost + 10 // to save, move and fetch
		if e.Job.SnapEvery == 0 && e.Started != 0 {
			c += float64(int64(now)-e.Started) / 1e9 // all of it is lost
		}
		cands = append(cands, candidate{e, c})
	}
	slices.SortFunc(cands, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.e.Job.Order, a.e.Job.Order), cmp.Compare(a.e.Task, b.e.Task))
	})
	for _, c := range cands {
		list = append(list, c.e)
		cost += c.cost
		f.give(&c.e.Job.Spec)
		if f.Fits(&j.Spec) > 0 {
			return list, cost
		}
	}
	return nil, 0
}
