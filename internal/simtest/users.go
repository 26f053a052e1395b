package simtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"strings"
	"time"
)

// userRetry is how long users go on asking.
const userRetry = 60 * time.Second

// userCallTimeout is how long users wait for an answer.
const userCallTimeout = 5 * time.Second

// registerJob registers a job with the workers, as its user does, and returns the
// submission.
func (world *World) registerJob(arguments Arguments) []byte {
	id := arguments["id"]
	job := world.jobs[id]
	if job == nil {
		job = &jobRecord{id: id, progress: map[int]time.Duration{}, completed: map[int]bool{}, gangs: map[uint64]*gangRun{}}
		world.jobs[id] = job
	}
	job.team, job.shape, job.class = arguments.text("team", "red"), arguments.text("shape", "array"), arguments.text("class", "c")
	job.taskCount = int(arguments.number("tasks", "1"))
	job.cpus, job.gpus, job.memory = arguments.number("cpus", "1"), arguments.number("gpus", "0"), arguments.number("memory", "1")
	if f, ok := arguments["types"]; ok {
		job.machineTypes = strings.Split(f, "+")
	}
	job.zone = arguments["zone"]
	job.sameZone, job.scatter, job.allowSpot, job.broken = arguments.has("same_zone"), arguments.has("scatter"), arguments.has("spot"), arguments.has("broken")
	job.brokenTask = 1 + int(arguments.number("broken_task", "-1"))
	job.runTime, job.imageFetchTime = arguments.duration("run", "5s"), arguments.duration("image", "1s")
	job.checkpointInterval, job.checkpointDuration = arguments.duration("checkpoint", "0s"), arguments.duration("checkpoint_cost", "1s")
	request := submission{ID: id, Class: job.class, Team: job.team, Shape: job.shape, Priority: arguments.text("priority", "normal"), TaskCount: job.taskCount,
		CPUs: job.cpus, GPUs: job.gpus, Memory: job.memory, Image: arguments.text("image_name", "img"), ImageGB: 1, MachineTypes: job.machineTypes,
		SameZone: job.sameZone, Scatter: job.scatter, AllowSpot: job.allowSpot, EstimatedRuntime: job.runTime.Seconds(),
		CheckpointInterval: job.checkpointInterval.Seconds(), CheckpointDuration: job.checkpointDuration.Seconds(), Upstream: world.recordUpstream(job, arguments)}
	if job.zone != "" {
		request.Zone = &job.zone
	}
	job.body, _ = json.Marshal(request)
	return job.body
}

// requestAndWait sends one user request to a node and plays until the answer is there.
func (world *World) requestAndWait(process *controllerProcess, method, path string, body []byte) (status int, phase string) {
	done := false
	world.request("user", process, method, path, body, userCallTimeout, func(code int, b []byte) {
		status, phase, done = code, phaseIn(b), true
	})
	for end := world.now + 6*time.Second; !done && world.now < end; {
		world.Run(20 * time.Millisecond)
	}
	return status, phase
}

// phaseIn is the phase that an answer to a user shows.
func phaseIn(answer []byte) string {
	var v struct {
		Phase string `json:"phase"`
	}
	_ = json.Unmarshal(answer, &v)
	return v.Phase
}

// chooseEntryController is the controller that the next request of a user goes to.
func (world *World) chooseEntryController() *controllerProcess {
	if world.entryController != nil {
		return world.entryController
	}
	return world.controllers[world.random.IntN(len(world.controllers))]
}

// requestUntilAnswered repeats a request as users do until an answer counts.
func (world *World) requestUntilAnswered(id, method, path string, body []byte) (int, string) {
	for end := world.now + userRetry; ; world.Run(time.Second) {
		asked := world.now
		status, phase := world.requestAndWait(world.chooseEntryController(), method, path, body)
		world.checker.checkAnswer(asked, id, status, phase)
		if job := world.jobs[id]; job != nil && job.firstAnsweredAt == 0 {
			job.firstAnsweredAt = max(world.now, 1)
		}
		switch status {
		case 200, 201, 400, 404, 422:
			return status, phase
		}
		if world.now >= end {
			return status, "gave up"
		}
	}
}

// Submit submits a job.
func (world *World) Submit(arguments Arguments) (int, string) {
	body := world.registerJob(arguments)
	world.jobs[arguments["id"]].submitted = true
	return world.requestUntilAnswered(arguments["id"], "POST", "/submissions", body)
}

// crowdResult is what came of jobs that were submitted at the same moment.
type crowdResult struct {
	accepted, pending int
	slowest           time.Duration // time to the slowest answer
	refused           int           // answers 503
	refusedTime       time.Duration // until these answers came, all together
}

// submitAtOnce submits many jobs at the same moment, each user repeating as users do,
// and tells how many were accepted, within how many seconds the slowest request
// was answered at all, and whether refusals come at once on average.
func (world *World) submitAtOnce(arguments Arguments) string {
	result := &crowdResult{pending: int(arguments.number("count", "1"))}
	end := world.now + userRetry
	for i := range result.pending {
		one := maps.Clone(arguments)
		one["id"] = jobID(int(arguments.number("from", "1")) + i)
		body := world.registerJob(one)
		job := world.jobs[one["id"]]
		job.submitted = true
		world.submitOneOfCrowd(result, job, body, end)
	}
	for result.pending > 0 {
		world.Run(100 * time.Millisecond)
	}
	return result.outcome(arguments.duration("within", "0s"))
}

