package scheduler

import (
	"cmp"
	"math"
	"slices"

	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

const (
	// fetchCost weighs a second that the more important job waits for its image
	// against a second that a stopped task loses.
	fetchCost = 4.0
	// moveCost is what it costs in seconds to stop a task, move it and fetch its
	// image, beside its checkpoint.
	moveCost = 10.0
	// uncountedStartCost is what it costs in seconds that a start does not count for
	// its user because a stop follows it at once.
	uncountedStartCost = 20.0
)

// preempt frees capacity for a job that found none by stopping work that it
// outranks, for all tasks of a gang or for none. Capacity that is already being
// freed is counted first, so that a job does not stop more than it needs. It
// returns how many tasks are left without a reservation.
func (s *Scheduler) preempt(job *pipeline.Job, capacities []*Capacity, now event.Time) (left int) {
	left = min(job.StartableCount(), s.TasksWithinLimitBeside(job, s.round.committed[job.Team]))
	if job.Shape == pipeline.Gang && left < job.StartableCount() {
		return 0 // whole or not at all
	}
	if left == 0 || !s.mayPreemptAny(job) {
		return left
	}
	attempt := nextAttempt(job)
	for _, pick := range s.cheapestVictims(job, capacities, left, now) {
		s.usePick(job, pick, attempt, now)
		left--
	}
	return left
}

// mayPreemptAny tells whether there may be tasks that a job may stop. None is
// stopped for the probe of a job at fault, which is likely to fail again.
func (s *Scheduler) mayPreemptAny(job *pipeline.Job) bool {
	outranks := job.EffectivePriority > s.round.lowestPriority || job.WithinQuota
	return outranks && !job.AtFault()
}

// cheapestVictims picks capacity for the tasks of a job, with the victims to stop
// for it, in the zone where that costs least.
func (s *Scheduler) cheapestVictims(job *pipeline.Job, capacities []*Capacity, count int, now event.Time) (best []pick) {
	price := func(capacity *Capacity, taken taken) (float64, []*pipeline.Assignment, bool) {
		free := capacity.afterPreemption()
		fetch := fetchCost * capacity.FetchTime(job)
		if free.Fits(&job.Spec) > 0 {
			return fetch, nil, true
		}
		victims, cost := s.victims(job, capacity, free, taken, now)
		return cost + fetch, victims, victims != nil
	}
	least := math.Inf(1)
	for _, zone := range s.zonesToTry(job, capacities) {
		picks := s.choose(job, capacities, zone, count, price, now)
		if len(picks) == 0 || (job.Shape == pipeline.Gang && len(picks) < count) {
			continue
		}
		cost := 0.0
		for _, pick := range picks {
			cost += pick.cost
		}
		if cost < least {
			least = cost
			best = picks
			setReservedZone(job, zone)
		}
	}
	return best
}

// usePick stops the victims of a pick. Its capacity is reserved until they have
// terminated; where there are none the task is placed at once, so that a gang's
// tasks fetch their image while capacity is freed for the others.
func (s *Scheduler) usePick(job *pipeline.Job, pick pick, attempt uint64, now event.Time) {
	for _, victim := range pick.victims {
		s.workers.Evict(victim, worker.GracePeriod(victim.Job))
		pick.capacity.Evicting = append(pick.capacity.Evicting, victim)
		s.notePreempted(victim)
	}
	if pick.victims == nil && pick.capacity.Fits(&job.Spec) > 0 {
		s.placeTasks(job, placement{pick.capacity, 1}, attempt, now)
	} else {
		s.reserveTask(job, pick.capacity, now)
	}
}

// afterPreemption is the capacity once the tasks that are being stopped have
// terminated.
func (c *Capacity) afterPreemption() Capacity {
	free := *c
	for _, entry := range c.Evicting {
		free.release(&entry.Job.Spec)
	}
	return free
}

// notePreempted counts what a team loses by a stop.
func (s *Scheduler) notePreempted(entry *pipeline.Assignment) {
	usage := s.round.preempting[entry.Job.Team]
	usage.Add(&entry.Job.Spec, 1)
	s.round.preempting[entry.Job.Team] = usage
}

// mayPreempt tells whether a job may stop a running task.
func (s *Scheduler) mayPreempt(job *pipeline.Job, entry *pipeline.Assignment) bool {
	other := entry.Job
	if job.EffectivePriority > other.EffectivePriority {
		return true
	}
	if !job.WithinQuota || job.Team == other.Team {
		return false
	}
	// A job within its own team's guarantee is not stopped for another's. Nor is
	// what was placed a moment ago: two jobs that stopped each other in every
	// round, before either was stored, would never start.
	if other.WithinQuota || !entry.Durable {
		return false
	}
	return s.borrows(other, s.cfg.Teams[job.Team], &job.Spec)
}

// borrows tells whether a job uses, beyond its own team's guarantee, the very thing
// that is guaranteed to the team of the asking job.
func (s *Scheduler) borrows(job *pipeline.Job, askingTeam config.Team, asking *pipeline.Spec) bool {
	guarantee := s.cfg.Teams[job.Team]
	usage := s.jobs.TeamUsage(job.Team)
	stopped := s.round.preempting[job.Team]
	if askingTeam.CPUs > 0 && asking.CPUs > 0 && job.CPUs > 0 {
		if usage.CPUs-stopped.CPUs > guarantee.CPUs+tolerance {
			return true
		}
	}
	if askingTeam.GPUs > 0 && asking.GPUs > 0 && job.GPUs > 0 {
		return usage.GPUs-stopped.GPUs > guarantee.GPUs+tolerance
	}
	return false
}

// candidate is a task that may be stopped, and what that costs.
type candidate struct {
	entry *pipeline.Assignment
	cost  float64 // seconds of work lost or delayed
}

// compareCandidates puts the cheapest first, of equal ones that of the youngest job.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.entry.Job.ReadyRevision, a.entry.Job.ReadyRevision), cmp.Compare(a.entry.Task, b.entry.Task))
}

