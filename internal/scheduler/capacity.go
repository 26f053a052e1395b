package scheduler

import (
	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// tolerance absorbs floating-point rounding in comparisons of resource amounts.
const tolerance = 1e-6

// Capacity is the free capacity of a machine.
type Capacity struct {
	Machine     *worker.Machine // nil if the machine is not up yet
	MachineType *MachineType
	Zone        pipeline.ZoneIndex
	Spot        bool
	FreeCPUs    float64
	FreeGPUs    float64
	FreeMemory  float64 // GB
	FreeTasks   int     // number of tasks that the worker's messages leave room for
	InUse       bool    // tasks are assigned to the machine or capacity is allocated

	evicting          taskResources     // resources of the tasks of the machine that are being evicted
	releases          []expectedRelease // expected releases by the machine's tasks, earliest first
	releasesListed    bool              // expectedReleases has filled in releases
	assignmentChanges uint32            // change count of the machine's assignments when this was computed
}

// FittingTasks returns how many tasks with the given spec fit into the free capacity.
func (c *Capacity) FittingTasks(spec *pipeline.Spec) int {
	count := c.FreeTasks
	if spec.CPUs > 0 {
		count = min(count, int((c.FreeCPUs+tolerance)/spec.CPUs))
	}
	if spec.GPUs > 0 {
		count = min(count, int((c.FreeGPUs+tolerance)/spec.GPUs))
	}
	if spec.Memory > 0 {
		count = min(count, int((c.FreeMemory+tolerance)/spec.Memory))
	}
	return max(count, 0)
}

// fitsWhenEmpty reports whether a task would fit if the machine were empty.
func (c *Capacity) fitsWhenEmpty(spec *pipeline.Spec) bool {
	machineType := c.MachineType
	return spec.CPUs <= machineType.CPUs+tolerance &&
		spec.GPUs <= machineType.GPUs+tolerance &&
		spec.Memory <= machineType.Memory+tolerance
}

// Matches reports whether the machine satisfies the job's constraints on machine type,
// zone and spot machines.
func (c *Capacity) Matches(spec *pipeline.Spec) bool {
	if c.MachineType == nil || !spec.Allows(c.MachineType.Index) {
		return false
	}
	zoneAllowed := spec.AllowsZone(c.Zone)
	spotAllowed := spec.AllowSpot || !c.Spot
	return zoneAllowed && spotAllowed
}

// accepts reports whether a task of a job may be placed on the machine, which must be
// up: it matches the job's constraints and the job does not avoid it.
func (c *Capacity) accepts(job *pipeline.Job, now event.Time) bool {
	return c.Matches(&job.Spec) && !job.AvoidsMachine(c.Machine.Index, now)
}

// Allocate subtracts the resources of count tasks from the free capacity.
func (c *Capacity) Allocate(spec *pipeline.Spec, count int) {
	tasks := float64(count)
	c.FreeCPUs -= tasks * spec.CPUs
	c.FreeGPUs -= tasks * spec.GPUs
	c.FreeMemory -= tasks * spec.Memory
	c.FreeTasks -= count
	c.InUse = true
}

// release adds the resources of one task to the free capacity.
func (c *Capacity) release(spec *pipeline.Spec) {
	var freed taskResources
	freed.add(spec)
	c.releaseAll(freed)
}

// releaseAll adds the resources of a number of tasks to the free capacity.
func (c *Capacity) releaseAll(freed taskResources) {
	c.FreeCPUs += freed.cpus
	c.FreeGPUs += freed.gpus
	c.FreeMemory += freed.memory
	c.FreeTasks += freed.tasks
}

// taskResources are the resources of a number of tasks.
type taskResources struct {
	cpus, gpus, memory float64
	tasks              int
}

// add adds the resources of one task.
func (t *taskResources) add(spec *pipeline.Spec) {
	t.cpus += spec.CPUs
	t.gpus += spec.GPUs
	t.memory += spec.Memory
	t.tasks++
}

// NewCapacity returns the capacity of an empty machine.
func NewCapacity(machineType *MachineType) Capacity {
	return Capacity{
		MachineType: machineType,
		FreeCPUs:    machineType.CPUs,
		FreeGPUs:    machineType.GPUs,
		FreeMemory:  machineType.Memory,
		FreeTasks:   worker.MaxTasksPerMachine,
	}
}

// hourlyPrice returns the hourly price of the machine.
func (c *Capacity) hourlyPrice() float64 {
	if c.Spot {
		return c.MachineType.SpotPrice
	}
	return c.MachineType.Price
}

// cachedCapacity returns the free capacity of a machine. It is recomputed only if the
// machine, its type or its assignments have changed, since most machines do not change
// from one round to the next.
func (s *Scheduler) cachedCapacity(machine *worker.Machine, machineType *MachineType) *Capacity {
	for pipeline.MachineIndex(len(s.capacityCache)) <= machine.Index {
		s.capacityCache = append(s.capacityCache, Capacity{})
	}
	cached := &s.capacityCache[machine.Index]
	changes := s.jobs.ChangeCount(machine.Index)
	current := cached.Machine == machine && cached.MachineType == machineType && cached.assignmentChanges == changes
	if !current {
		s.counters.capacitiesRecomputed++
		*cached = s.computeCapacity(machine, machineType)
		cached.assignmentChanges = changes
	}
	return cached
}

// computeCapacity returns the capacity of a machine less the resources of its tasks.
func (s *Scheduler) computeCapacity(machine *worker.Machine, machineType *MachineType) Capacity {
	capacity := NewCapacity(machineType)
	capacity.Machine = machine
	for task := range s.jobs.AssignmentsOn(machine.Index) {
		if task.Phase() == pipeline.TaskExited {
			// An exited task uses no resources; only its record is not updated yet. The
			// worker lists it until then.
			capacity.FreeTasks--
			continue
		}
		capacity.Allocate(&task.Job.Spec, 1)
		if task.Evicting() {
			capacity.recordEviction(task)
		}
	}
	return capacity
}

// machineCapacities lists the free capacity of the schedulable machines.
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
