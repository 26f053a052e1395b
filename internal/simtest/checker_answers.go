package simtest

import (
	"net/http"
	"time"
)

// checkAnswer checks the answer to a user's request that was sent at sentAt. A request
// that was in flight while another one was answered may return an older state.
func (checker *Checker) checkAnswer(sentAt time.Duration, id string, status int, phase string) {
	known := checker.acknowledgedPhase[id] != ""
	older := known && sentAt < checker.acknowledgedAt[id]
	switch {
	case isAccepted(status):
		checker.checkPhase(id, status, phase, older)
	case known && !older && (status == http.StatusNotFound || status == http.StatusBadRequest || status == http.StatusUnprocessableEntity):
		checker.reportViolation("accepted job unknown or refused: request for job %s got status %d, last acknowledged phase is %s", id, status, checker.acknowledgedPhase[id])
	}
}

// checkPhase checks an answer that contains a job's phase. older is set if the request was
// sent before the last acknowledged phase was returned.
func (checker *Checker) checkPhase(id string, status int, phase string, older bool) {
	job := checker.world.jobs[id]
	if job == nil || !job.submitted {
		checker.reportViolation("answer for a job that was never submitted: request for job %s got status %d, phase %q, want a refusal", id, status, phase)
		return
	}
	if job.expectedRefusal != 0 {
		checker.reportViolation("invalid job accepted: request for job %s got status %d, want %d", id, status, job.expectedRefusal)
	}
	last := checker.acknowledgedPhase[id]
	if older && isTerminal(last) && !isTerminal(phase) {
		return
	}
	if isTerminal(last) && phase != last {
		checker.reportViolation("terminal phase changed: job %s was reported as %s before, now as %s", id, last, phase)
	}
	if phase == jobCancelled && !checker.cancelRequested(id) {
		checker.reportViolation("job cancelled without request: job %s was reported as cancelled, no cancellation of it or of an upstream job was requested", id)
	}
	if phase == jobDone && len(job.completed) < job.taskCount {
		checker.reportViolation("job done before its tasks: job %s was reported as done, %d of %d tasks have completed", id, len(job.completed), job.taskCount)
	}
	checker.checkUpstreamAnswer(id, status, phase)
	checker.acknowledge(id, phase)
}

// acknowledge records the phase in an answer to a user.
func (checker *Checker) acknowledge(id, phase string) {
	if checker.acknowledgedPhase[id] != phase {
		checker.acknowledgedAt[id] = checker.world.now
		if phase == jobCancelled {
			checker.cancelAcknowledgedAt[id] = checker.world.now
		}
	}
	checker.acknowledgedPhase[id] = phase
}

// isTerminal reports whether a phase is terminal.
func isTerminal(phase string) bool { return phase == jobDone || phase == jobCancelled }

// maxUnanswered is how long polls of an accepted job may stay unanswered once all
// faults are over. It holds for each job, whatever the load from other jobs.
const maxUnanswered = 75 * time.Second

// checkPoll records whether a poll was answered, and checks how long polls of an
// accepted job have been without an answer.
func (checker *Checker) checkPoll(id string, status int) {
	if _, ok := checker.pollAnsweredAt[id]; status == http.StatusOK || !ok {
		checker.pollAnsweredAt[id] = checker.world.now
	}
	if checker.acknowledgedPhase[id] == "" || checker.cancelRequested(id) || checker.faultsOverAt == 0 {
		return
	}
	if since := max(checker.pollAnsweredAt[id], checker.faultsOverAt); checker.world.now-since > maxUnanswered {
		checker.reportViolation("job not answered in time: polls of job %s without an answer for %s, want at most %s", id, checker.world.now-since, maxUnanswered)
	}
}

// hasEnded reports whether the last acknowledged phase of a job is terminal.
func (checker *Checker) hasEnded(id string) bool { return isTerminal(checker.acknowledgedPhase[id]) }

// checkRefusal checks the answer to an invalid request. It must have the expected status,
// or the status of an undecided request while the controller cannot decide. A malformed
// request (400) can always be decided, so 503 is no valid answer to it.
func (checker *Checker) checkRefusal(id string, want, status int) {
	undecided := status == 0 || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusGatewayTimeout
	mustDecide := want == http.StatusBadRequest && status == http.StatusServiceUnavailable
	if status != want && (!undecided || mustDecide) {
		checker.reportViolation("wrong status of refusal: request for job %s got status %d, want %d", id, status, want)
	}
}
