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

// planner makes plans that scale out for tasks without capacity.
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

// plan finds which machines to provision. It places tasks on the capacity that is
// forecast for when a machine asked for now is up; no placement is carried out.
type plan struct {
	workers     *worker.Registry
	scheduler   *scheduler.Scheduler
	catalog     *machineTypeCatalog
	bootTimes   *bootTimes
	pools       *poolSelector
	zoneCount   int // zones have the indices below it
	idleTimeout time.Duration

	forecast       *capacityForecast
	preempting     []*pipeline.Assignment                // tasks that are being stopped
	preemptedTasks map[*pipeline.Job]int                 // how many of them a job has: they need capacity again
	committed      map[pipeline.TeamIndex]pipeline.Usage // by team: what this plan provides capacity for
	waves          taskWaves                             // of short tasks
	needed         map[machinePool]int                   // machines to be asked for
}

// newPlan returns a plan with the capacity of all machines that are or will be up.
func (p *planner) newPlan(now event.Time, s *scheduler.Scheduler) *plan {
	pools := &poolSelector{
		catalog:     p.catalog,
		provisioner: p.provisioner,
		partitions:  p.partitions,
		overdue:     p.booting.overduePools(now),
		now:         now,
	}
	capacities, preempting := s.ProjectedCapacities(now)
	preemptedTasks := map[*pipeline.Job]int{}
	for _, assignment := range preempting {
		preemptedTasks[assignment.Job]++
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
		preempting:     preempting,
		preemptedTasks: preemptedTasks,
		committed:      map[pipeline.TeamIndex]pipeline.Usage{},
		waves:          taskWaves{},
		needed:         map[machinePool]int{},
	}
}

// forecast adds the machines that are booting and asked for to the capacities of those
// that are up.
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
	cutOff := booting.running && p.partitions.isPartitioned(machine.Zone())
	return !cutOff && !p.booting.isOverdue(booting, now)
}

// withPreempted adds the jobs with preempted tasks behind those that are blocked.
func (p *plan) withPreempted(blocked []*pipeline.Job) []*pipeline.Job {
	listed := make(map[*pipeline.Job]bool, len(blocked))
	for _, job := range blocked {
		listed[job] = true
	}
	for _, assignment := range p.preempting {
		if !listed[assignment.Job] {
			listed[assignment.Job] = true
			blocked = append(blocked, assignment.Job)
		}
	}
	return blocked
}

// addJob places the waiting tasks of a job, first on machines that are up or coming,
// then on machines to be asked for.
func (p *plan) addJob(job *pipeline.Job) {
	left, ok := p.tasksWithinLimit(job)
	if !ok {
		return
	}
	left += p.preemptedTasks[job]
	bootTime := p.bootTime(job)
	left = p.waves.slots(job, left, bootTime+p.idleTimeout.Seconds(), p.workers.ExpectedRuntime(job))
	p.forecast.releaseWithin(bootTime)
	tasksPerZone := p.scheduler.TasksByZone(job)
	zone, ok := p.onlyZone(job, tasksPerZone, left)
	if !ok {
		return
	}
	left = p.forecast.place(job, left, tasksPerZone, zone)
	p.addMachines(job, left, tasksPerZone, zone)
}

// tasksWithinLimit returns how many tasks of a job wait for capacity that its team's
// limit lets them have, beside what the plan provides for the team's other jobs. ok
// is false where the job is to get nothing.
func (p *plan) tasksWithinLimit(job *pipeline.Job) (tasks int, ok bool) {
	committed := p.committed[job.Team]
	tasks = min(job.StartableCount(), p.scheduler.TasksWithinLimitBeside(job, committed))
	if job.Shape == pipeline.Gang && tasks < job.StartableCount() {
		return 0, false // all tasks or none
	}
	if job.AtFault() && p.forecast.hasMachineFor(job) {
		return 0, false // its probe waits for a machine that is there
	}
	committed.Add(&job.Spec, float64(tasks))
	p.committed[job.Team] = committed
	return tasks, true
}

// addMachines places tasks on machines to be asked for.
func (p *plan) addMachines(job *pipeline.Job, left int, tasksPerZone scheduler.ZoneCounts, zone pipeline.ZoneIndex) {
	for left > 0 {
		best, found := p.pools.cheapest(poolQuery{job: job, tasks: left, tasksPerZone: tasksPerZone, zone: zone, needed: p.needed})
		if !found {
			return
		}
		p.needed[best.pool]++
		count := min(best.tasks, left)
		capacity := p.catalog.capacity(best.pool)
		capacity.Allocate(&job.Spec, count)
		tasksPerZone[best.pool.zone] += count
		p.forecast.add(capacity)
		left -= count
	}
}

// bootTime is how soon a machine asked for now can be up for a job, in seconds: the
// boot time of the quickest type, 0 where no type is suitable.
func (p *plan) bootTime(job *pipeline.Job) float64 {
	least := math.Inf(1)
	for _, machineType := range p.catalog.types {
		if machineType.CanRun(&job.Spec) {
			least = min(least, p.bootTimes.expected(machineType))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// onlyZone returns the zone to which a job that must stay in one is bound: the one
// where its tasks may still be, else the one where the missing machines cost least. It
// is pipeline.AnyZone where the job may use several. ok is false where there is none.
func (p *plan) onlyZone(job *pipeline.Job, tasksPerZone scheduler.ZoneCounts, tasks int) (zone pipeline.ZoneIndex, ok bool) {
	if !job.SameZone {
		return pipeline.AnyZone, true
	}
	if len(tasksPerZone) > 0 {
		zone = slices.Sorted(maps.Keys(tasksPerZone))[0]
		return zone, len(tasksPerZone) == 1 && zone >= 0
	}
	least := math.Inf(1)
	for candidate := range pipeline.ZoneIndex(p.zoneCount) {
		cost, possible := p.costInZone(job, tasksPerZone, tasks, candidate)
		if possible && cost < least {
			least = cost
			zone = candidate
			ok = true
		}
	}
	return zone, ok
}

// costInZone is what the machines cost per hour that a job's tasks lack in a zone.
func (p *plan) costInZone(job *pipeline.Job, tasksPerZone scheduler.ZoneCounts, tasks int, zone pipeline.ZoneIndex) (cost float64, possible bool) {
	missing := p.forecast.missing(job, tasks, zone)
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
