package worker

import (
	"iter"
	"log/slog"
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

// failureDetector tells from failed tasks whether machines or jobs are at fault: the
// job is if it also fails elsewhere, the machine if several jobs fail there that work
// elsewhere. Until one of these is proven, the job tries another machine at once and
// the machine is used as before.
type failureDetector struct {
	jobs      *pipeline.Table
	machineAt func(index pipeline.MachineIndex) *Machine // nil: there is none
	log       *slog.Logger
	suspects  map[pipeline.MachineIndex]bool // machines with failed jobs
	scannedAt event.Time
}

// reset drops what only a leader knows.
func (d *failureDetector) reset() { clear(d.suspects) }

// taskFailed takes in a task that ended with an error.
func (d *failureDetector) taskFailed(machine *Machine, assignment *pipeline.Assignment, now event.Time) {
	job := assignment.Job
	d.log.Info("task failed", "job", job.ID, "machine", machine.Name)
	if machine.failedJobs == nil {
		machine.failedJobs = map[string]event.Time{}
	}
	if len(machine.failedJobs) == 0 {
		machine.failingSince = now
	}
	machine.failedJobs[job.ID] = runTime(assignment, now)
	d.suspects[machine.Index] = true
	failures := job.Failures()
	d.jobs.RecordFailure(assignment, now)
	if job.Failures() > failures {
		d.log.Info("job backing off", "job", job.ID, "failures", job.Failures())
	}
}

// taskSucceeded takes in a task that completed: neither the machine nor the job
// is at fault.
func (d *failureDetector) taskSucceeded(machine *Machine, job *pipeline.Job) {
	clear(machine.failedJobs)
	delete(d.suspects, machine.Index)
	d.jobs.ClearFailures(job)
}

// runTime is for how long a task has been seen running.
func runTime(assignment *pipeline.Assignment, now event.Time) event.Time {
	if assignment.StartedAt() == 0 {
		return 0
	}
	return now - assignment.StartedAt()
}

// runsFor reports whether a task is running and has been for a time.
func runsFor(assignment *pipeline.Assignment, needed, now event.Time) bool {
	return assignment.Phase() == pipeline.TaskRunning && runTime(assignment, now) >= needed
}

// machinesAtFault iterates over the machines that are found to be at fault. It looks at
// those on which tasks have failed, once in failureScanInterval; without any it costs
// nothing.
func (d *failureDetector) machinesAtFault(now event.Time) iter.Seq[*Machine] {
	return func(yield func(*Machine) bool) {
		if now-d.scannedAt < failureScanInterval {
			return
		}
		d.scannedAt = now
		for _, index := range slices.Sorted(maps.Keys(d.suspects)) {
			machine := d.machineAt(index)
			if machine == nil || machine.quarantined {
				delete(d.suspects, index)
				continue
			}
			if d.atFault(machine, now) && !yield(machine) {
				return
			}
		}
	}
}

// atFault reports whether enough jobs have failed on a machine to blame it.
func (d *failureDetector) atFault(machine *Machine, now event.Time) bool {
	return d.provenFailures(machine, now) >= minFailedJobs || d.unprovenFailures(machine, now) >= minUnprovenJobs
}

// provenFailures counts the jobs that failed on a machine though they work
// elsewhere.
func (d *failureDetector) provenFailures(machine *Machine, now event.Time) (count int) {
	for id, ran := range machine.failedJobs {
		job := d.jobs.Job(id)
		if job != nil && !job.AtFault() && d.worksElsewhere(job, machine, ran, now) {
			count++
		}
	}
	return count
}

// unprovenFailures counts the jobs that failed on a machine and nowhere else, once
// the first failure is long enough ago.
func (d *failureDetector) unprovenFailures(machine *Machine, now event.Time) (count int) {
	if now-machine.failingSince < unprovenTime {
		return 0
	}
	for id := range machine.failedJobs {
		if job := d.jobs.Job(id); job != nil && job.FailedOnlyOn(machine.Index) {
			count++
		}
	}
	return count
}

// worksElsewhere reports whether tasks of a job have completed, or have been running
// on other machines for longer than one ran on this machine before it failed.
func (d *failureDetector) worksElsewhere(job *pipeline.Job, machine *Machine, ran, now event.Time) bool {
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

// clearFailures forgets the failures of jobs that failed on a machine at fault and
// nowhere else.
func (d *failureDetector) clearFailures(machine *Machine) {
	for _, id := range slices.Sorted(maps.Keys(machine.failedJobs)) {
		if job := d.jobs.Job(id); job != nil && job.FailedOnlyOn(machine.Index) {
			d.jobs.ClearFailures(job)
		}
	}
}

// checkService ends the probing of a service whose replica goes on running.
func (d *failureDetector) checkService(job *pipeline.Job, now event.Time) {
	if !job.AtFault() || job.Shape != pipeline.Daemon {
		return
	}
	works := false
	for assignment := range job.Assignments() {
		works = works || runsFor(assignment, serviceWorkingTime, now)
	}
	if works {
		d.jobs.ClearFailures(job)
	}
}
