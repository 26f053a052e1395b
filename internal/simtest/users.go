package simtest

import (
	"net/http"
	"time"

	"lugward/internal/jsonwire"
)

// userRetry is how long users retry a request.
const userRetry = 60 * time.Second

// userCallTimeout is how long users wait for the answer to a request.
const userCallTimeout = 5 * time.Second

// fakeUsers simulates the users.
type fakeUsers struct {
	world           *World
	entryController *controllerProcess // receives all requests of users; nil means a random controller each
	recordedAnswers map[string]string  // last answers to background requests, by kind of request and job ID
	cancelAtEnd     float64            // probability that a job is cancelled at the moment of its end
	invalidRequests bool               // invalid requests are being sent
	invalidIDs      int                // number of IDs used for invalid requests
}

func newUsers(world *World) *fakeUsers {
	return &fakeUsers{world: world, recordedAnswers: map[string]string{}}
}

// userRequest returns a request of a user.
func userRequest(method, path string, body []byte) httpRequest {
	return httpRequest{from: "user", method: method, path: path, body: body, timeout: userCallTimeout}
}

func submitRequest(body []byte) httpRequest { return userRequest("POST", jobsPath, body) }

func pollRequest(id string) httpRequest { return userRequest("GET", jobsPath+"/"+id, nil) }

func cancelRequest(id string) httpRequest { return userRequest("POST", jobsPath+"/"+id+"/cancel", nil) }

// requestAndWait sends one user request to a controller and runs the world until the answer
// arrives, for at most 6 seconds.
func (users *fakeUsers) requestAndWait(process *controllerProcess, request httpRequest) (status int, phase string) {
	done := false
	users.world.network.request(process, request, func(code int, body []byte) {
		status, phase, done = code, phaseIn(body), true
	})
	for end := users.world.now + 6*time.Second; !done && users.world.now < end; {
		users.world.Run(20 * time.Millisecond)
	}
	return status, phase
}

// phaseIn returns the phase in the body of an answer to a user.
func phaseIn(answer []byte) string {
	var state struct {
		Phase string `json:"phase"`
	}
	_ = jsonwire.Unmarshal(answer, &state)
	return state.Phase
}

// chooseEntryController returns the controller that receives the next request of a user.
func (users *fakeUsers) chooseEntryController() *controllerProcess {
	if users.entryController != nil {
		return users.entryController
	}
	return users.world.randomController()
}

// requestUntilDecided retries a request every second until its answer is decided or
// userRetry has passed.
func (users *fakeUsers) requestUntilDecided(id string, request httpRequest) (int, string) {
	for end := users.world.now + userRetry; ; users.world.Run(time.Second) {
		sentAt := users.world.now
		status, phase := users.requestAndWait(users.chooseEntryController(), request)
		users.world.checker.checkAnswer(sentAt, id, status, phase)
		users.recordFirstAnswer(id)
		if isDecided(status) {
			return status, phase
		}
		if users.world.now >= end {
			return status, "gave up"
		}
	}
}

// Submit submits a job and retries until the answer is decided.
func (users *fakeUsers) Submit(arguments Arguments) (int, string) {
	body := users.registerJob(arguments)
	users.world.jobs[arguments["id"]].submitted = true
	return users.requestUntilDecided(arguments["id"], submitRequest(body))
}

// Poll requests a job's state once, without retries.
func (users *fakeUsers) Poll(id string) (int, string) {
	sentAt := users.world.now
	status, phase := users.requestAndWait(users.chooseEntryController(), pollRequest(id))
	users.world.checker.checkAnswer(sentAt, id, status, phase)
	users.world.checker.checkPoll(id, status)
	return status, phase
}

// Cancel cancels a job and retries until the answer is decided.
func (users *fakeUsers) Cancel(id string) (int, string) {
	users.world.checker.cancelRequests[id] = true
	return users.requestUntilDecided(id, cancelRequest(id))
}

// isDecided reports whether users stop retrying a request after an answer with this status.
func isDecided(status int) bool {
	return isAccepted(status) || status == http.StatusBadRequest || status == http.StatusNotFound || status == http.StatusUnprocessableEntity
}

// recordFirstAnswer records when the user of a job first received an answer.
func (users *fakeUsers) recordFirstAnswer(id string) {
	if job := users.world.jobs[id]; job != nil && job.firstAnsweredAt == 0 {
		job.firstAnsweredAt = max(users.world.now, 1) // zero means never
	}
}
