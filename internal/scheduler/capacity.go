package scheduler

import (
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// tolerance is allowed in comparisons of amounts, which are decimal numbers.
const tolerance = 1e-6

// Capacity is what is left of a machine.
type Capacity struct {
	Machine     *worker.Machine // nil: not up yet
	MachineType *MachineType
	Zone        int
	Spot        bool
	FreeCPUs    float64
	FreeGPUs    float64
	FreeMemory  float64
	InUse       bool                   // tasks are on it
	Evicting    []*pipeline.Assignment // its tasks that are being stopped

	endings       []ending // of its tasks, soonest first
	endingsListed bool     // endings are filled in
	changes       uint32   // of the machine's entries when it was counted
}

// Fits returns how many tasks of a job fit.
func (c *Capacity) Fits(spec *pipeline.Spec) int {
	count := math.MaxInt32
	if spec.CPUs > 0 {
		count = int((c.FreeCPUs + tolerance) / spec.CPUs)
	}
	if spec.GPUs > 0 {
		count = min(count, int((c.FreeGPUs+tolerance)/spec.GPUs))
	}
	if spec.Memory > 0 {
		count = min(count, int((c.FreeMemory+tolerance)/spec.Memory))
	}
	return max(count, 0)
}

// fitsEmpty tells whether a task would fit if nothing else were there.
func (c *Capacity) fitsEmpty(spec *pipeline.Spec) bool {
	machineType := c.MachineType
	return spec.CPUs <= machineType.CPUs+tolerance &&
		spec.GPUs <= machineType.GPUs+tolerance &&
		spec.Memory <= machineType.Memory+tolerance
}

// Matches tells whether the machine is of a kind, type and zone that the job
// allows.
func (c *Capacity) Matches(spec *pipeline.Spec) bool {
	if c.MachineType == nil || !spec.Allows(c.MachineType.Index) {
		return false
	}
	zoneAllowed := spec.Zone < 0 || spec.Zone == c.Zone
	kindAllowed := spec.AllowSpot || !c.Spot
	return zoneAllowed && kindAllowed
}

// accepts tells whether a task of a job may be placed on a machine that is up.
func (c *Capacity) accepts(job *pipeline.Job, now event.Time) bool {
	return c.Matches(&job.Spec) && !job.AvoidsMachine(c.Machine.Index, now)
}

// Allocate uses capacity for a number of tasks.
func (c *Capacity) Allocate(spec *pipeline.Spec, count int) {
	tasks := float64(count)
	c.FreeCPUs -= tasks * spec.CPUs
	c.FreeGPUs -= tasks * spec.GPUs
	c.FreeMemory -= tasks * spec.Memory
	c.InUse = true
}

// release gives back what a task used.
func (c *Capacity) release(spec *pipeline.Spec) {
	c.FreeCPUs += spec.CPUs
	c.FreeGPUs += spec.GPUs
	c.FreeMemory += spec.Memory
}

// price is what the machine costs per hour.
func (c *Capacity) price() float64 {
	if c.Spot {
		return c.MachineType.SpotPrice
	}
	return c.MachineType.Price
}

// capacity counts what is left of a machine, unless nothing has changed there.
func (s *Scheduler) capacity(machine *worker.Machine, machineType *MachineType) *Capacity {
	for len(s.cached) <= machine.Index {
		s.cached = append(s.cached, Capacity{})
	}
	capacity := &s.cached[machine.Index]
	changes := s.jobs.Changes(machine.Index)
	if capacity.Machine == machine && capacity.MachineType == machineType && capacity.changes == changes {
		return capacity
	}
	s.counters.capacitiesRecomputed++
	*capacity = Capacity{
		Machine:     machine,
		MachineType: machineType,
		FreeCPUs:    machineType.CPUs,
		FreeGPUs:    machineType.GPUs,
		FreeMemory:  machineType.Memory,
		changes:     changes,
	}
	for _, entry := range s.jobs.OnMachine(machine.Index) {
		if entry.Phase == pipeline.TaskExited {
			continue // it uses nothing any more; only its record is still to change
		}
		capacity.Allocate(&entry.Job.Spec, 1)
		if entry.Evicting {
			capacity.Evicting = append(capacity.Evicting, entry)
		}
	}
	// A round appends to its copy: that must not reach the cached one.
	capacity.Evicting = slices.Clip(capacity.Evicting)
	return capacity
}

// Capacities lists what is left of the machines that are up.
func (s *Scheduler) Capacities(now event.Time) []*Capacity {
	all := make([]Capacity, 0, s.workers.Len())
	for machine := range s.workers.All() {
		if !machine.Schedulable(now, s.cfg.HeartbeatTimeout) {
			continue
		}
		machineType := s.machineTypes.Get(machine.MachineType())
		if machineType == nil {
			continue
		}
		capacity := *s.capacity(machine, machineType)
		capacity.Zone = machine.Zone()
		capacity.Spot = machine.Spot()
		all = append(all, capacity)
	}
	capacities := make([]*Capacity, len(all))
	for i := range all {
		capacities[i] = &all[i]
	}
	return capacities
}
