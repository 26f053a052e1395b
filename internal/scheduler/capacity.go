package scheduler

import (
	"cmp"
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// MachineType is a machine type as the cloud describes it.
type MachineType struct {
	Index              int
	CPUs, GPUs, Memory float64
	Price, SpotPrice   float64
	BootTime           float64
	FetchRate          float64 // GB per s
	Zones              []int
}

// MachineTypes holds the machine types by index, nil where unknown.
type MachineTypes []*MachineType

// Get returns a type, or nil.
func (f MachineTypes) Get(i int) *MachineType {
	if i < 0 || i >= len(f) {
		return nil
	}
	return f[i]
}

// Allows tells whether a type can hold a task of the job at all.
func Allows(s *pipeline.Spec, f *MachineType) bool {
	if f == nil || !s.Allows(f.Index) || s.CPUs > f.CPUs || s.GPUs > f.GPUs || s.Memory > f.Memory {
		return false
	}
	if s.Zone < 0 {
		return true
	}
	for _, z := range f.Zones {
		if z == s.Zone {
			return true
		}
	}
	return false
}

// Capacity is what is left of a machine.
type Capacity struct {
	Machine            *worker.Machine // nil: not up yet
	MachineType        *MachineType
	Zone               int
	Spot               bool
	CPUs, GPUs, Memory float64
	Busy               bool
	Preempting         []*pipeline.Entry // told to stop
	endings            []ending          // soonest first
	sorted             bool              // ends are filled in
	changes            uint32            // of the machine's entries when it was counted
}

const tolerance = 1e-6 // amounts are decimal numbers

// Fits returns how many tasks of a job fit.
func (r *Capacity) Fits(s *pipeline.Spec) int {
	n := math.MaxInt32
	if s.CPUs > 0 {
		n = int((r.CPUs + tolerance) / s.CPUs)
	}
	if s.GPUs > 0 {
		n = min(n, int((r.GPUs+tolerance)/s.GPUs))
	}
	if s.Memory > 0 {
		n = min(n, int((r.Memory+tolerance)/s.Memory))
	}
	return max(n, 0)
}

// fitsEmpty tells whether a task would fit if nothing else were there.
func (r *Capacity) fitsEmpty(s *pipeline.Spec) bool {
	f := r.MachineType
	return s.CPUs <= f.CPUs+tolerance && s.GPUs <= f.GPUs+tolerance && s.Memory <= f.Memory+tolerance
}

// Allocate uses capacity for n tasks.
func (r *Capacity) Allocate(s *pipeline.Spec, n int) {
	k := float64(n)
	r.CPUs -= k * s.CPUs
	r.GPUs -= k * s.GPUs
	r.Memory -= k * s.Memory
	r.Busy = true
}

// Matches tells whether the machine is of a kind, type and zone that the job
// allows.
func (r *Capacity) Matches(s *pipeline.Spec) bool {
	return r.MachineType != nil && s.Allows(r.MachineType.Index) && (s.Zone < 0 || s.Zone == r.Zone) && (s.AllowSpot || !r.Spot)
}

// capacity counts what is left of a machine, unless nothing has changed there.
func (p *Scheduler) capacity(h *worker.Machine, f *MachineType) *Capacity {
	for len(p.cached) <= h.Index {
		p.cached = append(p.cached, Capacity{})
	}
	r, changes := &p.cached[h.Index], p.Jobs.Changes(h.Index)
	if r.MachineType == f && r.Machine == h && r.changes == changes {
		return r
	}
	p.Recounted++
	*r = Capacity{Machine: h, MachineType: f, changes: changes, CPUs: f.CPUs, GPUs: f.GPUs, Memory: f.Memory}
	for _, e := range p.Jobs.OnMachine(h.Index) {
		if e.Phase == pipeline.Exited {
			continue // its machine has said so; only the record of it is to follow
		}
		r.Allocate(&e.Job.Spec, 1)
		if e.Evict {
			r.Preempting = append(r.Preempting, e)
		}
	}
	r.Preempting = slices.Clip(r.Preempting) // what a round adds to it is the round's
	return r
}

// Capacities capacities lists what is left of the machines that are up.
func (p *Scheduler) Capacities(now event.Time) []*Capacity {
	all := make([]Capacity, 0, len(p.Workers.Machines))
	for _, h := range p.Workers.Machines {
		if h == nil || !h.Up(now, p.SilentAfter) {
			continue
		}
		if f := p.MachineTypes.Get(h.MachineType); f != nil {
			r := *p.capacity(h, f)
			r.Zone, r.Spot = h.Zone, h.Spot
			all = append(all, r)
		}
	}
	capacities := make([]*Capacity, len(all))
	for i := range all {
		capacities[i] = &all[i]
	}
	return capacities
}

// FutureCapacities lists what is left of the machines that are up once the tasks
// that are told to stop have terminated; those are returned. Advance then adds what
// ends later.
func (p *Scheduler) FutureCapacities(now event.Time) (capacities []*Capacity, preempting []*pipeline.Entry) {
	capacities = p.Capacities(now)
	for _, r := range capacities {
		for _, e := range p.Jobs.OnMachine(r.Machine.Index) {
			exited := e.Phase == pipeline.Exited // it takes nothing any more
			if e.Evict && e.Job.Final == pipeline.Queued {
				preempting = append(preempting, e)
			}
			switch {
			case exited:
			case e.Evict && e.Job.Final == pipeline.Queued:
				r.release(&e.Job.Spec)
			case e.Job.Final != pipeline.Queued || e.Pending != pipeline.NoPendingWrite:
				r.release(&e.Job.Spec)
			default:
				r.endings = append(r.endings, ending{e, p.Remaining(e, now)})
			}
		}
		sortEnds(r.endings)
	}
	slices.SortFunc(preempting, func(a, b *pipeline.Entry) int {
		return cmp.Or(cmp.Compare(a.Job.Order, b.Job.Order), cmp.Compare(a.Task, b.Task))
	})
	return capacities, preempting
}

// ending is a task with the seconds it is expected to run on.
type ending struct {
	e  *pipeline.Entry
	at float64
}

func sortEnds(ends []ending) {
	slices.SortFunc(ends, func(a, b ending) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.e.Job.Order, b.e.Job.Order), cmp.Compare(a.e.Task, b.e.Task))
	})
}

// ReleaseEnding frees capacity of what ends within so many seconds.
func (r *Capacity) ReleaseEnding(within float64) {
	for len(r.endings) > 0 && r.endings[0].at <= within {
		r.release(&r.endings[0].e.Job.Spec)
		r.endings = r.endings[1:]
	}
}

// release takes a task's use of the capacity back.
func (r *Capacity) release(s *pipeline.Spec) {
	r.CPUs += s.CPUs
	r.GPUs += s.GPUs
	r.Memory += s.Memory
}
