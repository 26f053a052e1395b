package simtest

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"time"
)

// burstResult is the result of a burst of jobs that were submitted at the same moment.
type burstResult struct {
	accepted, pending int
	slowest           time.Duration // time until the slowest answer
	refused           int           // number of answers with status 503
	refusedTime       time.Duration // sum of the times until the answers with status 503
}

// submitBurst submits many jobs at the same moment, each with retries. It returns how many
// were accepted, how many seconds the slowest answer took, and whether the mean time of
// refusals is at most maxPromptRefusal.
func (users *fakeUsers) submitBurst(arguments Arguments) string {
	result := &burstResult{pending: int(arguments.number("count", "1"))}
	end := users.world.now + userRetry
	for i := range result.pending {
		jobArguments := maps.Clone(arguments)
		jobArguments["id"] = jobID(int(arguments.number("from", "1")) + i)
		body := users.registerJob(jobArguments)
		job := users.world.jobs[jobArguments["id"]]
		job.submitted = true
		users.submitOneOfBurst(result, job, body, end)
	}
	for result.pending > 0 {
		users.world.Run(100 * time.Millisecond)
	}
	return result.outcome(arguments.duration("within", "0s"))
}

// submitOneOfBurst submits one job of a burst and retries until it is accepted or end is
// reached.
func (users *fakeUsers) submitOneOfBurst(result *burstResult, job *jobRecord, body []byte, end time.Duration) {
	sentAt := users.world.now
	users.world.network.request(users.chooseEntryController(), submitRequest(body), func(status int, answer []byte) {
		users.world.checker.checkAnswer(sentAt, job.id, status, phaseIn(answer))
		result.slowest = max(result.slowest, users.world.now-sentAt)
		if status == http.StatusServiceUnavailable {
			result.refused++
			result.refusedTime += users.world.now - sentAt
		}
		switch {
		case isAccepted(status):
			job.firstAnsweredAt = sentAt
			result.accepted, result.pending = result.accepted+1, result.pending-1
		case users.world.now >= end:
			result.pending--
		default:
			users.world.schedule(time.Second, func() { users.submitOneOfBurst(result, job, body, end) })
		}
	})
}

// maxPromptRefusal is the longest mean time of refusals that counts as "at once".
const maxPromptRefusal = 500 * time.Millisecond

// outcome describes the result of a burst. limit is the longest time that an answer may
// take. If it is exceeded or zero, the times themselves are printed.
func (result *burstResult) outcome(limit time.Duration) string {
	if limit > 0 && result.slowest <= limit {
		// With packet loss, the calls of controllers may take longer, so only the limit is
		// checked and no times are printed.
		return fmt.Sprintf("%d accepted, answered in time", result.accepted)
	}
	when := "at once"
	if mean := result.refusedTime / time.Duration(max(1, result.refused)); mean > maxPromptRefusal {
		when = "after " + mean.String()
	}
	return fmt.Sprintf("%d accepted, answered within %.0fs, refused %s", result.accepted, math.Ceil(result.slowest.Seconds()), when)
}
