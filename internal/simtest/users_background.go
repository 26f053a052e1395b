package simtest

import (
	"fmt"
	"net/http"
	"time"
)

// retryRequest sends a user's request again until its answer counts, while the world
// goes on.
func (users *fakeUsers) retryRequest(request httpRequest, take func(asked time.Duration, status int, phase string) bool) {
	end := users.world.now + userRetry
	var attempt func()
	attempt = func() {
		asked := users.world.now
		users.world.network.request(users.chooseEntryController(), request, func(status int, body []byte) {
			if !take(asked, status, phaseIn(body)) && users.world.now < end {
				users.world.schedule(time.Second, attempt)
			}
		})
	}
	attempt()
}

// cancelInBackground cancels a job while the world goes on.
func (users *fakeUsers) cancelInBackground(id string) {
	users.world.checker.cancelRequests[id] = true
	users.retryRequest(cancelRequest(id), func(asked time.Duration, status int, phase string) bool {
		users.world.checker.checkAnswer(asked, id, status, phase)
		return status == http.StatusOK || status == http.StatusNotFound
	})
}

// pollInBackground asks for a job's state while the world goes on.
func (users *fakeUsers) pollInBackground(id string) {
	users.retryRequest(pollRequest(id), func(asked time.Duration, status int, phase string) bool {
		users.world.checker.checkAnswer(asked, id, status, phase)
		return true
	})
}

// resubmitInBackground submits a known job again: it is never accepted anew.
func (users *fakeUsers) resubmitInBackground(id string) {
	job := users.world.jobs[id]
	if job.body == nil || users.world.checker.acknowledgedPhase[id] == "" {
		return
	}
	users.retryRequest(submitRequest(job.body), func(asked time.Duration, status int, phase string) bool {
		if status == http.StatusCreated {
			users.world.checker.reportViolation("accepted: %s once more, it was %s", id, users.world.checker.acknowledgedPhase[id])
		}
		users.world.checker.checkAnswer(asked, id, status, phase)
		return status == http.StatusOK
	})
}

// noAnswerYet is what is recorded of a request before it is answered.
const noAnswerYet = "none yet"

// requestRecorded repeats a request as users do, without anybody waiting for it; the last
// answer goes to recordedAnswers.
func (users *fakeUsers) requestRecorded(id, key string, request httpRequest) {
	users.recordedAnswers[key] = noAnswerYet
	end := users.world.now + userRetry
	users.retryRequest(request, func(asked time.Duration, status int, phase string) bool {
		users.world.checker.checkAnswer(asked, id, status, phase)
		users.noteAnswered(id)
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

// submitRecorded submits a job without waiting for the answer, which is recorded.
func (users *fakeUsers) submitRecorded(arguments Arguments) {
	body := users.registerJob(arguments)
	users.world.jobs[arguments["id"]].submitted = true
	users.requestRecorded(arguments["id"], "submit "+arguments["id"], submitRequest(body))
}

// cancelRecorded cancels a job without waiting for the answer, which is recorded.
func (users *fakeUsers) cancelRecorded(id string) {
	users.world.checker.cancelRequests[id] = true
	users.requestRecorded(id, "cancel "+id, cancelRequest(id))
}

// waitForRecordedAnswers plays until every request whose answer is recorded is answered, and
// reports whether that is so within the time.
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
