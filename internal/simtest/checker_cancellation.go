package simtest

import (
	"time"
)

// cancelRequested reports whether the user of a job, or of one that it needs, asked to
// cancel it and was not answered that it is done.
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

// cancelledSince is when the cancellation of a job, or of one that it needs, was
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

// overdue reports whether a cancellation acknowledged then must be complete by now.
func (checker *Checker) overdue(since time.Duration) bool {
	return checker.world.now-since > seconds(checker.world.config.Settings.Workers.CancelS)
}

// checkCancelledStopped checks that no task of a cancelled job runs for longer than it may.
func (checker *Checker) checkCancelledStopped() {
	checker.eachOnMachine(func(assignment *taskAssignment) {
		if since, ok := checker.cancelledSince(assignment.job.id); ok && checker.overdue(since) {
			checker.reportViolation("ran_cancelled: %s on %s", assignment.name, assignment.worker.name)
		}
	})
}

// checkResumed checks the tasks of a machine that resumes: one whose cancellation is
// overdue breaks the rules, however soon it is stopped after that.
func (checker *Checker) checkResumed(worker *fakeWorker) {
	for _, assignment := range worker.sortedAssignments() {
		if !assignment.onMachine() {
			continue
		}
		if since, ok := checker.cancelledSince(assignment.job.id); ok && checker.overdue(since) {
			checker.reportViolation("ran_cancelled: %s goes on on %s", assignment.name, worker.name)
		}
	}
}

// checkCancelledStart counts a start after an acknowledged cancellation, and checks that it
// does not come later than the cancellation may take.
func (checker *Checker) checkCancelledStart(assignment *taskAssignment) {
	since, ok := checker.cancelledSince(assignment.job.id)
	if !ok {
		return
	}
	checker.startsAfterCancellation++
	if checker.overdue(since) {
		checker.reportViolation("ran_cancelled: %s starts", assignment.name)
	}
}
