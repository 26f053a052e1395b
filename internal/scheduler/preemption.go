package scheduler

import (
	"math"

	"lugward/internal/config"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// imageFetchWeight weighs a second that the more important job waits for its image
// against a second that a victim loses.
const imageFetchWeight = 4.0

// preempt frees capacity for a job that found none by evicting work that it outranks,
// for all tasks of a gang or for none. Capacity that is already being freed is counted
// first, so that a job does not evict more than it needs. It returns how many tasks
// are left without a reservation.
func (r *round) preempt(job *pipeline.Job) (left int) {
	left = min(job.StartableCount(), r.TasksWithinLimitBeside(job, r.reserved[job.Team]))
	if job.Shape == pipeline.Gang && left < job.StartableCount() {
		return 0 // whole or not at all
	}
	if left == 0 || !r.mayPreemptAny(job) {
		return left
	}
	attempt := nextAttempt(job)
	for _, slot := range r.cheapestPreemption(job, left) {
		r.useSlot(job, slot, attempt)
		left--
	}
	return left
}

// mayPreemptAny reports whether there may be tasks that a job may preempt. None is
// evicted for the probe of a job at fault, which is likely to fail again.
func (r *round) mayPreemptAny(job *pipeline.Job) bool {
	outranks := job.EffectivePriority > r.lowestRunningPriority || job.WithinQuota()
	return outranks && !job.AtFault()
}

// cheapestPreemption finds slots for the tasks of a job, with the victims to evict for
// them, in the zone where that costs least.
func (r *round) cheapestPreemption(job *pipeline.Job, count int) []slot {
	var best []slot
	var bestZone pipeline.ZoneSelector
	least := math.Inf(1)
	price := r.preemptionPricing(job)
	for _, zone := range r.zonesToSearch(job) {
		slots := r.cheapestSlots(slotSearch{job: job, zone: zone, count: count, price: price})
		if len(slots) == 0 || (job.Shape == pipeline.Gang && len(slots) < count) {
			continue
		}
		if cost := totalCost(slots); cost < least {
			least = cost
			best = slots
			bestZone = zone
		}
	}
	if best != nil {
		job.ReserveZone(bestZone)
	}
	return best
}

// preemptionPricing prices a slot by what its victims lose and how long the job waits
// for its image.
func (r *round) preemptionPricing(job *pipeline.Job) slotPricing {
	return func(free *Capacity, claimed victimSet) (slotPrice, bool) {
		afterEvictions := free.afterEvictions()
		fetch := imageFetchWeight * free.fetchTime(job)
		if afterEvictions.Fits(&job.Spec) > 0 {
			return slotPrice{cost: fetch}, true
		}
		victims, cost := r.cheapestVictims(job, afterEvictions, claimed)
		return slotPrice{cost + fetch, victims}, victims != nil
	}
}

// totalCost sums up the cost of slots.
func totalCost(slots []slot) float64 {
	cost := 0.0
	for _, slot := range slots {
		cost += slot.cost
	}
	return cost
}

// useSlot evicts the victims of a slot. Its capacity is reserved until they have
// terminated; where there are none the task is placed at once, so that a gang's tasks
// fetch their image while capacity is freed for the others.
func (r *round) useSlot(job *pipeline.Job, slot slot, attempt uint64) {
	for _, victim := range slot.victims {
		r.workers.Evict(victim, worker.GracePeriod(victim.Job))
		slot.capacity.noteEviction(victim)
		r.preempted.add(victim.Job)
	}
	if slot.victims == nil && slot.capacity.Fits(&job.Spec) > 0 {
		r.placeTasks(job, placement{slot.capacity, 1}, attempt)
	} else {
		r.reserveTask(job, slot.capacity)
	}
}

// noteEviction records that a task of the machine is being evicted.
func (c *Capacity) noteEviction(task *pipeline.Assignment) {
	c.evicting = append(c.evicting, task)
}

// afterEvictions is the capacity once the tasks that are being evicted have
// terminated.
func (c *Capacity) afterEvictions() Capacity {
	free := *c
	for _, task := range c.evicting {
		free.release(&task.Job.Spec)
	}
	return free
}

// mayPreempt reports whether a job may preempt a running task.
func (r *round) mayPreempt(job *pipeline.Job, victim *pipeline.Assignment) bool {
	other := victim.Job
	if job.EffectivePriority > other.EffectivePriority {
		return true
	}
	if !job.WithinQuota() || job.Team == other.Team {
		return false
	}
	// A job within its own team's quota is not preempted for another's. Nor is what
	// was placed a moment ago: two jobs that preempted each other in every round,
	// before either was stored, would never start.
	if other.WithinQuota() || !victim.Durable() {
		return false
	}
	return r.borrows(other, r.cfg.Teams[job.Team], &job.Spec)
}

// borrows reports whether a job uses, beyond its own team's quota, a resource that
// another team has a quota of and that the other team's job asks for.
func (r *round) borrows(job *pipeline.Job, otherTeam config.Team, asked *pipeline.Spec) bool {
	team := r.cfg.Teams[job.Team]
	usage := r.jobs.TeamUsage(job.Team)
	preempted := r.preempted[job.Team]
	if otherTeam.CPUs > 0 && asked.CPUs > 0 && job.CPUs > 0 {
		if usage.CPUs-preempted.CPUs > team.CPUs+tolerance {
			return true
		}
	}
	if otherTeam.GPUs > 0 && asked.GPUs > 0 && job.GPUs > 0 {
		return usage.GPUs-preempted.GPUs > team.GPUs+tolerance
	}
	return false
}
