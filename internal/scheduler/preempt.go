package scheduler

import (
	"cmp"
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// fetchCost weighs a second that the more important job waits for its image
// against a second that a stopped task loses.
const fetchCost = 4.0

// uncountedStartCost is what it costs in seconds that a start does not count for its
// user because a stop follows it at once.
const uncountedStartCost = 20.0

// preempt frees capacity for a job that found none by stopping work that it
// outranks, for all tasks of a gang or for none. Capacity that is already being
// emptied is counted first, so that a job does not stop more than it needs. It
// returns how many tasks are left without a promise.
func (p *Scheduler) preempt(j *pipeline.Job, capacities []*Capacity, now event.Time) (left int) {
	left = min(j.StartableCount(), p.QuotaBeside(j, p.committed[j.Team]))
	if j.Shape == pipeline.Gang && left < j.StartableCount() {
		return 0 // whole or not at all
	}
	// Nobody is stopped for a probe, which is likely to fail again.
	if left == 0 || j.AtFault() || (j.EffectivePriority <= p.lowestPriority && !j.WithinGuarantee) {
		return left
	}
	price := func(r *Capacity, taken map[*pipeline.Entry]bool) (float64, []*pipeline.Entry, bool) {
		f := r.afterPreemption()
		fetch := fetchCost * r.FetchTime(j)
		if f.Fits(&j.Spec) > 0 {
			return fetch, nil, true
		}
		victims, cost := p.victims(j, r, f, taken, now)
		return cost + fetch, victims, victims != nil
	}
	var best []pick
	least := math.Inf(1)
	for _, z := range p.zonesOf(j, capacities) {
		picks := p.choose(j, capacities, z, left, price, now)
		if len(picks) == 0 || (j.Shape == pipeline.Gang && len(picks) < left) {
			continue
		}
		cost := 0.0
		for _, k := range picks {
			cost += k.cost
		}
		if cost < least {
			least, best = cost, picks
			j.ReservedZone = z + 1
		}
	}
	attempt := p.attempt(j)
	for _, k := range best {
		for _, e := range k.victims {
			p.Workers.Evict(e, e.Job.CheckpointDuration+1)
			k.capacity.Preempting = append(k.capacity.Preempting, e)
			p.notePreempted(e)
		}
		if k.victims == nil && k.capacity.Fits(&j.Spec) > 0 {
			// A gang's tasks fetch their image while capacity is made for the
			// others: all have a promise, and the wait is short.
			p.placeTasks(j, k.capacity, 1, attempt, now)
		} else {
			p.reserveTask(j, k.capacity, now)
		}
		left--
	}
	return left
}

// afterPreemption is the capacity with what is leaving already gone.
func (r *Capacity) afterPreemption() Capacity {
	f := *r
	for _, e := range r.Preempting {
		f.release(&e.Job.Spec)
	}
	return f
}

// notePreempted notes that a team gives up what a task uses.
func (p *Scheduler) notePreempted(e *pipeline.Entry) {
	u := p.preempting[e.Job.Team]
	u.Add(&e.Job.Spec, 1)
	p.preempting[e.Job.Team] = u
}

// mayPreempt tells whether a job may stop a running task.
func (p *Scheduler) mayPreempt(j *pipeline.Job, e *pipeline.Entry) bool {
	o := e.Job
	if j.EffectivePriority > o.EffectivePriority {
		return true
	}
	// What a team runs within its own guarantee is not stopped for another's,
	// nor what was placed a moment ago: of two jobs that stopped each other so
	// in every round, before either was stored, none would ever start.
	if !j.WithinGuarantee || j.Team == o.Team || o.WithinGuarantee || !e.Durable {
		return false
	}
	// Only what borrows the very thing that is guaranteed gives way.
	mine, t, u, gone := p.Teams[j.Team], p.Teams[o.Team], p.Jobs.Team(o.Team), p.preempting[o.Team]
	return (mine.CPUs > 0 && j.CPUs > 0 && o.CPUs > 0 && u.CPUs-gone.CPUs > t.CPUs+tolerance) ||
		(mine.GPUs > 0 && j.GPUs > 0 && o.GPUs > 0 && u.GPUs-gone.GPUs > t.GPUs+tolerance)
}

// candidate is a task that may be stopped, and what that costs.
type candidate struct {
	e    *pipeline.Entry
	cost float64
}

// victims picks tasks to stop on a machine until the job fits, those that
// lose least first. cost is in seconds of work lost or delayed.
func (p *Scheduler) victims(j *pipeline.Job, r *Capacity, f Capacity, taken map[*pipeline.Entry]bool, now event.Time) (list []*pipeline.Entry, cost float64) {
	candidates := p.candidates[:0]
	defer func() { p.candidates = candidates }()
	for _, e := range p.Jobs.OnMachine(r.Machine.Index) {
		if taken[e] || e.Evict || e.Pending != pipeline.NoPendingWrite || e.Job.Final != pipeline.Queued || (e.Job.Shape == pipeline.Gang && e.Job.TaskCount > 1) || !p.mayPreempt(j, e) {
			continue
		}
		c := e.Job.CheckpointDuration + 10 // to save, move and fetch
		if e.Job.CheckpointInterval == 0 && e.StartedAt != 0 {
			c += float64(int64(now)-e.StartedAt) / 1e9 // all of it is lost
		}
		if e.StartedAt != 0 && int64(now)-e.StartedAt < startCountsAfter {
			c += uncountedStartCost
		}
		candidates = append(candidates, candidate{e, c})
	}
	if len(candidates) == 0 {
		return nil, 0
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.e.Job.Order, a.e.Job.Order), cmp.Compare(a.e.Task, b.e.Task))
	})
	for i, c := range candidates {
		cost += c.cost
		f.release(&c.e.Job.Spec)
		if f.Fits(&j.Spec) > 0 {
			for _, c := range candidates[:i+1] {
				list = append(list, c.e)
			}
			return list, cost
		}
	}
	return nil, 0
}
