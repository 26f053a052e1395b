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
	countsAfter = int64(30e9)
	// Moving pays if the machine would else stay busy this much longer.
	worthMoving = 25.0 // seconds
	// The last of a task's time is never sure: estimates are often wrong.
	leastShare = 0.3
)

// Remaining estimates how long a task still runs, in seconds.
func (p *Scheduler) Remaining(e *pipeline.Entry, now event.Time) float64 {
	if e.Job.Shape == pipeline.Daemon {
		return math.Inf(1) // until it is cancelled
	}
	usual := p.Workers.Usual(e.Job)
	if e.Started == 0 {
		return usual
	}
	ran := float64(int64(now)-e.Started) / 1e9
	return max(usual-ran, leastShare*usual)
}

// Pack finds machines whose tasks all fit on other busy ones, stops those with
// time to save, and marks the machines as draining so that they are returned
// once empty. rooms is what the last round left. The budget of a round bounds it.
func (p *Scheduler) Pack(now event.Time, rooms []*Capacity, blocked []*pipeline.Job) (drained []*worker.Machine) {
	wanted := map[*MachineType]bool{}
	for _, r := range rooms {
		if !wanted[r.MachineType] && slices.ContainsFunc(blocked, func(j *pipeline.Job) bool { return r.Suits(&j.Spec) }) {
			wanted[r.MachineType] = true
		}
	}
	donors := slices.DeleteFunc(slices.Clone(rooms), func(r *Capacity) bool { return wanted[r.MachineType] || !p.mayDrain(r, now) })
	if len(donors) == 0 {
		return nil
	}
	// The dearest first, then the emptiest; each is filled up from the other end.
	order := func(a, b *Capacity) int {
		return cmp.Or(cmp.Compare(b.price(), a.price()), cmp.Compare(b.Cores/b.MachineType.Cores, a.Cores/a.MachineType.Cores))
	}
	slices.SortStableFunc(donors, order)
	var left []*Capacity
	for _, r := range rooms {
		if r.Busy && r.Host != nil && !r.Host.Draining {
			c := *r
			left = append(left, &c)
		}
	}
	slices.SortStableFunc(left, func(a, b *Capacity) int { return order(b, a) })
	receives := map[*worker.Machine]bool{}
	for i, d := range donors {
		if i > 0 && p.Elapsed != nil && p.Elapsed() {
			break
		}
		if receives[d.Host] || !p.fitsElsewhere(d, left, receives) {
			continue
		}
		for _, e := range p.Jobs.OnHost(d.Host.Index) {
			p.Workers.Evict(e, e.Job.SnapCost+1)
		}
		d.Host.Draining = true
		drained = append(drained, d.Host)
	}
	return drained
}

func (r *Capacity) price() float64 {
	if r.Spot {
		return r.MachineType.LowPrice
	}
	return r.MachineType.Price
}

// mayDrain tells whether every task of a machine can be saved and moved, and
// whether that is worth it.
func (p *Scheduler) mayDrain(r *Capacity, now event.Time) bool {
	if !r.Busy || r.Host == nil || r.Host.Draining {
		return false
	}
	longest := 0.0
	for _, e := range p.Jobs.OnHost(r.Host.Index) {
		j := e.Job
		if !e.Durable || e.Evict || e.Wish != pipeline.Keep || e.Seen != pipeline.RunningTask || j.SnapEvery == 0 ||
			(j.Shape == pipeline.Gang && j.N > 1) || int64(now)-e.Started < countsAfter {
			return false
		}
		longest = max(longest, p.Remaining(e, now))
	}
	return longest > worthMoving
}

// fitsElsewhere puts the tasks of a machine on the others, in thought; what it
// takes of them is kept if all fit.
func (p *Scheduler) fitsElsewhere(d *Capacity, left []*Capacity, receives map[*worker.Machine]bool) bool {
	entries := slices.Clone(p.Jobs.OnHost(d.Host.Index))
	slices.SortFunc(entries, func(a, b *pipeline.Entry) int {
		return cmp.Or(cmp.Compare(b.Job.Cores, a.Job.Cores), cmp.Compare(a.Job.Order, b.Job.Order), cmp.Compare(a.Task, b.Task))
	})
	type move struct {
		room *Capacity
		job  *pipeline.Job
	}
	var moves []move
	for _, e := range entries {
		j := e.Job
		i := slices.IndexFunc(left, func(r *Capacity) bool {
			return r.Host != d.Host && !r.Host.Draining && r.Fits(&j.Spec) > 0 && r.Suits(&j.Spec) && !j.BadHosts[r.Host.Index] &&
				!(j.SamePlace && j.N > 1 && r.Zone != d.Zone) && !(j.Scatter && r.Zone != d.Zone)
		})
		if i < 0 {
			for _, m := range moves {
				m.room.give(&m.job.Spec)
			}
			return false
		}
		left[i].Take(&j.Spec, 1)
		moves = append(moves, move{left[i], j})
	}
	for _, m := range moves {
		receives[m.room.Host] = true
	}
	return true
}
