package pipeline

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"lugward/internal/event"
)

const (
	// retryBase is the backoff after the first failed attempt.
	retryBase = 5 * time.Second
	// retryCap is the maximum backoff. Including the time to start a task, a job whose
	// fault has been fixed starts within 90 s if a machine is free.
	retryCap = 80 * time.Second
	// retryJitter is the maximum fraction of a backoff that is randomly subtracted, so
	// that jobs that failed together are not retried together.
	retryJitter = 0.25
	// avoidTime is how long a job avoids a machine on which one of its tasks failed. It
	// is bounded because that machine may be the only one that fits.
	avoidTime = 10 * time.Second
	// failedMachinesForBackOff is the number of machines on which tasks of a job must
	// have failed, without any success, for the job itself to be at fault.
	failedMachinesForBackOff = 2
	// maxDoublings is a number of doublings after which the backoff has reached
	// retryCap. It bounds the shift for any number of failures.
	maxDoublings = 8
)

// retryState holds the failures of a job and the resulting restrictions on its next attempt.
// failures and notBefore are persisted. The rest is the leader's state and is reset with its
// term.
type retryState struct {
	failures  int        // consecutive failed attempts of a job at fault
	notBefore event.Time // end of the backoff

	failedOn      map[MachineIndex]bool       // machines on which tasks have failed since the last success
	avoid         map[MachineIndex]event.Time // by machine on which a task has failed, the time until which the job avoids it
	probe         *Assignment                 // the single task that retries the job
	unsaved       bool                        // differs from the persisted record
	writeInFlight bool                        // a write of the record is queued or in flight
	nextWrite     event.Time                  // earliest time of the next write
}

// AtFault reports whether the job itself is considered the cause of its failures: its tasks
// have failed on several machines, or repeatedly on the only one, and none has succeeded
// since. Its retries are probes: one task at a time, or all tasks of a gang.
func (j *Job) AtFault() bool { return j.retry.failures > 0 }

// Failures returns the number of consecutive failed attempts of a job at fault.
func (j *Job) Failures() int { return j.retry.failures }

// BackingOff reports whether the backoff after a failed attempt has not elapsed yet.
func (j *Job) BackingOff(now event.Time) bool { return j.retry.notBefore > now }

// AvoidsMachine reports whether the job avoids a machine because one of its tasks failed
// there less than avoidTime ago.
func (j *Job) AvoidsMachine(machine MachineIndex, now event.Time) bool {
	return j.retry.avoid[machine] > now
}

// hasActiveProbe reports whether the job's probe is being started or is running.
func (j *Job) hasActiveProbe() bool {
	probe := j.retry.probe
	return probe != nil && j.Assignment(probe.Task) == probe && probe.pending == NoPendingWrite
}

// StartableCount returns the number of tasks that may be placed given the job's failures:
// all unassigned ones, or a single one while the job is at fault. A gang is always placed as
// a whole.
func (j *Job) StartableCount() int {
	unassigned := j.UnassignedCount()
	switch {
	case !j.AtFault() || j.Shape == Gang:
		return unassigned
	case j.hasActiveProbe():
		return 0
	default:
		return min(unassigned, 1)
	}
}

// RecordFailure records that an attempt of a task exited with an error on a machine that is
// not known to be faulty. It reports whether the job itself is at fault.
func (t *Table) RecordFailure(assignment *Assignment, now event.Time) (atFault bool) {
	job := assignment.Job
	avoided := job.AvoidsMachine(assignment.Machine, now)
	if job.retry.avoid == nil {
		job.retry.avoid = map[MachineIndex]event.Time{}
	}
	job.retry.avoid[assignment.Machine] = now + avoidTime
	switch {
	case job.AtFault():
		// Tasks that ran at the same time as the probe, and the other tasks of a
		// gang, belong to an attempt that has been counted already.
		if job.retry.probe == assignment || (job.Shape == Gang && !job.terminating) {
			t.BackOff(job, now)
		}
	case job.recordFailedMachine(assignment.Machine, avoided):
		t.BackOff(job, now)
	}
	if job.AtFault() {
		// The machines are not the cause. If the job avoided all machines on which
		// it failed, another machine would be provisioned for the probe. So the job
		// only avoids the machine of the last failure.
		job.retry.avoid = map[MachineIndex]event.Time{assignment.Machine: now + avoidTime}
	}
	return job.AtFault()
}

// recordFailedMachine records that a task failed on a machine. avoided means that another
// task of the job failed there less than avoidTime ago. It reports whether the job itself is
// the likely cause: tasks have failed on several machines, or one after the other on the
// only one.
func (j *Job) recordFailedMachine(machine MachineIndex, avoided bool) bool {
	if j.retry.failedOn == nil {
		j.retry.failedOn = map[MachineIndex]bool{}
	}
	// Tasks that fail on a machine at the same time count as one failure. If other
	// tasks of the job are active on other machines, the machine is as likely to be at
	// fault as the job.
	again := j.retry.failedOn[machine] && !avoided && !j.activeElsewhere(machine)
	j.retry.failedOn[machine] = true
	return again || len(j.retry.failedOn) >= failedMachinesForBackOff
}

// activeElsewhere reports whether tasks of the job may be on machines other than the given
// one.
func (j *Job) activeElsewhere(machine MachineIndex) bool {
	for assignment := range j.Assignments() {
		if assignment.Machine != machine {
			return true
		}
	}
	return false
}

// FailedOnlyOn reports whether a machine is the only one on which tasks of the job have
// failed since the last success.
func (j *Job) FailedOnlyOn(machine MachineIndex) bool {
	return len(j.retry.failedOn) == 1 && j.retry.failedOn[machine]
}

// BackOff counts a failed attempt of a job at fault and starts its backoff.
func (t *Table) BackOff(job *Job, now event.Time) {
	job.retry.failures++
	job.retry.probe = nil
	job.retry.notBefore = now + retryBackoff(job.ID, job.retry.failures)
	t.markRetryUnsaved(job)
}

// retryBackoff returns the backoff after a number of consecutive failed attempts. It doubles
// with each failure up to retryCap, minus a random part. The random part is seeded with the
// job's ID and the number of failures, so that every controller computes the same backoff.
func retryBackoff(id string, failures int) time.Duration {
	backoff := retryCap
	if doublings := failures - 1; doublings < maxDoublings {
		backoff = min(retryCap, retryBase<<doublings)
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	random := rand.New(rand.NewPCG(hash.Sum64(), uint64(failures)))
	return backoff - time.Duration(random.Float64()*retryJitter*float64(backoff))
}

// ForgetMachine removes a machine that no longer exists from the failure state of all jobs.
func (t *Table) ForgetMachine(machine MachineIndex) {
	for job := range t.AllJobs() {
		delete(job.retry.avoid, machine)
		delete(job.retry.failedOn, machine)
	}
}

// ClearFailures resets the job's failure state because the job is not at fault: one of its
// tasks has completed or runs without failures, or the machine was faulty.
func (t *Table) ClearFailures(job *Job) {
	clear(job.retry.failedOn)
	if !job.AtFault() {
		return
	}
	job.retry.failures = 0
	job.retry.notBefore = 0
	job.retry.probe = nil
	t.RequestRound()
	t.markRetryUnsaved(job)
}
