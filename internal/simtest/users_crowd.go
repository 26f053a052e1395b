package simtest

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"time"
)

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
func (users *fakeUsers) submitAtOnce(arguments Arguments) string {
	result := &crowdResult{pending: int(arguments.number("count", "1"))}
	end := users.world.now + userRetry
	for i := range result.pending {
		one := maps.Clone(arguments)
		one["id"] = jobID(int(arguments.number("from", "1")) + i)
		body := users.registerJob(one)
		job := users.world.jobs[one["id"]]
		job.submitted = true
		users.submitOneOfCrowd(result, job, body, end)
	}
	for result.pending > 0 {
		users.world.Run(100 * time.Millisecond)
	}
	return result.outcome(arguments.duration("within", "0s"))
}

// submitOneOfCrowd submits one job of a crowd until it is accepted or the end has
// come.
func (users *fakeUsers) submitOneOfCrowd(result *crowdResult, job *jobRecord, body []byte, end time.Duration) {
	asked := users.world.now
	users.world.network.request(users.chooseEntryController(), submitRequest(body), func(status int, answer []byte) {
		users.world.checker.checkAnswer(asked, job.id, status, phaseIn(answer))
		result.slowest = max(result.slowest, users.world.now-asked)
		if status == http.StatusServiceUnavailable {
			result.refused++
			result.refusedTime += users.world.now - asked
		}
		switch {
		case isAccepted(status):
			job.firstAnsweredAt = asked
			result.accepted, result.pending = result.accepted+1, result.pending-1
		case users.world.now >= end:
			result.pending--
		default:
			users.world.schedule(time.Second, func() { users.submitOneOfCrowd(result, job, body, end) })
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
