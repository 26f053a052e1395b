package scheduler

import (
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// RoundResult is what a round leaves.
type RoundResult struct {
	Blocked    []*pipeline.Job // jobs with tasks that could not be placed, in the order of the round
	Capacities []*Capacity     // what is free on the machines that are up, without what is reserved
}

// round is the state of one scheduling round. It lasts no longer than the round.
type round struct {
	*Scheduler
	now        event.Time
	budget     Budget
	queue      []*pipeline.Job // to be scheduled, in their order
	capacities []*Capacity     // of the machines that are up
	// withRoom are the machines on which a task of some job fits. Free capacity only
	// shrinks during a round.
	withRoom []*Capacity
	// byFirstRelease are the machines in the order in which capacity comes free
	// there; nil: not listed yet.
	byFirstRelease        []machineRelease
	lowestRunningPriority pipeline.Priority
	preempted             usageByTeam // what this round preempts
	reserved              usageByTeam // what this round reserves
}

// usageByTeam sums up what tasks use, by index of the team's name.
type usageByTeam map[pipeline.TeamIndex]pipeline.Usage

// add counts one task of a job.
func (u usageByTeam) add(job *pipeline.Job) {
	usage := u[job.Team]
	usage.Add(&job.Spec, 1)
	u[job.Team] = usage
}

// interruption is where a round ran out of its budget. The next round goes on there
// and keeps the reservations of the jobs before that point: else less important jobs
// behind them would take that capacity.
type interruption struct {
	next         *pipeline.Job // the first job that was not looked at, nil: the round was completed
	reservations []reservation // of the jobs before it
}

// Round places, preempts and reserves what it can within the budget. A round that
// runs out of it is continued by the next one.
func (s *Scheduler) Round(now event.Time, budget Budget) RoundResult {
	r := s.newRound(now, budget)
	r.orderJobs()
	first := r.resumeInterrupted()
	r.findMachinesWithRoom()
	if first == 0 {
		r.startStarvedJobs()
	}
	r.scheduleJobs(first)
	return RoundResult{Blocked: r.blockedJobs(), Capacities: r.capacities}
}

// newRound returns a round that has not looked at any job yet.
func (s *Scheduler) newRound(now event.Time, budget Budget) *round {
	return &round{
		Scheduler:  s,
		now:        now,
		budget:     budget,
		capacities: s.machineCapacities(now),
		preempted:  usageByTeam{},
		reserved:   usageByTeam{},
	}
}

// orderJobs lists the jobs to be scheduled in their order.
func (r *round) orderJobs() {
	unfinished := r.jobs.ReadyJobs()
	r.updateQuotas(unfinished)
	r.queue = slices.DeleteFunc(unfinished, func(job *pipeline.Job) bool { return !job.Schedulable(r.now) })
	sortJobs(r.queue, r.now)
}

// resumeInterrupted returns the position of the job to begin with: the first one
// unless the last round was interrupted before a job that still waits.
func (r *round) resumeInterrupted() (first int) {
	last := &r.interruption
	first = slices.Index(r.queue, last.next)
	last.next = nil
	r.reservationCount = 0
	if first < 0 {
		last.reservations = last.reservations[:0]
		return 0
	}
	r.restoreReservations(last.reservations)
	return first
}

// findMachinesWithRoom lists the machines with free capacity for the least that any
// job asks for of each resource. In a full site these are few, and only they are
// looked at to place a task.
func (r *round) findMachinesWithRoom() {
	if len(r.queue) == 0 {
		return
	}
	least := pipeline.Spec{CPUs: math.Inf(1), GPUs: math.Inf(1), Memory: math.Inf(1)}
	for _, job := range r.queue {
		least.CPUs = min(least.CPUs, job.CPUs)
		least.GPUs = min(least.GPUs, job.GPUs)
		least.Memory = min(least.Memory, job.Memory)
	}
	for _, capacity := range r.capacities {
		if capacity.Fits(&least) > 0 {
			r.withRoom = append(r.withRoom, capacity)
		}
	}
}

// scheduleJobs schedules the jobs from a position on until the budget is used up.
// The first of them is looked at in any case, so that every round makes progress.
func (r *round) scheduleJobs(first int) {
	for i, job := range r.queue[first:] {
		if i > 0 && r.budget.exhausted() {
			r.interruption.next = job
			r.counters.interruptedRounds++
			return
		}
		r.scheduleJob(job)
	}
}

// scheduleJob places the tasks of a job that fit, preempts other work for the rest
// and reserves capacity for what is then left.
func (r *round) scheduleJob(job *pipeline.Job) {
	r.place(job)
	if job.StartableCount() == 0 {
		return
	}
	left := r.preempt(job)
	r.reserve(job, left)
}

// blockedJobs lists the jobs with tasks that still wait.
func (r *round) blockedJobs() []*pipeline.Job {
	var blocked []*pipeline.Job
	for _, job := range r.queue {
		if job.StartableCount() > 0 {
			blocked = append(blocked, job)
		}
	}
	return blocked
}
