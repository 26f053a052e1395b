package simtest

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"
)

// sendInvalidRequests lets users send invalid requests until that is over.
func (world *World) sendInvalidRequests() {
	if !world.invalidRequests {
		return
	}
	world.schedule(world.randomDuration(200*time.Millisecond, 2*time.Second), world.sendInvalidRequests)
	var open, done []string
	for id, phase := range world.checker.acknowledgedPhase {
		switch phase {
		case "done":
			done = append(done, id)
		case "queued", "running":
			open = append(open, id)
		}
	}
	sort.Strings(open)
	sort.Strings(done)
	switch world.random.IntN(5) {
	case 0:
		if len(open) > 0 {
			world.resubmitInBackground(open[world.random.IntN(len(open))])
		}
	case 1:
		if len(done) > 0 {
			world.cancelInBackground(done[world.random.IntN(len(done))])
		}
	case 2:
		world.askUnknown()
	case 3:
		world.submitImpossible()
	case 4:
		world.submitIncomplete()
	}
}

func (world *World) invalidID() string {
	world.invalidIDs++
	return fmt.Sprintf("req-9%06d", world.invalidIDs)
}

// askUnknown asks about and cancels a job that nobody submitted.
func (world *World) askUnknown() {
	id := world.invalidID()
	for _, r := range [][2]string{{"GET", ""}, {"POST", "/cancel"}} {
		world.retryRequest(r[0], "/submissions/"+id+r[1], nil, func(asked time.Duration, status int, phase string) bool {
			world.checker.checkAnswer(asked, id, status, phase)
			world.checker.checkRefusal(id, 404, status)
			return status == 404
		})
	}
}

// submitImpossible submits a job that no machine or no limit fits.
func (world *World) submitImpossible() {
	arguments := Arguments{"id": world.invalidID()}
	switch world.random.IntN(4) {
	case 0:
		arguments["cpus"] = "17"
	case 1:
		arguments["team"] = "green"
	case 2:
		arguments["shape"], arguments["tasks"], arguments["gpus"] = "gang", "3", "4"
	case 3:
		arguments["types"], arguments["gpus"] = "small", "1"
	}
	world.submitRefused(arguments["id"], world.registerJob(arguments), 422)
}

// submitIncomplete submits a job without one of its fields.
func (world *World) submitIncomplete() {
	arguments := Arguments{"id": world.invalidID()}
	var submitted map[string]json.RawMessage
	_ = json.Unmarshal(world.registerJob(arguments), &submitted)
	var fields []string
	for f := range submitted {
		if f != "flavors" && f != "yard" && f != "due_s" {
			fields = append(fields, f)
		}
	}
	sort.Strings(fields)
	delete(submitted, fields[world.random.IntN(len(fields))])
	body, _ := json.Marshal(submitted)
	world.submitRefused(arguments["id"], body, 400)
}

func (world *World) submitRefused(id string, body []byte, want int) {
	job := world.jobs[id]
	job.submitted, job.expectedRefusal = true, want
	world.retryRequest("POST", "/submissions", body, func(asked time.Duration, status int, phase string) bool {
		world.checker.checkAnswer(asked, id, status, phase)
		world.checker.checkRefusal(id, want, status)
		return status == want
	})
}

// checkRefusal checks the status of an invalid request: the expected one, or an
// undecided one where the controller cannot decide yet.
func (checker *Checker) checkRefusal(id string, want, status int) {
	undecided := status == 0 || status == 503 || status == 429 || status == 504
	if status != want && !(undecided && !(want == 400 && status == 503)) {
		checker.reportViolation("refused wrongly: %s answered %d for %d", id, status, want)
	}
}
