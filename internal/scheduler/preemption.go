package scheduler

import (
	"math"

	"lugward/internal/config"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// imageFetchWeight is the cost of a second for which the preempting job waits for its
// image, relative to a second of work that a victim loses.
const imageFetchWeight = 4.0

// preempt evicts less important tasks to free capacity for the startable tasks of a job
// that do not fit: for all tasks of a gang or for none. Capacity that evictions in
// progress will free is used first, so that a job does not evict more than it needs. It
// returns the number of tasks that still need a reservation. finished is false if the round
// has exhausted its budget before the last step.
func (r *round) preempt(job *pipeline.Job) (remaining int, finished bool) {
	remaining = min(job.StartableCount(), r.TasksWithinLimitGiven(job, r.reservedUsage[job.Team]), r.AssignmentsLeft(job))
	if job.Shape == pipeline.Gang && remaining < job.StartableCount() {
		return 0, true // a gang is placed as a whole or not at all
	}
	attempt := nextAttempt(job)
	costOf := r.preemptionCostFunc(job, remaining > maxTasksPerStep)
	for remaining > 0 && r.mayPreemptAny(job) {
		count := remaining
		if job.Shape != pipeline.Gang {
			count = min(count, maxTasksPerStep)
		}
		slots := r.cheapestPreemption(job, count, costOf)
		for _, slot := range slots {
			r.useSlot(job, slot, attempt)
			remaining--
		}
		if len(slots) < count || remaining == 0 {
			break
		}
		if r.budget.exhausted() {
			return remaining, false
		}
	}
	return remaining, true
}

// mayPreemptAny reports whether there may be tasks that a job may preempt. A job at fault
// preempts none, since its probe is likely to fail again.
func (r *round) mayPreemptAny(job *pipeline.Job) bool {
	outranks := job.EffectivePriority > r.lowestRunningPriority || job.WithinQuota()
	return outranks && !job.AtFault()
}

// cheapestPreemption returns slots for up to count tasks of a job, with the victims to
// evict, from the zone with the lowest total cost.
func (r *round) cheapestPreemption(job *pipeline.Job, count int, costOf slotCostFunc) []slot {
	var best []slot
	var bestZone pipeline.ZoneSelector
	least := math.Inf(1)
	for _, zone := range r.zonesToSearch(job) {
		slots := r.cheapestSlots(slotSearch{job: job, zone: zone, count: count, costOf: costOf})
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

// preemptionCostFunc returns a cost function for slots: the eviction cost of the victims
// plus the weighted time to fetch the job's image. It may be used for several searches.
func (r *round) preemptionCostFunc(job *pipeline.Job, severalSteps bool) slotCostFunc {
	search := victimSearch{round: r, job: job, queues: map[pipeline.MachineIndex][]victimCandidate{}, severalSteps: severalSteps}
	return func(free *Capacity, claimed victimSet) (slotCost, bool) {
		afterEvictions := free.afterEvictions()
		fetch := imageFetchWeight * free.fetchTime(job)
		if afterEvictions.FittingTasks(&job.Spec) > 0 {
			return slotCost{cost: fetch}, true
		}
		victims, cost := search.cheapestVictims(afterEvictions, claimed)
		return slotCost{cost + fetch, victims}, victims != nil
	}
}

// totalCost returns the sum of the costs of slots.
func totalCost(slots []slot) float64 {
	cost := 0.0
	for _, slot := range slots {
		cost += slot.cost
	}
	return cost
}

// useSlot evicts the victims of a slot and reserves its capacity until they have
// terminated. If the capacity is free already, the task is assigned at once, so that the
// tasks of a gang fetch their image while capacity is freed for the others.
func (r *round) useSlot(job *pipeline.Job, slot slot, attempt uint64) {
	for _, victim := range slot.victims {
		r.workers.Evict(victim, worker.GracePeriod(victim.Job))
		slot.capacity.recordEviction(victim)
		r.preemptedUsage.add(victim.Job)
	}
	if slot.victims == nil && slot.capacity.FittingTasks(&job.Spec) > 0 {
		r.assignTasks(job, placement{slot.capacity, 1}, attempt)
	} else {
		r.reserveTask(job, slot.capacity)
	}
}

// recordEviction records that a task of the machine is being evicted.
func (c *Capacity) recordEviction(task *pipeline.Assignment) {
	c.evicting.add(&task.Job.Spec)
}

// afterEvictions returns the capacity as it will be once the tasks that are being evicted
// have terminated.
func (c *Capacity) afterEvictions() Capacity {
	free := *c
	free.releaseAll(c.evicting)
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
	// A job within its own team's quota is not preempted for another team's quota. Nor
	// is an assignment that is not persisted yet: two jobs could otherwise preempt each
	// other in every round before either assignment is persisted, and never start.
	if other.WithinQuota() || !victim.Persisted() {
		return false
	}
	return r.borrows(other, r.cfg.Teams[job.Team], &job.Spec)
}

// borrows reports whether a job uses a resource beyond its own team's quota that the
// other team has a quota for and that the other team's job requests.
func (r *round) borrows(job *pipeline.Job, otherTeam config.Team, requested *pipeline.Spec) bool {
	team := r.cfg.Teams[job.Team]
	usage := r.jobs.TeamUsage(job.Team)
	preempted := r.preemptedUsage[job.Team]
	if otherTeam.CPUs > 0 && requested.CPUs > 0 && job.CPUs > 0 {
		if usage.CPUs-preempted.CPUs > team.CPUs+tolerance {
			return true
		}
	}
	if otherTeam.GPUs > 0 && requested.GPUs > 0 && job.GPUs > 0 {
		return usage.GPUs-preempted.GPUs > team.GPUs+tolerance
	}
	return false
}
