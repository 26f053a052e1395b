package autoscaler

import (
	"maps"
	"math"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
	"lugward/internal/worker"
)

// planner creates the plans that scale out for tasks without capacity.
type planner struct {
	names       *pipeline.Names
	workers     *worker.Registry
	catalog     *machineTypeCatalog
	bootTimes   *bootTimes
	booting     *bootingMachines
	partitions  *partitionDetector
	provisioner *provisioner
	idleTimeout time.Duration
}

// plan determines which machines to provision. It places tasks on the capacity that is
// forecast for the time when a machine requested now would be running. The placements are
// only used for planning: no task is assigned.
type plan struct {
	workers     *worker.Registry
	scheduler   *scheduler.Scheduler
	catalog     *machineTypeCatalog
	bootTimes   *bootTimes
	pools       *poolSelector
	zoneCount   int // number of zones; their indices are less than it
	idleTimeout time.Duration

	forecast       *capacityForecast
	evicting       []*pipeline.Assignment                // tasks that are being evicted and need capacity again
	evictingCounts map[*pipeline.Job]int                 // number of tasks that are being evicted, by job
	plannedUsage   map[pipeline.TeamIndex]pipeline.Usage // usage that this plan provides capacity for, by team
	waves          taskWaves                             // slots for short tasks
	needed         map[machinePool]int                   // machines to provision, by pool
	neededCount    int                                   // machines to provision in all pools
}

// newPlan returns a plan with the capacity of all machines that are running, booting or
// requested.
func (p *planner) newPlan(now event.Time, s *scheduler.Scheduler) *plan {
	pools := &poolSelector{
		catalog:     p.catalog,
		provisioner: p.provisioner,
		partitions:  p.partitions,
		overdue:     p.booting.overduePools(now),
		now:         now,
	}
	capacities, evicting := s.ProjectedCapacities(now)
	evictingCounts := map[*pipeline.Job]int{}
	for _, assignment := range evicting {
		evictingCounts[assignment.Job]++
	}
	return &plan{
		workers:        p.workers,
		scheduler:      s,
		catalog:        p.catalog,
		bootTimes:      p.bootTimes,
		pools:          pools,
		zoneCount:      p.names.Zones.Len(),
		idleTimeout:    p.idleTimeout,
		forecast:       p.forecast(now, capacities),
		evicting:       evicting,
		evictingCounts: evictingCounts,
		plannedUsage:   map[pipeline.TeamIndex]pipeline.Usage{},
		waves:          taskWaves{},
		needed:         map[machinePool]int{},
	}
}

// forecast returns the capacities of the running machines, extended by those of the
// booting and the requested machines.
func (p *planner) forecast(now event.Time, capacities []*scheduler.Capacity) *capacityForecast {
	forecast := &capacityForecast{
		now:        now,
		capacities: capacities,
		booting:    map[pipeline.MachineIndex]*scheduler.Capacity{},
	}
	for index, booting := range p.booting.all() {
		if p.isExpected(index, booting, now) {
			forecast.addBooting(index, p.catalog.capacity(booting.pool))
		}
	}
	for _, pool := range sortedPools(p.provisioner.requested) {
		for range p.provisioner.requested[pool] {
			forecast.add(p.catalog.capacity(pool))
		}
	}
	return forecast
}

// isExpected reports whether a booting machine is expected to register soon.
func (p *planner) isExpected(index pipeline.MachineIndex, booting *bootingMachine, now event.Time) bool {
	machine := p.workers.MachineAt(index)
	if machine == nil || machine.Decommissioning() || machine.LastHeartbeat() != 0 {
		return false
	}
	partitioned := booting.running && p.partitions.isPartitioned(machine.Zone())
	return !partitioned && !p.booting.isOverdue(booting, now)
}

// withEvicting appends the jobs whose tasks are being evicted to the blocked jobs.
func (p *plan) withEvicting(blocked []*pipeline.Job) []*pipeline.Job {
	listed := make(map[*pipeline.Job]bool, len(blocked))
	for _, job := range blocked {
		listed[job] = true
	}
	for _, assignment := range p.evicting {
		if !listed[assignment.Job] {
			listed[assignment.Job] = true
			blocked = append(blocked, assignment.Job)
		}
	}
	return blocked
}