// victims picks tasks to stop on a machine until the job fits, those that lose
// least first. cost is in seconds of work lost or delayed. free is what is left once
// the tasks that are already being stopped have terminated.
func (s *Scheduler) victims(job *pipeline.Job, capacity *Capacity, free Capacity, taken taken, now event.Time) (victims []*pipeline.Assignment, cost float64) {
	candidates := s.scratch.candidates[:0]
	for _, entry := range s.jobs.OnMachine(capacity.Machine.Index) {
		if !taken[entry] && mayBeVictim(entry) && !forcedStart(entry, now) && s.mayPreempt(job, entry) {
			candidates = append(candidates, candidate{entry, evictionCost(entry, now)})
		}
	}
	s.scratch.candidates = candidates
	slices.SortFunc(candidates, compareCandidates)
	for i, next := range candidates {
		cost += next.cost
		free.release(&next.entry.Job.Spec)
		if free.Fits(&job.Spec) > 0 {
			for _, victim := range candidates[:i+1] {
				victims = append(victims, victim.entry)
			}
			return victims, cost
		}
	}
	return nil, 0
}

// mayBeVictim tells whether a task can be stopped at all for another. Gangs are not:
// all of their tasks would lose their places for the sake of one.
func mayBeVictim(entry *pipeline.Assignment) bool {
	if entry.Evicting || entry.Pending != pipeline.NoPendingWrite {
		return false
	}
	return entry.Job.TerminalPhase == pipeline.Queued && !entry.Job.IsGang()
}

// evictionCost is what it costs to stop a task, in seconds of work lost or delayed.
func evictionCost(entry *pipeline.Assignment, now event.Time) float64 {
	cost := entry.Job.CheckpointDuration + moveCost
	if entry.StartedAt == 0 {
		return cost
	}
	if entry.Job.CheckpointInterval == 0 {
		cost += secondsSince(entry.StartedAt, now) // all of it is lost
	}
	if now-entry.StartedAt < startCountsAfter {
		cost += uncountedStartCost
	}
	return cost
}
