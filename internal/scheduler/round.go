package scheduler

import (
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// reservation is capacity on a machine that one task of a job waits for.
type reservation struct {
	job     *pipeline.Job
	machine *worker.Machine
}

// RoundResult is what a round leaves.
type RoundResult struct {
	Blocked    []*pipeline.Job // jobs with tasks that could not be placed, in the order of the round
	Capacities []*Capacity     // what is free on the machines that are up, without what is reserved
}

// Round places what it can and returns the jobs that still have tasks open, with
// what is left of the machines. A round that runs out of its budget goes on where
// it stopped, and then still keeps the reservations of the jobs before that point:
// else less important jobs behind them would take that capacity.
func (s *Scheduler) Round(now event.Time, budget Budget) RoundResult {
	capacities := s.Capacities(now)
	unfinished := s.jobs.ReadyJobs()
	s.updateQuotas(unfinished)
	jobs := slices.DeleteFunc(unfinished, func(job *pipeline.Job) bool { return !job.Schedulable(now) })
	order(jobs, now)
	start := s.startRound(jobs, capacities)
	s.round.roomy = capacitiesWithRoom(jobs, capacities)
	s.round.bySoonest = nil
	s.round.budget = budget
	if start == 0 {
		s.startStarving(jobs, capacities, now)
	}
	s.scheduleJobs(jobs[start:], capacities, now)
	result := RoundResult{Capacities: capacities}
	for _, job := range jobs {
		if job.StartableCount() > 0 {
			result.Blocked = append(result.Blocked, job)
		}
	}
	return result
}

// startRound resets the state of a round and returns the job to begin with.
func (s *Scheduler) startRound(jobs []*pipeline.Job, capacities []*Capacity) (start int) {
	round := &s.round
	round.preempting = map[int]pipeline.Usage{}
	round.committed = map[int]pipeline.Usage{}
	start = slices.Index(jobs, round.resume)
	if start < 0 {
		start = 0
		round.reservations = round.reservations[:0]
	}
	if len(round.reservations) > 0 {
		s.keepReservations(capacities)
	}
	round.resume = nil
	round.reserved = 0
	return start
}

// capacitiesWithRoom lists the machines with capacity for the least that any of the jobs
// asks for of each resource: in a full site these are few, and only they are looked at
// to place a task.
func capacitiesWithRoom(jobs []*pipeline.Job, capacities []*Capacity) []*Capacity {
	if len(jobs) == 0 {
		return nil
	}
	least := pipeline.Spec{CPUs: math.Inf(1), GPUs: math.Inf(1), Memory: math.Inf(1)}
	for _, job := range jobs {
		least.CPUs = min(least.CPUs, job.CPUs)
		least.GPUs = min(least.GPUs, job.GPUs)
		least.Memory = min(least.Memory, job.Memory)
	}
	var roomy []*Capacity
	for _, capacity := range capacities {
		if capacity.Fits(&least) > 0 {
			roomy = append(roomy, capacity)
		}
	}
	return roomy
}

// keepReservations allocates what an interrupted round reserved.
func (s *Scheduler) keepReservations(capacities []*Capacity) {
	byMachine := make(map[*worker.Machine]*Capacity, len(capacities))
	for _, capacity := range capacities {
		byMachine[capacity.Machine] = capacity
	}
	for _, reservation := range s.round.reservations {
		capacity := byMachine[reservation.machine]
		job := reservation.job
		if capacity != nil && job.StartableCount() > 0 && job.TerminalPhase == pipeline.Queued {
			capacity.Allocate(&job.Spec, 1)
			s.commitUsage(job)
		}
	}
}

// scheduleJobs places tasks of the jobs, in their order, until the budget is used
// up. The first job is looked at in any case, so that rounds get on.
func (s *Scheduler) scheduleJobs(jobs []*pipeline.Job, capacities []*Capacity, now event.Time) {
	for i, job := range jobs {
		if i > 0 && s.round.budget.exhausted() {
			s.round.resume = job
			s.counters.interruptedRounds++
			return
		}
		s.place(job, now)
		if job.StartableCount() > 0 {
			left := s.preempt(job, capacities, now)
			s.reserve(job, left, capacities, now)
		}
	}
}

// reserveTask reserves capacity that is not free yet for a task that waits for it.
func (s *Scheduler) reserveTask(job *pipeline.Job, capacity *Capacity, now event.Time) {
	capacity.Allocate(&job.Spec, 1)
	s.commitUsage(job)
	capacity.Machine.Reserve(now)
	s.round.reservations = append(s.round.reservations, reservation{job, capacity.Machine})
}

// commitUsage counts a task's reservation for its team's limit.
func (s *Scheduler) commitUsage(job *pipeline.Job) {
	usage := s.round.committed[job.Team]
	usage.Add(&job.Spec, 1)
	s.round.committed[job.Team] = usage
}
