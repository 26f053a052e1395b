package simtest

import (
	"fmt"
	"maps"
	"strconv"
	"time"
)

// raceCommands let requests of users meet other events.
var raceCommands = map[string]command{
	"cancel_at_end": {
		usage:      "cancels jobs at the moment when they end",
		parameters: shareParameters,
		run:        acting(func(world *World, arguments Arguments) { world.users.cancelAtEnd = arguments.number("share", "0") }),
	},
	"cancel_now": {
		usage: "cancels running jobs and prints how many",
		parameters: []parameter{
			numberParameter("count", "1 if absent"),
			durationParameter("hang", "their machines hang for that long"),
		},
		run: printing(func(world *World, arguments Arguments) string {
			return strconv.Itoa(len(world.users.cancelNow(int(arguments.number("count", "1")), arguments.duration("hang", "0s"))))
		}),
	},
	"invalid_requests": {
		usage:      "lets users send invalid requests",
		parameters: []parameter{durationParameter("for", "10s if absent")},
		run:        acting(sendInvalidFor),
	},
	"race": {
		usage: "lets pairs of jobs meet, each at another moment, and tells whether each pair ended alike",
		parameters: withParameters(
			jobRangeParameters,
			choiceParameter("with", "what the cancellation of an upstream job meets, submit if absent", "submit", "done"),
			durationParameter("step", "10ms if absent"),

			durationParameter("within", "120s if absent"),
			flagParameter("both", "both ends must occur"),
		),
		run: printing((*World).race),
	},
}

// race lets so many pairs meet, each a little later against the other: a job is
// cancelled and, from before to after it, one that needs it is submitted
// ("submit"), or a job is cancelled about when its last task ends, while another
// waits for it ("done"). It reports whether each pair ended alike.
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
		return "not all are answered"
	}
	return world.raceOutcome(first, count, arguments.duration("within", "120s"), arguments.has("both"))
}

// cancelAroundEnd cancels a job that much after the expected end of its tasks.
func (world *World) cancelAroundEnd(job *jobRecord, offset time.Duration) {
	if job.startedAt == 0 {
		world.schedule(tickInterval, func() { world.cancelAroundEnd(job, offset) })
		return
	}
	world.schedule(max(0, job.startedAt+job.runTime-world.now+offset), func() { world.users.cancelRecorded(job.id) })
}

// raceOutcome polls the pairs of a race until each has ended alike.
func (world *World) raceOutcome(first, pairs int, within time.Duration, both bool) string {
	for end := world.now + within; ; world.Run(time.Second) {
		for i := range 2 * pairs {
			if id := jobID(first + i); !world.checker.isOver(id) {
				world.users.Poll(id)
			}
		}
		ends := map[string]int{}
		for i := range pairs {
			ends[world.checker.acknowledgedPhase[jobID(first+2*i)]+"/"+world.checker.acknowledgedPhase[jobID(first+2*i+1)]]++
		}
		if ends["done/done"]+ends["cancelled/cancelled"] == pairs {
			if both && (ends["done/done"] == 0 || ends["cancelled/cancelled"] == 0) {
				return fmt.Sprintf("alike, but all one way: %v", ends)
			}
			return "alike"
		}
		if world.now >= end {
			return fmt.Sprint(ends)
		}
	}
}

// sendInvalidFor lets users send invalid requests for a while.
func sendInvalidFor(world *World, arguments Arguments) {
	world.users.invalidRequests = true
	world.users.sendInvalidRequests()
	world.schedule(arguments.duration("for", "10s"), func() { world.users.invalidRequests = false })
}
