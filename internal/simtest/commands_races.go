package simtest

import (
	"fmt"
	"maps"
	"strconv"
	"time"
)

// raceCommands make requests of users coincide with other events.
var raceCommands = map[string]command{
	"cancel_at_end": {
		usage:      "cancels jobs at the time when they end",
		parameters: shareParameters,
		run:        actionCommand(func(world *World, arguments Arguments) { world.users.cancelAtEnd = arguments.number("share", "0") }),
	},
	"cancel_running": {
		usage: "cancels running jobs and prints how many",
		parameters: []parameter{
			numberParameter("count", "number of jobs, 1 if absent"),
			durationParameter("hang", "time for which the machines of the jobs hang"),
		},
		run: printCommand(func(world *World, arguments Arguments) string {
			return strconv.Itoa(len(world.users.cancelRunningJobs(int(arguments.number("count", "1")), arguments.duration("hang", "0s"))))
		}),
	},
	"invalid_requests": {
		usage:      "makes users send invalid requests",
		parameters: []parameter{durationParameter("for", "10s if absent")},
		run:        actionCommand(sendInvalidFor),
	},
	"race": {
		usage: "submits and cancels pairs of an upstream and a downstream job, each pair with another time offset, and prints whether each pair ended in the same phase",
		parameters: withParameters(
			jobRangeParameters,
			choiceParameter("with", "event that coincides with the cancellation of the upstream job, submit if absent", "submit", "done"),
			durationParameter("step", "difference between the offsets, 10ms if absent"),

			durationParameter("within", "120s if absent"),
			flagParameter("both_outcomes", "some pairs must end done and some cancelled"),
		),
		run: printCommand((*World).race),
	},
}

// race runs pairs of an upstream and a downstream job, each pair with a larger time offset than the
// one before. With "submit" the downstream job is submitted from before to after the cancellation of
// the upstream job. With "done" the upstream job is cancelled from before to after the end of its last
// task, while the downstream job waits for it. It reports whether each pair ended in the same phase.
func (world *World) race(arguments Arguments) string {
	first, count, step := int(arguments.number("from", "1")), int(arguments.number("count", "20")), arguments.duration("step", "10ms")
	for i := range count {
		submission, down := maps.Clone(arguments), maps.Clone(arguments)
		submission["id"], down["id"], down["awaits"] = jobID(first+2*i), jobID(first+2*i+1), jobID(first+2*i)
		world.users.Submit(submission)
		offset := step * time.Duration(i-count/2)
		if arguments["with"] == "done" {
			world.users.Submit(down)
			world.cancelAroundEnd(world.jobs[submission["id"]], offset)
			continue
		}
		world.schedule(max(0, -offset), func() { world.users.cancelRecorded(submission["id"]) })
		world.schedule(max(0, offset), func() { world.users.submitRecorded(down) })
	}
	world.Run(step*time.Duration(count) + time.Second)
	if !world.users.waitForRecordedAnswers(2 * userRetry) {
		return "some requests got no response"
	}
	return world.raceOutcome(first, count, arguments.duration("within", "120s"), arguments.has("both_outcomes"))
}

// cancelAroundEnd cancels a job at the expected end of its tasks plus offset, which may be negative.
func (world *World) cancelAroundEnd(job *jobRecord, offset time.Duration) {
	if job.startedAt == 0 {
		world.schedule(tickInterval, func() { world.cancelAroundEnd(job, offset) })
		return
	}
	world.schedule(max(0, job.startedAt+job.runTime-world.now+offset), func() { world.users.cancelRecorded(job.id) })
}

// raceOutcome polls the pairs of a race until both jobs of each pair have ended in the same phase.
func (world *World) raceOutcome(first, pairs int, within time.Duration, bothOutcomes bool) string {
	for end := world.now + within; ; world.Run(time.Second) {
		for i := range 2 * pairs {
			if id := jobID(first + i); !world.checker.hasEnded(id) {
				world.users.Poll(id)
			}
		}
		outcomes := map[string]int{}
		for i := range pairs {
			outcomes[world.checker.acknowledgedPhase[jobID(first+2*i)]+"/"+world.checker.acknowledgedPhase[jobID(first+2*i+1)]]++
		}
		if outcomes["done/done"]+outcomes["cancelled/cancelled"] == pairs {
			if bothOutcomes && (outcomes["done/done"] == 0 || outcomes["cancelled/cancelled"] == 0) {
				return fmt.Sprintf("consistent, but all pairs had the same outcome: %v", outcomes)
			}
			return "consistent"
		}
		if world.now >= end {
			return fmt.Sprint(outcomes)
		}
	}
}

// sendInvalidFor makes users send invalid requests for the given duration.
func sendInvalidFor(world *World, arguments Arguments) {
	world.users.invalidRequests = true
	world.users.sendInvalidRequests()
	world.schedule(arguments.duration("for", "10s"), func() { world.users.invalidRequests = false })
}
