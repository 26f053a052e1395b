package simtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"

	"lugward/internal/jsonwire"
)

// sendInvalidRequests sends random invalid requests until invalidRequests is reset.
func (users *fakeUsers) sendInvalidRequests() {
	if !users.invalidRequests {
		return
	}
	users.world.schedule(users.world.randomDuration(200*time.Millisecond, 2*time.Second), users.sendInvalidRequests)
	var open, done []string
	for id, phase := range users.world.checker.acknowledgedPhase {
		switch phase {
		case "done":
			done = append(done, id)
		case "queued", "running":
			open = append(open, id)
		}
	}
	sort.Strings(open)
	sort.Strings(done)
	switch users.world.random.IntN(5) {
	case 0:
		if len(open) > 0 {
			users.resubmitInBackground(open[users.world.random.IntN(len(open))])
		}
	case 1:
		if len(done) > 0 {
			users.cancelInBackground(done[users.world.random.IntN(len(done))])
		}
	case 2:
		users.requestUnknownJob()
	case 3:
		users.submitUnsatisfiable()
	case 4:
		users.submitIncomplete()
	}
}

// invalidID returns a new job ID that no valid job uses.
func (users *fakeUsers) invalidID() string {
	users.invalidIDs++
	return fmt.Sprintf("req-9%06d", users.invalidIDs)
}

// requestUnknownJob polls and cancels a job that was never submitted.
func (users *fakeUsers) requestUnknownJob() {
	id := users.invalidID()
	for _, request := range []httpRequest{pollRequest(id), cancelRequest(id)} {
		users.retryRequest(request, func(sentAt time.Duration, status int, phase string) bool {
			users.world.checker.checkAnswer(sentAt, id, status, phase)
			users.world.checker.checkRefusal(id, http.StatusNotFound, status)
			return status == http.StatusNotFound
		})
	}
}

// submitUnsatisfiable submits a job that fits no machine, exceeds the limit of its team or
// names an unknown team.
func (users *fakeUsers) submitUnsatisfiable() {
	arguments := Arguments{"id": users.invalidID()}
	switch users.world.random.IntN(4) {
	case 0:
		arguments["cpus"] = "17"
	case 1:
		arguments["team"] = "green"
	case 2:
		arguments["shape"], arguments["tasks"], arguments["gpus"] = "gang", "3", "4"
	case 3:
		arguments["types"], arguments["gpus"] = "small", "1"
	}
	users.submitUntilRefused(arguments["id"], users.registerJob(arguments), http.StatusUnprocessableEntity)
}

// submitIncomplete submits a job without one of its required fields.
func (users *fakeUsers) submitIncomplete() {
	arguments := Arguments{"id": users.invalidID()}
	var submitted map[string]json.RawMessage
	_ = jsonwire.Unmarshal(users.registerJob(arguments), &submitted)
	var fields []string
	for field := range submitted {
		if !slices.Contains(optionalSubmissionFields, field) {
			fields = append(fields, field)
		}
	}
	sort.Strings(fields)
	delete(submitted, fields[users.world.random.IntN(len(fields))])
	body, _ := json.Marshal(submitted)
	users.submitUntilRefused(arguments["id"], body, http.StatusBadRequest)
}

// submitUntilRefused submits a job and retries until it is refused with the wanted status.
func (users *fakeUsers) submitUntilRefused(id string, body []byte, want int) {
	job := users.world.jobs[id]
	job.submitted, job.expectedRefusal = true, want
	users.retryRequest(submitRequest(body), func(sentAt time.Duration, status int, phase string) bool {
		users.world.checker.checkAnswer(sentAt, id, status, phase)
		users.world.checker.checkRefusal(id, want, status)
		return status == want
	})
}
