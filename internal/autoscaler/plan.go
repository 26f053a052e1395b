package autoscaler

import (
	"maps"
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

// plan finds which machines to provision. It places tasks on machines as they will
// be once a machine asked for now is up; no placement is carried out.
type plan struct {
	*Autoscaler
	now        event.Time
	scheduler  *scheduler.Scheduler
	capacities []*scheduler.Capacity       // of machines that are up, booting or asked for; nil where the type is not known
	coming     map[int]*scheduler.Capacity // those of booting machines, by machine
	released   float64                     // what ends within so many seconds has freed its capacity
	preempting []*pipeline.Assignment      // tasks that are being stopped
	preempted  map[*pipeline.Job]int       // how many of them a job has: they need capacity again
	committed  map[int]pipeline.Usage      // by team: what this plan provides for
	sequences  taskWaves                   // of short tasks
	need       map[offer]int               // machines to be asked for
}

// Plan provisions for the tasks that found no capacity, as things will stand when a
// machine asked for now is up: what ends or leaves by then frees capacity, what was
// stopped needs capacity again, and machines that are booting take tasks. For the
// rest machines are provisioned where a task costs least.
func (a *Autoscaler) Plan(now event.Time, blocked []*pipeline.Job, s *scheduler.Scheduler, term uint64, out *event.Effects) {
	if !a.list.current {
		if now >= a.list.planFrom {
			a.list.expedite(now, a.cfg.CloudRPS)
		}
		return
	}
	a.provisioning.overdue = a.overdueOffers(now)
	plan := a.newPlan(now, s)
	for _, job := range plan.withPreempted(blocked) {
		plan.provisionFor(job)
	}
	plan.decommissionUnneeded()
	for _, offer := range sortedOffers(plan.need) {
		if !a.allowed(now) {
			return
		}
		a.provision(offer, min(plan.need[offer], maxProvisionBatch), term, out)
	}
}

// newPlan returns a plan with the capacity of all machines that are or will be up.
func (a *Autoscaler) newPlan(now event.Time, s *scheduler.Scheduler) *plan {
	capacities, preempting := s.ProjectedCapacities(now)
	p := &plan{
		Autoscaler: a,
		now:        now,
		scheduler:  s,
		capacities: capacities,
		coming:     map[int]*scheduler.Capacity{},
		preempting: preempting,
		preempted:  map[*pipeline.Job]int{},
		committed:  map[int]pipeline.Usage{},
		sequences:  taskWaves{},
		need:       map[offer]int{},
	}
	for _, entry := range preempting {
		p.preempted[entry.Job]++
	}
	p.addBooting()
	p.addRequested()
	return p
}

// addBooting adds the machines that are expected to come up.
func (p *plan) addBooting() {
	for _, index := range slices.Sorted(maps.Keys(p.booting)) {
		booting := p.booting[index]
		machine := p.workers.MachineAt(index)
		if machine == nil || machine.Decommissioning() || machine.LastHeartbeat() != 0 {
			continue
		}
		unreachable := booting.up && p.partitioned[machine.Zone()]
		if unreachable || p.isOverdue(booting, p.now) {
			continue
		}
		capacity := p.capacity(booting.offer)
		p.coming[index] = capacity
		if capacity != nil {
			p.capacities = append(p.capacities, capacity)
		}
	}
}

// addRequested adds the machines that the cloud was asked for.
func (p *plan) addRequested() {
	for _, offer := range sortedOffers(p.provisioning.requested) {
		for range p.provisioning.requested[offer] {
			p.capacities = append(p.capacities, p.capacity(offer))
		}
	}
}

// withPreempted adds the jobs with preempted tasks behind those that are blocked.
func (p *plan) withPreempted(blocked []*pipeline.Job) []*pipeline.Job {
	listed := make(map[*pipeline.Job]bool, len(blocked))
	for _, job := range blocked {
		listed[job] = true
	}
	for _, entry := range p.preempting {
		if !listed[entry.Job] {
			listed[entry.Job] = true
			blocked = append(blocked, entry.Job)
		}
	}
	return blocked
}

// provisionFor places the waiting tasks of a job, first on machines that are there or
// coming, then on machines to be asked for.
func (p *plan) provisionFor(job *pipeline.Job) {
	left, ok := p.tasksWithinQuota(job)
	if !ok {
		return
	}
	left += p.preempted[job]
	boot := p.bootTime(job)
	left = p.sequences.places(job, left, boot+p.cfg.IdleTimeout.Seconds(), p.workers.ExpectedRuntime(job))
	p.releaseEnding(boot)
	inZone := p.scheduler.TasksByZone(job)
	zone, ok := p.onlyZone(job, inZone, left)
	if !ok {
		return
	}
	left = p.useCapacities(job, left, inZone, zone)
	p.addMachines(job, left, inZone, zone)
}

// releaseEnding frees the capacity of tasks that end within so many seconds.
func (p *plan) releaseEnding(within float64) {
	if within <= p.released {
		return // an earlier job's machines take as long
	}
	p.released = within
	for _, capacity := range p.capacities {
		if capacity != nil {
			capacity.ReleaseWithin(within)
		}
	}
}

// tasksWithinQuota returns how many tasks of a job wait for capacity that its team's
// limit lets them have, beside what the plan provides for the team's other jobs. ok
// is false where the job is to get nothing.
func (p *plan) tasksWithinQuota(job *pipeline.Job) (tasks int, ok bool) {
	committed := p.committed[job.Team]
	tasks = min(job.StartableCount(), p.scheduler.TasksWithinLimitBeside(job, committed))
	if job.Shape == pipeline.Gang && tasks < job.StartableCount() {
		return 0, false // whole or not at all
	}
	if job.AtFault() && hasMachineFor(job, p.capacities) {
		return 0, false // its probe waits for a machine that is there
	}
	committed.Add(&job.Spec, float64(tasks))
	p.committed[job.Team] = committed
	return tasks, true
}

// useCapacities places tasks on machines that are there or coming. It returns how
// many are left.
func (p *plan) useCapacities(job *pipeline.Job, left int, inZone map[int]int, zone int) int {
	for _, capacity := range p.capacities {
		if left == 0 {
			break
		}
		if !p.usable(job, capacity, zone) {
			continue
		}
		count := min(left, capacity.Fits(&job.Spec), scheduler.TasksAllowedInZone(job, inZone, capacity.Zone))
		if count > 0 {
			capacity.Allocate(&job.Spec, count)
			inZone[capacity.Zone] += count
			left -= count
		}
	}
	return left
}

// usable tells whether tasks of a job may be placed on a machine.
func (p *plan) usable(job *pipeline.Job, capacity *scheduler.Capacity, zone int) bool {
	if capacity == nil || !capacity.Matches(&job.Spec) {
		return false
	}
	if capacity.Machine != nil && job.AvoidsMachine(capacity.Machine.Index, p.now) {
		return false
	}
	return zone == anyZone || capacity.Zone == zone
}

// addMachines places tasks on machines to be asked for.
func (p *plan) addMachines(job *pipeline.Job, left int, inZone map[int]int, zone int) {
	for left > 0 {
		best, ok := p.cheapestOffer(offerQuery{job: job, tasks: left, inZone: inZone, zone: zone, need: p.need, now: p.now})
		if !ok {
			return
		}
		p.need[best.offer]++
		count := min(best.tasks, left)
		capacity := p.capacity(best.offer)
		capacity.Allocate(&job.Spec, count)
		inZone[best.offer.zone] += count
		p.capacities = append(p.capacities, capacity)
		left -= count
	}
}

// decommissionUnneeded retires booting machines for which no task has been planned for
// long: what they were provisioned for is done or has found capacity elsewhere.
func (p *plan) decommissionUnneeded() {
	for index, capacity := range p.coming {
		booting := p.booting[index]
		machine := p.workers.MachineAt(index)
		switch {
		case capacity == nil || capacity.InUse:
			booting.idle = 0
		case booting.idle == 0:
			booting.idle = p.now
		case p.now-booting.idle > 2*p.cfg.IdleTimeout && !p.hasTasks(machine):
			machine.StartDecommission() // the next tick stores that and releases it
		}
	}
}

// hasMachineFor tells whether a task of a job fits on one of the machines once it is
// empty.
func hasMachineFor(job *pipeline.Job, capacities []*scheduler.Capacity) bool {
	return slices.ContainsFunc(capacities, func(capacity *scheduler.Capacity) bool {
		return capacity != nil && capacity.Matches(&job.Spec) && scheduler.Allows(&job.Spec, capacity.MachineType)
	})
}

// bootTime is how soon a machine asked for now can be up for a job, in seconds: the
// boot of the quickest type.
func (a *Autoscaler) bootTime(job *pipeline.Job) float64 {
	least := math.Inf(1)
	for _, machineType := range a.machineTypes {
		if scheduler.Allows(&job.Spec, machineType) {
			least = min(least, a.expectedBoot(machineType))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// onlyZone returns the zone to which a job that must stay in one is bound: the one
// where its tasks may still be, else the one where the missing machines cost least.
// ok is false where there is none.
func (p *plan) onlyZone(job *pipeline.Job, inZone map[int]int, left int) (zone int, ok bool) {
	if !job.SameZone {
		return anyZone, true
	}
	if len(inZone) > 0 {
		zone = slices.Sorted(maps.Keys(inZone))[0]
		return zone, len(inZone) == 1 && zone >= 0
	}
	least := math.Inf(1)
	for candidate := range p.names.Zones.Len() {
		cost, possible := p.costInZone(job, inZone, left, candidate)
		if possible && cost < least {
			least = cost
			zone = candidate
			ok = true
		}
	}
	return zone, ok
}

// costInZone is what the machines cost per hour that a job's tasks lack in a zone.
func (p *plan) costInZone(job *pipeline.Job, inZone map[int]int, left, zone int) (cost float64, possible bool) {
	missing := left
	for _, capacity := range p.capacities {
		if capacity != nil && capacity.Zone == zone && capacity.Matches(&job.Spec) {
			missing -= capacity.Fits(&job.Spec)
		}
	}
	if missing <= 0 {
		return 0, true
	}
	best, ok := p.cheapestOffer(offerQuery{job: job, tasks: missing, inZone: inZone, zone: zone, now: p.now})
	if !ok {
		return 0, false
	}
	machines := math.Ceil(float64(missing) / float64(best.tasks))
	return p.price(best.offer) * machines, true
}
