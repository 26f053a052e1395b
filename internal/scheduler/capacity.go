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

// Capacity is what is free on a machine.
type Capacity struct {
	Machine     *worker.Machine // nil: not up yet
	MachineType *MachineType
	Zone        pipeline.ZoneIndex
	Spot        bool
	FreeCPUs    float64
	FreeGPUs    float64
	FreeMemory  float64 // GB
	InUse       bool    // tasks are on it

	evicting       []*pipeline.Assignment // its tasks that are being evicted
	releases       []expectedRelease      // by its tasks, the earliest first
	releasesListed bool                   // releases are filled in
	changes        uint32                 // of the machine's assignments when it was computed
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

// fitsEmpty reports whether a task would fit if nothing else ran on the machine.
func (c *Capacity) fitsEmpty(spec *pipeline.Spec) bool {
	machineType := c.MachineType
	return spec.CPUs <= machineType.CPUs+tolerance &&
		spec.GPUs <= machineType.GPUs+tolerance &&
		spec.Memory <= machineType.Memory+tolerance
}

// Matches reports whether the machine is of a type and in a zone that the job allows,
// and no spot machine unless the job allows those.
func (c *Capacity) Matches(spec *pipeline.Spec) bool {
	if c.MachineType == nil || !spec.Allows(c.MachineType.Index) {
		return false
	}
	zoneAllowed := spec.AllowsZone(c.Zone)
	spotAllowed := spec.AllowSpot || !c.Spot
	return zoneAllowed && spotAllowed
}

// accepts reports whether a task of a job may be placed on a machine that is up.
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

// cachedCapacity returns what is free on a machine, computed anew only if something
// has changed there: most machines are unchanged from one round to the next.
func (s *Scheduler) cachedCapacity(machine *worker.Machine, machineType *MachineType) *Capacity {
	for pipeline.MachineIndex(len(s.capacityCache)) <= machine.Index {
		s.capacityCache = append(s.capacityCache, Capacity{})
	}
	cached := &s.capacityCache[machine.Index]
	changes := s.jobs.Changes(machine.Index)
	current := cached.Machine == machine && cached.MachineType == machineType && cached.changes == changes
	if !current {
		s.counters.capacitiesRecomputed++
		*cached = s.computeCapacity(machine, machineType)
		cached.changes = changes
	}
	return cached
}

// computeCapacity subtracts what the tasks on a machine use.
func (s *Scheduler) computeCapacity(machine *worker.Machine, machineType *MachineType) Capacity {
	capacity := Capacity{
		Machine:     machine,
		MachineType: machineType,
		FreeCPUs:    machineType.CPUs,
		FreeGPUs:    machineType.GPUs,
		FreeMemory:  machineType.Memory,
	}
	for _, task := range s.jobs.OnMachine(machine.Index) {
		if task.Phase() == pipeline.TaskExited {
			continue // it uses nothing any more; only its record is still to change
		}
		capacity.Allocate(&task.Job.Spec, 1)
		if task.Evicting() {
			capacity.evicting = append(capacity.evicting, task)
		}
	}
	// A round appends to its copy: that must not reach the cached one.
	capacity.evicting = slices.Clip(capacity.evicting)
	return capacity
}

// machineCapacities lists what is free on the machines that are up.
func (s *Scheduler) machineCapacities(now event.Time) []*Capacity {
	all := make([]Capacity, 0, s.workers.Len())
	for machine := range s.workers.All() {
		if !machine.Schedulable(now, s.cfg.HeartbeatTimeout) {
			continue
		}
		machineType := s.machineTypes.Get(machine.MachineType())
		if machineType == nil {
			continue
		}
		capacity := *s.cachedCapacity(machine, machineType)
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
