package simtest

import (
	"time"
)

// cancelRequested reports whether the cancellation of a job was requested, or that of an
// upstream job which is not acknowledged as done.
func (checker *Checker) cancelRequested(id string) bool {
	if checker.cancelRequests[id] {
		return true
	}
	for _, upstream := range checker.world.allUpstream(id) {
		if checker.cancelRequests[upstream] && checker.acknowledgedPhase[upstream] != jobDone {
			return true
		}
	}
	return false
}

// cancelledSince returns when the cancellation of a job or of one of its upstream jobs was
// first acknowledged.
func (checker *Checker) cancelledSince(id string) (time.Duration, bool) {
	since, ok := checker.cancelAcknowledgedAt[id]
	for _, upstream := range checker.world.allUpstream(id) {
		if at, acknowledged := checker.cancelAcknowledgedAt[upstream]; acknowledged && (!ok || at < since) {
			since, ok = at, true
		}
	}
	return since, ok
}

// cancellationOverdue reports whether a cancellation acknowledged at since must be complete by now.
func (checker *Checker) cancellationOverdue(since time.Duration) bool {
	return checker.world.now-since > seconds(checker.world.config.Settings.Workers.CancelS)
}

// checkCancelledStopped checks that no task of a cancelled job runs beyond the time that a
// cancellation may take.
func (checker *Checker) checkCancelledStopped() {
	checker.forEachExecuting(func(assignment *taskAssignment) {
		if since, ok := checker.cancelledSince(assignment.job.id); ok && checker.cancellationOverdue(since) {
			checker.reportViolation("cancelled task not stopped in time: task %s executes on %s %s after the acknowledged cancellation, want at most %vs",
				assignment.name, assignment.worker.name, checker.world.now-since, checker.world.config.Settings.Workers.CancelS)
		}
	})
}

// checkResumedMachine checks the tasks of a machine that resumes after a hang. A task whose
// cancellation is overdue is a violation, even if it is stopped right afterwards.
func (checker *Checker) checkResumedMachine(worker *fakeWorker) {
	for _, assignment := range worker.sortedAssignments() {
		if !assignment.isExecuting() {
			continue
		}
		if since, ok := checker.cancelledSince(assignment.job.id); ok && checker.cancellationOverdue(since) {
			checker.reportViolation("cancelled task not stopped in time: task %s resumes on %s %s after the acknowledged cancellation, want at most %vs",
				assignment.name, worker.name, checker.world.now-since, checker.world.config.Settings.Workers.CancelS)
		}
	}
}

// checkCancelledStart counts a start after an acknowledged cancellation, and checks that it
// happens within the time that the cancellation may take and by a command that was given before
// the acknowledgement.
func (checker *Checker) checkCancelledStart(assignment *taskAssignment) {
	since, ok := checker.cancelledSince(assignment.job.id)
	if !ok {
		return
	}
	checker.startsAfterCancellation++
	if checker.cancellationOverdue(since) {
		checker.reportViolation("cancelled task started too late: task %s starts %s after the acknowledged cancellation, want at most %vs",
			assignment.name, checker.world.now-since, checker.world.config.Settings.Workers.CancelS)
	}
	if given, ok := checker.startGivenAt[attemptKey{assignment.name, assignment.attempt}]; !ok || given >= since {
		checker.reportViolation("cancelled task started by a later command: task %s attempt %d starts on %s, no command to start it was given before the acknowledged cancellation",
			assignment.name, assignment.attempt, assignment.worker.name)
	}
}
