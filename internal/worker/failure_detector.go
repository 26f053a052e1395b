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
	// minJobsWorkingElsewhere is the number of different jobs that must fail on a
	// machine and work on other machines before the machine is considered at fault. With
	// a single job, chance or a fault of the job is as likely a cause.
	minJobsWorkingElsewhere = 2
	// minJobsFailedOnlyHere and minFailingTime apply if no other machine has free
	// capacity. The failed jobs then cannot be seen to work on another machine, and the
	// machine at fault, which is always empty, attracts all of them. A machine is
	// therefore also considered at fault if minJobsFailedOnlyHere jobs have failed on
	// this machine only and no task has completed there for minFailingTime since the
	// first of these failures.
	minJobsFailedOnlyHere = 3
	minFailingTime        = 15 * time.Second
	// minHealthyRuntime and healthyRuntimeFactor determine when a job that failed on one
	// machine works on another: a task must run there for minHealthyRuntime, and for
	// healthyRuntimeFactor times as long as a task ran on the first machine before it
	// failed.
	minHealthyRuntime    = 15 * time.Second
	healthyRuntimeFactor = 2
	// daemonHealthyRuntime is how long a task of a daemon must run until the daemon is no
	// longer considered at fault. A completion cannot show this, because the task runs
	// until the daemon is cancelled.
	daemonHealthyRuntime = time.Minute
	// failureScanInterval is the minimum time between two scans of the machines with
	// failed jobs.
	failureScanInterval = time.Second
)

// failureDetector determines from failed tasks whether machines or jobs are at fault. A job
// is at fault if it fails on several machines. A machine is at fault if several jobs fail
// there that work on other machines. Until either is proven, the job is retried immediately
// on another machine and the machine remains in use.
type failureDetector struct {
	jobs      *pipeline.Table
	machineAt func(index pipeline.MachineIndex) *Machine // returns nil for an unknown machine
	log       *slog.Logger
	suspects  map[pipeline.MachineIndex]bool // machines with failed jobs
	scannedAt event.Time                     // when the suspects were last scanned
}

// reset clears the state that only a leader maintains.
func (d *failureDetector) reset() { clear(d.suspects) }

// handleTaskFailure handles the failure of a task.
func (d *failureDetector) handleTaskFailure(machine *Machine, assignment *pipeline.Assignment, now event.Time) {
	job := assignment.Job
	d.log.Info("task failed", "job", job.ID, "task", assignment.Task, "machine", machine.Name)
	if machine.failedJobs == nil {
		machine.failedJobs = map[string]event.Time{}
	}
	if len(machine.failedJobs) == 0 {
		machine.failingSince = now
	}
	machine.failedJobs[job.ID] = runningTime(assignment, now)
	d.suspects[machine.Index] = true
	failures := job.Failures()
	d.jobs.RecordFailure(assignment, now)
	if job.Failures() > failures {
		d.log.Info("job failed repeatedly, backing off before the next attempt", "job", job.ID, "failures", job.Failures())
	}
}

// handleTaskSuccess handles the completion of a task, which shows that neither the machine
// nor the job is at fault.
func (d *failureDetector) handleTaskSuccess(machine *Machine, job *pipeline.Job) {
	clear(machine.failedJobs)
	delete(d.suspects, machine.Index)
	d.jobs.ClearFailures(job)
}

// runningTime returns the time since the task of an assignment was first seen on its
// machine, or zero if it was not seen yet.
func runningTime(assignment *pipeline.Assignment, now event.Time) event.Time {
	if assignment.StartedAt() == 0 {
		return 0
	}
	return now - assignment.StartedAt()
}

// hasRunFor reports whether the task of an assignment is running and has been seen on its
// machine for at least the needed time.
func hasRunFor(assignment *pipeline.Assignment, needed, now event.Time) bool {
	return assignment.Phase() == pipeline.TaskRunning && runningTime(assignment, now) >= needed
}

// machinesAtFault iterates over the machines that are at fault. At most once per
// failureScanInterval, it scans the machines on which tasks have failed.
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

// atFault reports whether enough jobs have failed on a machine to consider it at fault.
func (d *failureDetector) atFault(machine *Machine, now event.Time) bool {
	return d.countWorkingElsewhere(machine, now) >= minJobsWorkingElsewhere || d.countFailedOnlyHere(machine, now) >= minJobsFailedOnlyHere
}

// countWorkingElsewhere counts the jobs that have failed on a machine but work on other
// machines.
func (d *failureDetector) countWorkingElsewhere(machine *Machine, now event.Time) (count int) {
	for id, failedAfter := range machine.failedJobs {
		job := d.jobs.Job(id)
		if job != nil && !job.AtFault() && d.worksElsewhere(job, machine, failedAfter, now) {
			count++
		}
	}
	return count
}

// countFailedOnlyHere counts the jobs that have failed on this machine only. It returns zero
// until minFailingTime has passed since the first failure.
func (d *failureDetector) countFailedOnlyHere(machine *Machine, now event.Time) (count int) {
	if now-machine.failingSince < minFailingTime {
		return 0
	}
	for id := range machine.failedJobs {
		if job := d.jobs.Job(id); job != nil && job.FailedOnlyOn(machine.Index) {
			count++
		}
	}
	return count
}

// worksElsewhere reports whether a task of a job has completed or has been running on
// another machine for long enough. failedAfter is how long a task of the job ran on this
// machine before it failed.
func (d *failureDetector) worksElsewhere(job *pipeline.Job, machine *Machine, failedAfter, now event.Time) bool {
	if job.DoneCount() > 0 {
		return true
	}
	needed := max(minHealthyRuntime, healthyRuntimeFactor*failedAfter)
	works := false
	for assignment := range job.Assignments() {
		works = works || (assignment.Machine != machine.Index && hasRunFor(assignment, needed, now))
	}
	return works
}

// clearFailures clears the failures of the jobs that have failed only on a machine that is
// at fault.
func (d *failureDetector) clearFailures(machine *Machine) {
	for _, id := range slices.Sorted(maps.Keys(machine.failedJobs)) {
		if job := d.jobs.Job(id); job != nil && job.FailedOnlyOn(machine.Index) {
			d.jobs.ClearFailures(job)
		}
	}
}

// clearRecoveredDaemon clears the failures of a daemon at fault once one of its tasks
// has run for daemonHealthyRuntime.
func (d *failureDetector) clearRecoveredDaemon(job *pipeline.Job, now event.Time) {
	if !job.AtFault() || job.Shape != pipeline.Daemon {
		return
	}
	works := false
	for assignment := range job.Assignments() {
		works = works || hasRunFor(assignment, daemonHealthyRuntime, now)
	}
	if works {
		d.jobs.ClearFailures(job)
	}
}
