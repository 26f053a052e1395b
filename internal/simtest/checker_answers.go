package simtest

import (
	"net/http"
	"time"
)

// checkAnswer checks the answer to a user's request that was sent at that time: a
// request that was in flight when another was answered may show an older state.
func (checker *Checker) checkAnswer(asked time.Duration, id string, status int, phase string) {
	known := checker.acknowledgedPhase[id] != ""
	older := known && asked < checker.acknowledgedAt[id]
	switch {
	case isAccepted(status):
		checker.checkPhase(id, status, phase, older)
	case known && !older && (status == http.StatusNotFound || status == http.StatusBadRequest || status == http.StatusUnprocessableEntity):
		checker.reportViolation("forgotten: %s answered %d", id, status)
	}
}

// checkPhase checks an answer with a job's phase; older tells that the request was sent
// before the last phase was answered.
func (checker *Checker) checkPhase(id string, status int, phase string, older bool) {
	job := checker.world.jobs[id]
	if job == nil || !job.submitted {
		checker.reportViolation("invented: %s answered %q", id, phase)
		return
	}
	if job.expectedRefusal != 0 {
		checker.reportViolation("accepted: %s answered %d, to be refused with %d", id, status, job.expectedRefusal)
	}
	last := checker.acknowledgedPhase[id]
	if older && isFinal(last) && !isFinal(phase) {
		return
	}
	if isFinal(last) && phase != last {
		checker.reportViolation("went_back: %s was %s, is %s", id, last, phase)
	}
	if phase == jobCancelled && !checker.cancelRequested(id) {
		checker.reportViolation("went_back: %s cancelled by nobody", id)
	}
	if phase == jobDone && len(job.completed) < job.taskCount {
		checker.reportViolation("not_done: %s has %d of %d tasks", id, len(job.completed), job.taskCount)
	}
	checker.checkUpstreamAnswer(id, status, phase)
	checker.acknowledge(id, phase)
}

// acknowledge notes the phase that a user was answered.
func (checker *Checker) acknowledge(id, phase string) {
	if checker.acknowledgedPhase[id] != phase {
		checker.acknowledgedAt[id] = checker.world.now
		if phase == jobCancelled {
			checker.cancelAcknowledgedAt[id] = checker.world.now
		}
	}
	checker.acknowledgedPhase[id] = phase
}

// isFinal reports whether a job that is in this phase stays in it.
func isFinal(phase string) bool { return phase == jobDone || phase == jobCancelled }

// maxUnanswered is how long a job may go without an answer once all faults
// are over, however others fare.
const maxUnanswered = 75 * time.Second

// checkPoll notes whether a request about an accepted job was answered.
func (checker *Checker) checkPoll(id string, status int) {
	if _, ok := checker.answeredAt[id]; status == http.StatusOK || !ok {
		checker.answeredAt[id] = checker.world.now
	}
	if checker.acknowledgedPhase[id] == "" || checker.cancelRequested(id) || checker.faultsOverAt == 0 {
		return
	}
	if since := max(checker.answeredAt[id], checker.faultsOverAt); checker.world.now-since > maxUnanswered {
		checker.reportViolation("forgotten: %s without an answer for %s", id, checker.world.now-since)
	}
}

// isOver reports whether the last answer showed a job as done or cancelled.
func (checker *Checker) isOver(id string) bool { return isFinal(checker.acknowledgedPhase[id]) }

// checkRefusal checks the status of an invalid request: the expected one, or an
// undecided one where the controller cannot decide yet.
func (checker *Checker) checkRefusal(id string, want, status int) {
	undecided := status == 0 || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusGatewayTimeout
	mustDecide := want == http.StatusBadRequest && status == http.StatusServiceUnavailable
	if status != want && (!undecided || mustDecide) {
		checker.reportViolation("refused wrongly: %s answered %d for %d", id, status, want)
	}
}
