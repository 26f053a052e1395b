package scheduler

import (
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// RoundResult is the outcome of a scheduling round.
type RoundResult struct {
	Blocked    []*pipeline.Job // jobs with tasks that could not be placed, in scheduling order
	Capacities []*Capacity     // free capacity of the schedulable machines, less reservations
}

// round is the state of one scheduling round. It is discarded when the round ends.
type round struct {
	*Scheduler
	now        event.Time
	budget     Budget
	queue      []*pipeline.Job // jobs to schedule, in scheduling order
	capacities []*Capacity     // free capacity of the schedulable machines
	// withRoom lists the machines on which a task of at least one job may fit. It is
	// computed once, since free capacity only shrinks during a round.
	withRoom []*Capacity
	// byFirstRelease lists the machines in the order in which capacity becomes free on
	// them. It is nil until it is first needed.
	byFirstRelease        []machineRelease
	lowestRunningPriority pipeline.Priority // lowest effective priority of a job with active tasks
	preemptedUsage        usageByTeam       // resources of the tasks that this round preempts
	reservedUsage         usageByTeam       // resources that this round reserves
}

// usageByTeam is the total resource usage of tasks by index of the team's name.
type usageByTeam map[pipeline.TeamIndex]pipeline.Usage

// add adds the usage of one task of a job.
func (u usageByTeam) add(job *pipeline.Job) {
	usage := u[job.Team]
	usage.Add(&job.Spec, 1)
	u[job.Team] = usage
}

// interruption records where a round exhausted its budget. The next round resumes there
// and keeps the reservations of the jobs before that point. Otherwise less important
// jobs behind them would take that capacity.
type interruption struct {
	next         *pipeline.Job // first job that was not scheduled, nil if the round was completed
	reservations []reservation // reservations of the jobs before it
}

// Round runs one scheduling round within the budget: it places tasks, preempts others
// and reserves capacity. If it exhausts the budget, the next round resumes at the first
// job that was not scheduled.
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

// newRound returns a round with an empty queue.
func (s *Scheduler) newRound(now event.Time, budget Budget) *round {
	return &round{
		Scheduler:      s,
		now:            now,
		budget:         budget,
		capacities:     s.machineCapacities(now),
		preemptedUsage: usageByTeam{},
		reservedUsage:  usageByTeam{},
	}
}

// orderJobs fills the queue with the schedulable jobs in scheduling order.
func (r *round) orderJobs() {
	unfinished := r.jobs.ReadyJobs()
	r.updateQuotaStatus(unfinished)
	r.queue = slices.DeleteFunc(unfinished, func(job *pipeline.Job) bool { return !job.Schedulable(r.now) })
	sortJobs(r.queue, r.now)
}

// resumeInterrupted returns the index in the queue of the job to schedule first. It is
// 0 unless the last round was interrupted before a job that is still in the queue.
func (r *round) resumeInterrupted() (first int) {
	previous := &r.interruption
	first = slices.Index(r.queue, previous.next)
	previous.next = nil
	r.reservationCount = 0
	if first < 0 {
		previous.reservations = previous.reservations[:0]
		return 0
	}
	r.restoreReservations(previous.reservations)
	return first
}

// findMachinesWithRoom lists the machines whose free capacity fits the smallest amount
// of each resource that any queued job requests. In a full cluster these are few, and
// only they are visited to place a task.
func (r *round) findMachinesWithRoom() {
	if len(r.queue) == 0 {
		return
	}
	smallest := pipeline.Spec{CPUs: math.Inf(1), GPUs: math.Inf(1), Memory: math.Inf(1)}
	for _, job := range r.queue {
		smallest.CPUs = min(smallest.CPUs, job.CPUs)
		smallest.GPUs = min(smallest.GPUs, job.GPUs)
		smallest.Memory = min(smallest.Memory, job.Memory)
	}
	for _, capacity := range r.capacities {
		if capacity.FittingTasks(&smallest) > 0 {
			r.withRoom = append(r.withRoom, capacity)
		}
	}
}

// scheduleJobs schedules the queued jobs from index first until the budget is
// exhausted, which is also checked within large jobs. The first step of the job at first
// is made regardless of the budget, so that every round makes progress.
func (r *round) scheduleJobs(first int) {
	for i, job := range r.queue[first:] {
		if i > 0 && r.budget.exhausted() {
			r.interruption.next = job
			r.counters.interruptedRounds++
			return
		}
		if !r.scheduleJob(job) {
			r.interruptWithin(job)
			return
		}
	}
}

// scheduleJob places the tasks of a job that fit, preempts other tasks for the rest, and
// reserves capacity for those that remain. finished is false if the round has exhausted its
// budget within the job, after at least one step.
func (r *round) scheduleJob(job *pipeline.Job) (finished bool) {
	if !r.placeJob(job) {
		return false
	}
	if job.StartableCount() == 0 {
		return true
	}
	remaining, finished := r.preempt(job)
	if finished {
		r.reserve(job, remaining)
	}
	return finished
}

// interruptWithin ends the round within the given job, some of whose tasks have been placed. If
// it is a gang, the next round resumes with it, so that no other job uses its machines. The
// gang's own reservations are dropped, as it makes them again. Otherwise the next round begins
// anew, since placing a large job takes many rounds and more important jobs may arrive meanwhile.
func (r *round) interruptWithin(job *pipeline.Job) {
	if job.Shape == pipeline.Gang {
		r.interruption.next = job
		r.interruption.reservations = slices.DeleteFunc(r.interruption.reservations, func(reservation reservation) bool { return reservation.job == job })
	}
	r.counters.interruptedRounds++
	r.jobs.RequestRound()
}

// blockedJobs lists the queued jobs that still have startable tasks.
func (r *round) blockedJobs() []*pipeline.Job {
	var blocked []*pipeline.Job
	for _, job := range r.queue {
		if job.StartableCount() > 0 {
			blocked = append(blocked, job)
		}
	}
	return blocked
}
