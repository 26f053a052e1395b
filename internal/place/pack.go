package place

import (
	"cmp"
	"math"
	"slices"

	"lugward/internal/fleet"
	"lugward/internal/pipeline"
	"lugward/internal/step"
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
func Remaining(e *pipeline.Entry, now step.Time) float64 {
	if e.Job.Shape == pipeline.Daemon {
		return math.Inf(1) // until it is cancelled
	}
	if e.Started == 0 {
		return e.Job.Expect
	}
	ran := float64(int64(now)-e.Started) / 1e9
	return max(e.Job.Expect-ran, leastShare*e.Job.Expect)
}

// Pack finds a machine whose tasks all fit on other busy machines, stops them
// with time to save, and marks the machine as draining so that it is returned
// once empty. rooms is what the last round left.
func (p *Placer) Pack(now step.Time, rooms []*Room, blocked []*pipeline.Job) *fleet.Host {
	donors := slices.DeleteFunc(slices.Clone(rooms), func(r *Room) bool { return !p.mayDrain(r, now, blocked) })
	// The dearest first, then the emptiest.
	slices.SortStableFunc(donors, func(a, b *Room) int {
		return cmp.Or(cmp.Compare(b.price(), a.price()), cmp.Compare(b.Cores/b.Flavor.Cores, a.Cores/a.Flavor.Cores))
	})
	for _, d := range donors {
		if p.fitsElsewhere(d, rooms) {
			for e := range p.Jobs.OnHost(d.Host.Index) {
				p.Fleet.Evict(e, e.Job.SnapCost+1)
			}
			d.Host.Draining = true
			return d.Host
		}
	}
	return nil
}

func (r *Room) price() float64 {
	if r.Spot {
		return r.Flavor.LowPrice
	}
	return r.Flavor.Price
}

// mayDrain tells whether every task of a machine can be saved and moved, and
// whether that is worth it.
func (p *Placer) mayDrain(r *Room, now step.Time, blocked []*pipeline.Job) bool {
	if !r.Busy || r.Host == nil || r.Host.Draining {
		return false
	}
	for _, j := range blocked {
		if r.Suits(&j.Spec) {
			return false // the room is wanted
		}
	}
	longest := 0.0
	for e := range p.Jobs.OnHost(r.Host.Index) {
		j := e.Job
		if !e.Durable || e.Evict || e.Wish != pipeline.Keep || e.Seen != pipeline.RunningTask || j.SnapEvery == 0 ||
			(j.Shape == pipeline.Gang && j.N > 1) || int64(now)-e.Started < countsAfter {
			return false
		}
		longest = max(longest, Remaining(e, now))
	}
	return longest > worthMoving
}

// fitsElsewhere tries the tasks of a machine on the other busy ones.
func (p *Placer) fitsElsewhere(d *Room, rooms []*Room) bool {
	var left []Room
	for _, r := range rooms {
		if r != d && r.Busy && r.Host != nil && !r.Host.Draining {
			left = append(left, *r)
		}
	}
	entries := slices.Collect(func(yield func(*pipeline.Entry) bool) {
		for e := range p.Jobs.OnHost(d.Host.Index) {
			if !yield(e) {
				return
			}
		}
	})
	slices.SortFunc(entries, func(a, b *pipeline.Entry) int {
		return cmp.Or(cmp.Compare(b.Job.Cores, a.Job.Cores), cmp.Compare(a.Job.Order, b.Job.Order), cmp.Compare(a.Task, b.Task))
	})
	for _, e := range entries {
		j := e.Job
		found := false
		for i := range left {
			r := &left[i]
			if !r.Suits(&j.Spec) || j.BadHosts[r.Host.Index] || r.Fits(&j.Spec) == 0 ||
				(j.SamePlace && j.N > 1 && r.Zone != d.Zone) || (j.Scatter && r.Zone != d.Zone) {
				continue
			}
			r.Take(&j.Spec, 1)
			found = true
			break
		}
		if !found {
			return false
		}
	}
	return true
}
