package worker

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// So many different jobs that fail on a machine and work elsewhere show that the
	// machine is at fault: with one, chance or the job's own fault is as likely.
	minFailedJobs = 2
	// Where nothing else is free the jobs that failed there can't show that they
	// work elsewhere, and a machine at fault, always empty, draws all of them. So many
	// that failed nowhere else, for so long without a task that completed, show that
	// the machine is at fault as well.
	minUnprovenJobs = 3
	unprovenTime    = 15 * time.Second
	// A task that runs on another machine for this long, and for so many times as
	// long as it ran on the one where it failed, works there.
	minWorkingTime    = 15 * time.Second
	workingTimeFactor = 2
	// A replica runs until its service is cancelled: after this long the service is
	// no more at fault.
	serviceWorkingTime  = time.Minute
	failureScanInterval = time.Second
)

// taskFailed takes in a task that ended with an error. Either the machine or the job
// is at fault: the job is if it also fails elsewhere, the machine if several jobs fail
// there that work elsewhere. Until one of these is proven, the job tries another
// machine at once and the machine is used as before.
func (r *Registry) taskFailed(machine *Machine, assignment *pipeline.Assignment, now event.Time) {
	job := assignment.Job
	r.log.Info("task failed", "job", job.ID, "machine", machine.Name)
	if machine.failedJobs == nil {
		machine.failedJobs = map[string]event.Time{}
	}
	if len(machine.failedJobs) == 0 {
		machine.failingSince = now
	}
	machine.failedJobs[job.ID] = runTime(assignment, now)
	r.suspects[machine.Index] = true
	failures := job.Failures()
	r.jobs.RecordFailure(assignment, now)
	if job.Failures() > failures {
		r.log.Info("job backing off", "job", job.ID, "failures", job.Failures())
	}
}

// taskSucceeded takes in a task that completed: neither the machine nor the job
// is at fault.
func (r *Registry) taskSucceeded(machine *Machine, job *pipeline.Job) {
	clear(machine.failedJobs)
	delete(r.suspects, machine.Index)
	r.jobs.ClearFailures(job)
}

// runTime is for how long a task has been seen running.
func runTime(assignment *pipeline.Assignment, now event.Time) event.Time {
	if assignment.StartedAt() == 0 {
		return 0
	}
	return now - assignment.StartedAt()
}

// runsFor tells whether a task is running and has been for a time.
func runsFor(assignment *pipeline.Assignment, needed, now event.Time) bool {
	return assignment.Phase() == pipeline.TaskRunning && runTime(assignment, now) >= needed
}

// scanFailures looks at the machines on which tasks have failed. Without any it
// costs nothing.
func (r *Registry) scanFailures(now event.Time) {
	if now-r.failureScanAt < failureScanInterval {
		return
	}
	r.failureScanAt = now
	for _, index := range slices.Sorted(maps.Keys(r.suspects)) {
		machine := r.MachineAt(index)
		if machine == nil || machine.quarantined {
			delete(r.suspects, index)
			continue
		}
		proven := r.provenFailures(machine, now) >= minFailedJobs
		if proven || r.unprovenFailures(machine, now) >= minUnprovenJobs {
			r.quarantine(machine)
		}
	}
}

// provenFailures counts the jobs that failed on a machine though they work
// elsewhere.
func (r *Registry) provenFailures(machine *Machine, now event.Time) (count int) {
	for id, ran := range machine.failedJobs {
		job := r.jobs.Job(id)
		if job != nil && !job.AtFault() && r.worksElsewhere(job, machine, ran, now) {
			count++
		}
	}
	return count
}

// unprovenFailures counts the jobs that failed on a machine and nowhere else, once
// the first failure is long enough ago.
func (r *Registry) unprovenFailures(machine *Machine, now event.Time) (count int) {
	if now-machine.failingSince < unprovenTime {
		return 0
	}
	for id := range machine.failedJobs {
		if job := r.jobs.Job(id); job != nil && job.FailedOnlyOn(machine.Index) {
			count++
		}
	}
	return count
}

// worksElsewhere tells whether tasks of a job have completed, or have been running
// on other machines for longer than one ran on this machine before it failed.
func (r *Registry) worksElsewhere(job *pipeline.Job, machine *Machine, ran, now event.Time) bool {
	if job.DoneCount() > 0 {
		return true
	}
	needed := max(minWorkingTime, workingTimeFactor*ran)
	works := false
	for assignment := range job.Assignments() {
		works = works || (assignment.Machine != machine.Index && runsFor(assignment, needed, now))
	}
	return works
}

// quarantine takes a machine at fault out of use: what runs there is evicted, and the
// machine is released when it is empty.
func (r *Registry) quarantine(machine *Machine) {
	r.log.Info("machine quarantined", "machine", machine.Name, "failed_jobs", len(machine.failedJobs))
	machine.quarantined = true
	machine.draining = true
	for _, id := range slices.Sorted(maps.Keys(machine.failedJobs)) {
		if job := r.jobs.Job(id); job != nil && job.FailedOnlyOn(machine.Index) {
			r.jobs.ClearFailures(job)
		}
	}
	for _, assignment := range r.sortedAssignments(machine) {
		r.Evict(assignment, GracePeriod(assignment.Job))
	}
}

// checkService ends the probing of a service whose replica goes on running.
func (r *Registry) checkService(job *pipeline.Job, now event.Time) {
	if !job.AtFault() || job.Shape != pipeline.Daemon {
		return
	}
	works := false
	for assignment := range job.Assignments() {
		works = works || runsFor(assignment, serviceWorkingTime, now)
	}
	if works {
		r.jobs.ClearFailures(job)
	}
}
