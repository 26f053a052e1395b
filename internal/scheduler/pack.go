package scheduler

import (
	"cmp"
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

const (
	// A start that a stop follows sooner does not count for its user.
	startCountsAfter = int64(30e9)
	// Moving pays if the machine would else stay busy this much longer.
	minMoveGain = 25.0 // seconds
	// The last of a task's time is never sure: estimates are often wrong.
	minRemainingShare = 0.3
)

// Remaining estimates how long a task still runs, in seconds.
func (p *Scheduler) Remaining(e *pipeline.Entry, now event.Time) float64 {
	if e.Job.Shape == pipeline.Daemon {
		return math.Inf(1) // until it is cancelled
	}
	usual := p.Workers.ExpectedRuntime(e.Job)
	if e.StartedAt == 0 {
		return usual
	}
	ran := float64(int64(now)-e.StartedAt) / 1e9
	return max(usual-ran, minRemainingShare*usual)
}

// Pack finds machines whose tasks all fit on other busy ones, stops those with
// time to save, and marks the machines as draining so that they are returned
// once empty. machine capacities is what the last round left. The budget of a round bounds it.
func (p *Scheduler) Pack(now event.Time, capacities []*Capacity, blocked []*pipeline.Job) (drained []*worker.Machine) {
	wanted := map[*MachineType]bool{}
	for _, r := range capacities {
		if !wanted[r.MachineType] && slices.ContainsFunc(blocked, func(j *pipeline.Job) bool { return r.Matches(&j.Spec) }) {
			wanted[r.MachineType] = true
		}
	}
	donors := slices.DeleteFunc(slices.Clone(capacities), func(r *Capacity) bool { return wanted[r.MachineType] || !p.mayDrain(r, now) })
	if len(donors) == 0 {
		return nil
	}
	// The dearest first, then the emptiest; each is filled up from the other end.
	order := func(a, b *Capacity) int {
		return cmp.Or(cmp.Compare(b.price(), a.price()), cmp.Compare(b.CPUs/b.MachineType.CPUs, a.CPUs/a.MachineType.CPUs))
	}
	slices.SortStableFunc(donors, order)
	var left []*Capacity
	for _, r := range capacities {
		if r.Busy && r.Machine != nil && !r.Machine.Draining {
			c := *r
			left = append(left, &c)
		}
	}
	slices.SortStableFunc(left, func(a, b *Capacity) int { return order(b, a) })
	receives := map[*worker.Machine]bool{}
	for i, d := range donors {
		if i > 0 && p.OverBudget != nil && p.OverBudget() {
			break
		}
		if receives[d.Machine] || !p.fitsElsewhere(d, left, receives) {
			continue
		}
		for _, e := range p.Jobs.OnMachine(d.Machine.Index) {
			p.Workers.Evict(e, e.Job.CheckpointDuration+1)
		}
		d.Machine.Draining = true
		drained = append(drained, d.Machine)
	}
	return drained
}

func (r *Capacity) price() float64 {
	if r.Spot {
		return r.MachineType.SpotPrice
	}
	return r.MachineType.Price
}

// mayDrain tells whether every task of a machine can be saved and moved, and
// whether that is worth it.
func (p *Scheduler) mayDrain(r *Capacity, now event.Time) bool {
	if !r.Busy || r.Machine == nil || r.Machine.Draining {
		return false
	}
	longest := 0.0
	for _, e := range p.Jobs.OnMachine(r.Machine.Index) {
		j := e.Job
		if !e.Durable || e.Evict || e.Pending != pipeline.NoPendingWrite || e.Phase != pipeline.RunningTask || j.CheckpointInterval == 0 ||
			(j.Shape == pipeline.Gang && j.TaskCount > 1) || int64(now)-e.StartedAt < startCountsAfter {
			return false
		}
		longest = max(longest, p.Remaining(e, now))
	}
	return longest > minMoveGain
}

// fitsElsewhere puts the tasks of a machine on the others, in thought; what it
// takes of them is kept if all fit.
func (p *Scheduler) fitsElsewhere(d *Capacity, left []*Capacity, receives map[*worker.Machine]bool) bool {
	entries := slices.Clone(p.Jobs.OnMachine(d.Machine.Index))
	slices.SortFunc(entries, func(a, b *pipeline.Entry) int {
		return cmp.Or(cmp.Compare(b.Job.CPUs, a.Job.CPUs), cmp.Compare(a.Job.Order, b.Job.Order), cmp.Compare(a.Task, b.Task))
	})
	type move struct {
		capacity *Capacity
		job      *pipeline.Job
	}
	var moves []move
	for _, e := range entries {
		j := e.Job
		i := slices.IndexFunc(left, func(r *Capacity) bool {
			return r.Machine != d.Machine && !r.Machine.Draining && r.Fits(&j.Spec) > 0 && r.Matches(&j.Spec) && !j.Avoids(r.Machine.Index, p.Jobs.Now) &&
				!(j.SamePlace && j.TaskCount > 1 && r.Zone != d.Zone) && !(j.Scatter && r.Zone != d.Zone)
		})
		if i < 0 {
			for _, m := range moves {
				m.capacity.release(&m.job.Spec)
			}
			return false
		}
		left[i].Allocate(&j.Spec, 1)
		moves = append(moves, move{left[i], j})
	}
	for _, m := range moves {
		receives[m.capacity.Machine] = true
	}
	return true
}
