package simtest

import (
	"fmt"
	"net/http"
	"time"
)

// retryRequest sends a user's request in the background. It retries every second until
// handle returns true for an answer or userRetry has passed.
func (users *fakeUsers) retryRequest(request httpRequest, handle func(sentAt time.Duration, status int, phase string) bool) {
	end := users.world.now + userRetry
	var attempt func()
	attempt = func() {
		sentAt := users.world.now
		users.world.network.request(users.chooseEntryController(), request, func(status int, body []byte) {
			if !handle(sentAt, status, phaseIn(body)) && users.world.now < end {
				users.world.schedule(time.Second, attempt)
			}
		})
	}
	attempt()
}

// cancelInBackground cancels a job without waiting for the answer.
func (users *fakeUsers) cancelInBackground(id string) {
	users.world.checker.cancelRequests[id] = true
	users.retryRequest(cancelRequest(id), func(sentAt time.Duration, status int, phase string) bool {
		users.world.checker.checkAnswer(sentAt, id, status, phase)
		return status == http.StatusOK || status == http.StatusNotFound
	})
}

// pollInBackground requests a job's state without waiting for the answer.
func (users *fakeUsers) pollInBackground(id string) {
	users.retryRequest(pollRequest(id), func(sentAt time.Duration, status int, phase string) bool {
		users.world.checker.checkAnswer(sentAt, id, status, phase)
		return true
	})
}

// resubmitInBackground submits an accepted job again and checks that no second job is
// created for it.
func (users *fakeUsers) resubmitInBackground(id string) {
	job := users.world.jobs[id]
	if job.body == nil || users.world.checker.acknowledgedPhase[id] == "" {
		return
	}
	users.retryRequest(submitRequest(job.body), func(sentAt time.Duration, status int, phase string) bool {
		if status == http.StatusCreated {
			users.world.checker.reportViolation("job created twice: resubmission of job %s got status %d, want %d as its last acknowledged phase is %s",
				id, status, http.StatusOK, users.world.checker.acknowledgedPhase[id])
		}
		users.world.checker.checkAnswer(sentAt, id, status, phase)
		return status == http.StatusOK
	})
}

// noAnswerYet is the recorded answer to a request that is still pending.
const noAnswerYet = "none yet"

// requestRecorded sends a request in the background, with retries, and records its last
// answer in recordedAnswers.
func (users *fakeUsers) requestRecorded(id, key string, request httpRequest) {
	users.recordedAnswers[key] = noAnswerYet
	end := users.world.now + userRetry
	users.retryRequest(request, func(sentAt time.Duration, status int, phase string) bool {
		users.world.checker.checkAnswer(sentAt, id, status, phase)
		users.recordFirstAnswer(id)
		if isDecided(status) {
			users.recordedAnswers[key] = fmt.Sprintf("%d %s", status, phase)
			return true
		}
		if users.world.now >= end {
			users.recordedAnswers[key] = fmt.Sprintf("%d gave up", status)
		}
		return false
	})
}

// submitRecorded submits a job in the background and records the answer.
func (users *fakeUsers) submitRecorded(arguments Arguments) {
	body := users.registerJob(arguments)
	users.world.jobs[arguments["id"]].submitted = true
	users.requestRecorded(arguments["id"], "submit "+arguments["id"], submitRequest(body))
}

// cancelRecorded cancels a job in the background and records the answer.
func (users *fakeUsers) cancelRecorded(id string) {
	users.world.checker.cancelRequests[id] = true
	users.requestRecorded(id, "cancel "+id, cancelRequest(id))
}

// waitForRecordedAnswers runs the world until no recorded request is pending. It returns
// false if requests are still pending after the given time.
func (users *fakeUsers) waitForRecordedAnswers(within time.Duration) bool {
	for end := users.world.now + within; users.world.now < end; users.world.Run(100 * time.Millisecond) {
		pending := false
		for _, answer := range users.recordedAnswers {
			pending = pending || answer == noAnswerYet
		}
		if !pending {
			return true
		}
	}
	return false
}
