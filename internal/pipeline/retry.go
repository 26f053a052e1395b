package pipeline

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"lugward/internal/event"
)

const (
	// retryBase is the pause after the first failed attempt.
	retryBase = 5 * time.Second
	// retryCap bounds the pause: with the time that a start takes, a job whose
	// fault is mended waits for less than 90 s beside a free machine.
	retryCap = 80 * time.Second
	// retryJitter is the part of a pause that is drawn, so that jobs that failed
	// together are not retried together.
	retryJitter = 0.25
	// avoidTime is how long a job stays away from a machine on which a task of it
	// has failed. It is bounded, since that machine may be the only one that fits.
	avoidTime = 10 * time.Second
	// failuresToBackOff is the number of machines on which the tasks of a job have
	// failed, without one that succeeded, from which on the job itself is at fault.
	failuresToBackOff = 2
	// maxDoublings is the number of doublings from which on the pause has reached
	// retryCap, whatever the count of failures.
	maxDoublings = 8
)

// retryState is what a job's failures so far mean for its next attempt. Failures
// and notBefore are stored; the rest is the leader's and ends with its term.
type retryState struct {
	failures  int // failed attempts in a row of a job that is at fault itself
	notBefore event.Time

	failedOn      map[MachineIndex]bool       // machines on which it has failed since it last succeeded
	avoid         map[MachineIndex]event.Time // by machine where it failed: until when it stays away
	probe         *Assignment                 // the one task that tries again
	unsaved       bool                        // differs from what is stored
	writeInFlight bool                        // a write of it is queued or under way
	nextWrite     event.Time                  // no write before
}

// AtFault reports whether the job itself has failed, on several machines or
// repeatedly on its only one, and not succeeded since. Its retries are probes: one
// task at a time, a gang as a whole.
func (j *Job) AtFault() bool { return j.retry.failures > 0 }

// Failures counts the failed attempts in a row of a job that is at fault.
func (j *Job) Failures() int { return j.retry.failures }

// BackingOff reports whether the pause after a failed attempt goes on.
func (j *Job) BackingOff(now event.Time) bool { return j.retry.notBefore > now }

// AvoidsMachine reports whether the job stays away from a machine because a task of it
// failed there less than avoidTime before.
func (j *Job) AvoidsMachine(machine MachineIndex, now event.Time) bool {
	return j.retry.avoid[machine] > now
}

// probing reports whether the task that tries again is being started or running.
func (j *Job) probing() bool {
	probe := j.retry.probe
	return probe != nil && j.Assignment(probe.Task) == probe && probe.pending == NoPendingWrite
}

// StartableCount counts the tasks that the job's failures allow to be placed: all
// unplaced ones, or a single one while the job is at fault. A gang is always placed as
// a whole.
func (j *Job) StartableCount() int {
	unplaced := j.UnplacedCount()
	switch {
	case !j.AtFault() || j.Shape == Gang:
		return unplaced
	case j.probing():
		return 0
	default:
		return min(unplaced, 1)
	}
}

// RecordFailure records that a task of the job ended with an error, on a machine
// that is not known to be faulty. It reports whether the job is at fault itself.
func (t *Table) RecordFailure(assignment *Assignment, now event.Time) (atFault bool) {
	job := assignment.Job
	avoided := job.AvoidsMachine(assignment.Machine, now)
	if job.retry.avoid == nil {
		job.retry.avoid = map[MachineIndex]event.Time{}
	}
	job.retry.avoid[assignment.Machine] = now + avoidTime
	switch {
	case job.AtFault():
		// Tasks that ran beside the probe, and the rest of a gang, belong to an
		// attempt that was counted already.
		if job.retry.probe == assignment || (job.Shape == Gang && !job.terminating) {
			t.BackOff(job, now)
		}
	case job.failsEverywhere(assignment.Machine, avoided):
		t.BackOff(job, now)
	}
	if job.AtFault() {
		// The machines are not to blame, and a probe that found all of them
		// avoided would have another one provisioned: it only goes elsewhere
		// than the last one did.
		job.retry.avoid = map[MachineIndex]event.Time{assignment.Machine: now + avoidTime}
	}
	return job.AtFault()
}

// failsEverywhere records that a task failed on a machine; avoided means that
// another one failed there less than avoidTime before. It reports whether the job
// itself is the likely cause: tasks have failed on several machines, or one after
// the other on the only one.
func (j *Job) failsEverywhere(machine MachineIndex, avoided bool) bool {
	if j.retry.failedOn == nil {
		j.retry.failedOn = map[MachineIndex]bool{}
	}
	// Tasks that fail together prove no more than one of them; where others of the
	// job run elsewhere, the machine is as likely to be at fault.
	again := j.retry.failedOn[machine] && !avoided && !j.activeElsewhere(machine)
	j.retry.failedOn[machine] = true
	return again || len(j.retry.failedOn) >= failuresToBackOff
}

// activeElsewhere reports whether tasks of the job may be on other machines.
func (j *Job) activeElsewhere(machine MachineIndex) bool {
	for assignment := range j.Assignments() {
		if assignment.Machine != machine {
			return true
		}
	}
	return false
}

// FailedOnlyOn reports whether a machine is the only one on which tasks of the job
// have failed since one succeeded.
func (j *Job) FailedOnlyOn(machine MachineIndex) bool {
	return len(j.retry.failedOn) == 1 && j.retry.failedOn[machine]
}

// BackOff counts a failed attempt of a job that is at fault and pauses it.
func (t *Table) BackOff(job *Job, now event.Time) {
	job.retry.failures++
	job.retry.probe = nil
	job.retry.notBefore = now + retryPause(job.ID, job.retry.failures)
	t.noteRetryChanged(job)
}

// retryPause is the pause after so many failed attempts in a row: it doubles up to
// a cap, less a part that is drawn from the job's ID and the count, so that every
// controller draws the same.
func retryPause(id string, failures int) time.Duration {
	pause := retryCap
	if doublings := failures - 1; doublings < maxDoublings {
		pause = min(retryCap, retryBase<<doublings)
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	random := rand.New(rand.NewPCG(hash.Sum64(), uint64(failures)))
	return pause - time.Duration(random.Float64()*retryJitter*float64(pause))
}

// ForgetMachine discards what jobs remember of a machine that is gone.
func (t *Table) ForgetMachine(machine MachineIndex) {
	for job := range t.AllJobs() {
		delete(job.retry.avoid, machine)
		delete(job.retry.failedOn, machine)
	}
}

// ClearFailures records that what failed before was not the job's fault: a task of
// it works, or the machine was faulty.
func (t *Table) ClearFailures(job *Job) {
	clear(job.retry.failedOn)
	if !job.AtFault() {
		return
	}
	job.retry.failures = 0
	job.retry.notBefore = 0
	job.retry.probe = nil
	t.RequestRound()
	t.noteRetryChanged(job)
}