// addJob places the unassigned tasks of a job, and those that are being evicted, on the
// forecast capacity, and adds machines to the plan for the rest.
func (p *plan) addJob(job *pipeline.Job) {
	left, ok := p.tasksWithinLimit(job)
	if !ok {
		return
	}
	left += p.evictingCounts[job]
	bootSeconds := p.minBootSeconds(job)
	left = p.waves.slots(job, left, bootSeconds+p.idleTimeout.Seconds(), p.workers.ExpectedRuntime(job))
	p.forecast.releaseWithin(bootSeconds)
	tasksPerZone := p.scheduler.TasksByZone(job)
	zone, ok := p.requiredZone(job, tasksPerZone, left)
	if !ok {
		return
	}
	left = p.forecast.place(job, left, tasksPerZone, zone)
	p.addMachines(job, left, tasksPerZone, zone)
}

// tasksWithinLimit returns the number of a job's startable tasks that fit within its
// team's limit, in addition to what the plan provides for the team's other jobs. ok is
// false if the plan must not provide capacity for the job.
func (p *plan) tasksWithinLimit(job *pipeline.Job) (tasks int, ok bool) {
	planned := p.plannedUsage[job.Team]
	tasks = min(job.StartableCount(), p.scheduler.TasksWithinLimitGiven(job, planned), p.scheduler.AssignmentsLeft(job))
	if job.Shape == pipeline.Gang && tasks < job.StartableCount() {
		return 0, false // a gang needs capacity for all of its tasks
	}
	if job.AtFault() && p.forecast.hasMachineFor(job) {
		return 0, false // the retry of a job at fault waits for an existing machine
	}
	planned.Add(&job.Spec, float64(tasks))
	p.plannedUsage[job.Team] = planned
	return tasks, true
}

// maxPlannedMachines limits the machines that a plan adds, since a job of many tasks may need
// tens of thousands. Far fewer can be requested before the next plan, which counts those as
// capacity and adds more.
const maxPlannedMachines = 1000

// addMachines places tasks on additional machines, which it adds to the plan.
func (p *plan) addMachines(job *pipeline.Job, left int, tasksPerZone scheduler.ZoneCounts, zone pipeline.ZoneIndex) {
	for left > 0 && p.neededCount < maxPlannedMachines {
		best, found := p.pools.cheapest(poolQuery{job: job, tasks: left, tasksPerZone: tasksPerZone, zone: zone, needed: p.needed})
		if !found {
			return
		}
		p.needed[best.pool]++
		p.neededCount++
		count := min(best.tasks, left)
		capacity := p.catalog.capacity(best.pool)
		capacity.Allocate(&job.Spec, count)
		tasksPerZone[best.pool.zone] += count
		p.forecast.add(capacity)
		left -= count
	}
}

// minBootSeconds returns the shortest expected boot time, in seconds, of the machine types
// that can run a job, or 0 if there is none.
func (p *plan) minBootSeconds(job *pipeline.Job) float64 {
	shortest := math.Inf(1)
	for _, machineType := range p.catalog.types {
		if machineType.CanRun(&job.Spec) {
			shortest = min(shortest, p.bootTimes.expectedSeconds(machineType))
		}
	}
	if math.IsInf(shortest, 1) {
		return 0
	}
	return shortest
}

// requiredZone returns the zone that a job must use, or pipeline.AnyZone if the job may use
// several zones. A job that requires a single zone uses the zone where its tasks may
// still be or, if there are none, the zone where the missing machines cost least. ok is
// false if there is no such zone.
func (p *plan) requiredZone(job *pipeline.Job, tasksPerZone scheduler.ZoneCounts, tasks int) (zone pipeline.ZoneIndex, ok bool) {
	if !job.SameZone {
		return pipeline.AnyZone, true
	}
	if len(tasksPerZone) > 0 {
		zone = slices.Sorted(maps.Keys(tasksPerZone))[0]
		return zone, len(tasksPerZone) == 1 && zone >= 0
	}
	lowest := math.Inf(1)
	for candidate := range pipeline.ZoneIndex(p.zoneCount) {
		cost, feasible := p.costInZone(job, tasksPerZone, tasks, candidate)
		if feasible && cost < lowest {
			lowest = cost
			zone = candidate
			ok = true
		}
	}
	return zone, ok
}

// costInZone returns the hourly price of the additional machines that a job's tasks
// need in a zone. feasible is false if no pool of the zone can provide them.
func (p *plan) costInZone(job *pipeline.Job, tasksPerZone scheduler.ZoneCounts, tasks int, zone pipeline.ZoneIndex) (cost float64, feasible bool) {
	missing := p.forecast.tasksWithoutCapacity(job, tasks, zone)
	if missing <= 0 {
		return 0, true
	}
	best, found := p.pools.cheapest(poolQuery{job: job, tasks: missing, tasksPerZone: tasksPerZone, zone: zone})
	if !found {
		return 0, false
	}
	machines := math.Ceil(float64(missing) / float64(best.tasks))
	return p.catalog.price(best.pool) * machines, true
}
