package simtest

import (
	"encoding/json"
	"net/http"
	"time"
)

// userRetry is how long users go on asking.
const userRetry = 60 * time.Second

// userCallTimeout is how long users wait for an answer.
const userCallTimeout = 5 * time.Second

// fakeUsers is a stand-in of the users.
type fakeUsers struct {
	world           *World
	entryController *controllerProcess // whom they ask, nil: any
	recordedAnswers map[string]string  // to requests that nobody waits for, by what was asked
	cancelAtEnd     float64            // share of the jobs that end that are cancelled at that moment
	invalidRequests bool               // they send invalid requests
	invalidIDs      int                // IDs used for these
}

func newUsers(world *World) *fakeUsers {
	return &fakeUsers{world: world, recordedAnswers: map[string]string{}}
}

// userRequest is a request of a user.
func userRequest(method, path string, body []byte) httpRequest {
	return httpRequest{from: "user", method: method, path: path, body: body, timeout: userCallTimeout}
}

func submitRequest(body []byte) httpRequest { return userRequest("POST", jobsPath, body) }

func pollRequest(id string) httpRequest { return userRequest("GET", jobsPath+"/"+id, nil) }

func cancelRequest(id string) httpRequest { return userRequest("POST", jobsPath+"/"+id+"/cancel", nil) }

// requestAndWait sends one user request to a controller and plays until the answer is there.
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

// phaseIn is the phase that an answer to a user shows.
func phaseIn(answer []byte) string {
	var state struct {
		Phase string `json:"phase"`
	}
	_ = json.Unmarshal(answer, &state)
	return state.Phase
}

// chooseEntryController is the controller that the next request of a user goes to.
func (users *fakeUsers) chooseEntryController() *controllerProcess {
	if users.entryController != nil {
		return users.entryController
	}
	return users.world.randomController()
}

// requestUntilAnswered repeats a request as users do until an answer counts.
func (users *fakeUsers) requestUntilAnswered(id string, request httpRequest) (int, string) {
	for end := users.world.now + userRetry; ; users.world.Run(time.Second) {
		asked := users.world.now
		status, phase := users.requestAndWait(users.chooseEntryController(), request)
		users.world.checker.checkAnswer(asked, id, status, phase)
		users.noteAnswered(id)
		if isDecided(status) {
			return status, phase
		}
		if users.world.now >= end {
			return status, "gave up"
		}
	}
}

// Submit submits a job.
func (users *fakeUsers) Submit(arguments Arguments) (int, string) {
	body := users.registerJob(arguments)
	users.world.jobs[arguments["id"]].submitted = true
	return users.requestUntilAnswered(arguments["id"], submitRequest(body))
}

// Poll asks for a job's state once, without insisting.
func (users *fakeUsers) Poll(id string) (int, string) {
	asked := users.world.now
	status, phase := users.requestAndWait(users.chooseEntryController(), pollRequest(id))
	users.world.checker.checkAnswer(asked, id, status, phase)
	users.world.checker.checkPoll(id, status)
	return status, phase
}

// Cancel cancels a job.
func (users *fakeUsers) Cancel(id string) (int, string) {
	users.world.checker.cancelRequests[id] = true
	return users.requestUntilAnswered(id, cancelRequest(id))
}

// isDecided reports whether the status of an answer is one that users do not ask again after.
func isDecided(status int) bool {
	return isAccepted(status) || status == http.StatusBadRequest || status == http.StatusNotFound || status == http.StatusUnprocessableEntity
}

// noteAnswered notes when the user of a job first got an answer.
func (users *fakeUsers) noteAnswered(id string) {
	if job := users.world.jobs[id]; job != nil && job.firstAnsweredAt == 0 {
		job.firstAnsweredAt = max(users.world.now, 1) // 0 means never
	}
}
