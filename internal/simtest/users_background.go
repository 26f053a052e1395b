package simtest

import (
	"fmt"
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
		return status == 200 || status == 404
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
		if status == 201 {
			users.world.checker.reportViolation("accepted: %s once more, it was %s", id, users.world.checker.acknowledgedPhase[id])
		}
		users.world.checker.checkAnswer(asked, id, status, phase)
		return status == 200
	})
}

// requestRecorded repeats a request as users do, without anybody waiting for it; the last
// answer goes to w.answers.
func (users *fakeUsers) requestRecorded(id, key string, request httpRequest) {
	users.recordedAnswers[key] = "none yet"
	end := users.world.now + userRetry
	users.retryRequest(request, func(asked time.Duration, status int, phase string) bool {
		users.world.checker.checkAnswer(asked, id, status, phase)
		if job := users.world.jobs[id]; job != nil && job.firstAnsweredAt == 0 {
			job.firstAnsweredAt = max(users.world.now, 1)
		}
		switch status {
		case 200, 201, 400, 404, 422:
			users.recordedAnswers[key] = fmt.Sprintf("%d %s", status, phase)
			return true
		}
		if users.world.now >= end {
			users.recordedAnswers[key] = fmt.Sprintf("%d gave up", status)
		}
		return false
	})
}

// submitRecorded and cancelRecorded ask without waiting for the answer.
func (users *fakeUsers) submitRecorded(arguments Arguments) {
	body := users.registerJob(arguments)
	users.world.jobs[arguments["id"]].submitted = true
	users.requestRecorded(arguments["id"], "submit "+arguments["id"], submitRequest(body))
}

func (users *fakeUsers) cancelRecorded(id string) {
	users.world.checker.cancelRequests[id] = true
	users.requestRecorded(id, "cancel "+id, cancelRequest(id))
}

// waitForRecordedAnswers waits until every request that was not waited for is answered.
func (users *fakeUsers) waitForRecordedAnswers(within time.Duration) bool {
	for end := users.world.now + within; users.world.now < end; users.world.Run(100 * time.Millisecond) {
		open := false
		for _, v := range users.recordedAnswers {
			open = open || v == "none yet"
		}
		if !open {
			return true
		}
	}
	return false
}