// submitOneOfCrowd submits one job of a crowd until it is accepted or the end has
// come.
func (world *World) submitOneOfCrowd(result *crowdResult, job *jobRecord, body []byte, end time.Duration) {
	asked := world.now
	world.request("user", world.chooseEntryController(), "POST", "/submissions", body, userCallTimeout, func(status int, b []byte) {
		world.checker.checkAnswer(asked, job.id, status, phaseIn(b))
		result.slowest = max(result.slowest, world.now-asked)
		if status == 503 {
			result.refused++
			result.refusedTime += world.now - asked
		}
		switch {
		case isAccepted(status):
			job.firstAnsweredAt = asked
			result.accepted, result.pending = result.accepted+1, result.pending-1
		case world.now >= end:
			result.pending--
		default:
			world.schedule(time.Second, func() { world.submitOneOfCrowd(result, job, body, end) })
		}
	})
}

// promptRefusal is how soon refusals come on average where they come at once.
const promptRefusal = 500 * time.Millisecond

// outcome tells what came of a crowd; most is the longest that an answer may
// take, 0 where it is not to be judged.
func (result *crowdResult) outcome(most time.Duration) string {
	if most > 0 && result.slowest <= most {
		// Where links lose packets, a call of ours may take its time.
		return fmt.Sprintf("%d accepted, answered in time", result.accepted)
	}
	when := "at once"
	if mean := result.refusedTime / time.Duration(max(1, result.refused)); mean > promptRefusal {
		when = "after " + mean.String()
	}
	return fmt.Sprintf("%d accepted, answered within %.0fs, refused %s", result.accepted, math.Ceil(result.slowest.Seconds()), when)
}

// Poll asks for a job's state once, without insisting.
func (world *World) Poll(id string) (int, string) {
	asked := world.now
	status, phase := world.requestAndWait(world.chooseEntryController(), "GET", "/submissions/"+id, nil)
	world.checker.checkAnswer(asked, id, status, phase)
	world.checker.checkPoll(id, status)
	return status, phase
}

// Cancel cancels a job.
func (world *World) Cancel(id string) (int, string) {
	world.checker.cancelRequests[id] = true
	return world.requestUntilAnswered(id, "POST", "/submissions/"+id+"/cancel", nil)
}

// retryRequest sends a user's request again until its answer counts, while the world
// goes on.
func (world *World) retryRequest(method, path string, body []byte, take func(asked time.Duration, status int, phase string) bool) {
	end := world.now + userRetry
	var attempt func()
	attempt = func() {
		asked := world.now
		world.request("user", world.chooseEntryController(), method, path, body, userCallTimeout, func(status int, b []byte) {
			if !take(asked, status, phaseIn(b)) && world.now < end {
				world.schedule(time.Second, attempt)
			}
		})
	}
	attempt()
}

// cancelInBackground cancels a job while the world goes on.
func (world *World) cancelInBackground(id string) {
	world.checker.cancelRequests[id] = true
	world.retryRequest("POST", "/submissions/"+id+"/cancel", nil, func(asked time.Duration, status int, phase string) bool {
		world.checker.checkAnswer(asked, id, status, phase)
		return status == 200 || status == 404
	})
}

func (world *World) pollInBackground(id string) {
	world.retryRequest("GET", "/submissions/"+id, nil, func(asked time.Duration, status int, phase string) bool {
		world.checker.checkAnswer(asked, id, status, phase)
		return true
	})
}

// resubmitInBackground submits a known job again: it is never accepted anew.
func (world *World) resubmitInBackground(id string) {
	job := world.jobs[id]
	if job.body == nil || world.checker.acknowledgedPhase[id] == "" {
		return
	}
	world.retryRequest("POST", "/submissions", job.body, func(asked time.Duration, status int, phase string) bool {
		if status == 201 {
			world.checker.reportViolation("accepted: %s once more, it was %s", id, world.checker.acknowledgedPhase[id])
		}
		world.checker.checkAnswer(asked, id, status, phase)
		return status == 200
	})
}

// requestRecorded repeats a request as users do, without anybody waiting for it; the last
// answer goes to w.answers.
func (world *World) requestRecorded(id, key, method, path string, body []byte) {
	world.recordedAnswers[key] = "none yet"
	end := world.now + userRetry
	world.retryRequest(method, path, body, func(asked time.Duration, status int, phase string) bool {
		world.checker.checkAnswer(asked, id, status, phase)
		if job := world.jobs[id]; job != nil && job.firstAnsweredAt == 0 {
			job.firstAnsweredAt = max(world.now, 1)
		}
		switch status {
		case 200, 201, 400, 404, 422:
			world.recordedAnswers[key] = fmt.Sprintf("%d %s", status, phase)
			return true
		}
		if world.now >= end {
			world.recordedAnswers[key] = fmt.Sprintf("%d gave up", status)
		}
		return false
	})
}

// submitRecorded and cancelRecorded ask without waiting for the answer.
func (world *World) submitRecorded(arguments Arguments) {
	body := world.registerJob(arguments)
	world.jobs[arguments["id"]].submitted = true
	world.requestRecorded(arguments["id"], "submit "+arguments["id"], "POST", "/submissions", body)
}

func (world *World) cancelRecorded(id string) {
	world.checker.cancelRequests[id] = true
	world.requestRecorded(id, "cancel "+id, "POST", "/submissions/"+id+"/cancel", nil)
}

// waitForRecordedAnswers waits until every request that was not waited for is answered.
func (world *World) waitForRecordedAnswers(within time.Duration) bool {
	for end := world.now + within; world.now < end; world.Run(100 * time.Millisecond) {
		open := false
		for _, v := range world.recordedAnswers {
			open = open || v == "none yet"
		}
		if !open {
			return true
		}
	}
	return false
}
