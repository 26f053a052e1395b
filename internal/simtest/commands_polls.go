package simtest

import (
	"fmt"
	"net/http"
	"time"
)

// pollCommands poll jobs and select the controller that users send requests to.
var pollCommands = map[string]command{
	"poll": {
		usage:      "polls a job once; prints status and phase",
		parameters: jobIDParameters,
		run: printCommand(func(world *World, arguments Arguments) string {
			return statusAndPhase(world.users.Poll(arguments["id"]))
		}),
	},
	"poll_burst": {
		usage: "makes users poll accepted jobs chosen at random, and prints how many polls were answered before they timed out",

		parameters: []parameter{
			required(numberParameter("count", "number of polls")),
			durationParameter("over", "time over which the polls are spread, 5s if absent"),
		},
		run: printCommand(pollBurst),
	},
	"poll_until": {
		usage: "polls a job until it has a phase",
		parameters: withParameters(
			jobIDParameters,
			required(textParameter("phase", "phase")),
			durationParameter("within", "60s if absent"),
		),
		run: printCommand(pollUntilPhase),
	},
	"all": {
		usage:      "polls all accepted jobs until they are done",
		parameters: []parameter{durationParameter("within", "60s if absent")},
		run:        printCommand(pollUntilAllDone),
	},
	"route_users": {
		usage: "routes users' requests to one controller from now on: the given one, or without arguments a follower",

		parameters: []parameter{
			controllerParameter("controller that receives the requests"),
			flagParameter("any", "routes requests to any controller again"),
		},
		run: routeUsers,
	},
}

// pollTimeout is the time that users wait for the response to a poll.
const pollTimeout = 2 * time.Second

// pollBurst makes users poll accepted jobs and reports how many polls were answered.
func pollBurst(world *World, arguments Arguments) string {
	ids := world.acceptedJobs()
	count, over := int(arguments.number("count", "1")), arguments.duration("over", "5s")
	answered := 0
	for range count {
		id := ids[world.random.IntN(len(ids))]
		world.schedule(world.randomDuration(0, over), func() {
			process := world.users.chooseEntryController()
			for !process.up {
				process = world.users.chooseEntryController() // the load balancer skips controllers that are down
			}
			sentAt := world.now
			request := pollRequest(id)
			request.timeout = pollTimeout
			world.network.request(process, request, func(status int, body []byte) {
				world.checker.checkAnswer(sentAt, id, status, phaseIn(body))
				world.checker.checkPoll(id, status)
				if status == http.StatusOK {
					answered++
				}
			})
		})
	}
	world.Run(over + pollTimeout)
	return fmt.Sprintf("%d of %d answered", answered, count)
}

// pollUntilPhase polls a job until it has the given phase or the time is up.
func pollUntilPhase(world *World, arguments Arguments) string {
	phase := ""
	for end := world.now + arguments.duration("within", "60s"); world.now < end; world.Run(500 * time.Millisecond) {
		if _, phase = world.users.Poll(arguments["id"]); phase == arguments["phase"] {
			return phase
		}
	}
	return "still " + phase
}

// pollUntilAllDone polls all accepted jobs until they are done or the time is up, and reports
// how many are done.
func pollUntilAllDone(world *World, arguments Arguments) string {
	done := 0
	for end := world.now + arguments.duration("within", "60s"); world.now < end; world.Run(time.Second) {
		done = 0
		for _, id := range world.acceptedJobs() {
			if world.checker.acknowledgedPhase[id] != "done" {
				world.users.Poll(id)
			}
			if world.checker.acknowledgedPhase[id] == "done" {
				done++
			}
		}
		if done == len(world.acceptedJobs()) {
			break
		}
	}
	return fmt.Sprintf("%d done", done)
}

// routeUsers selects the controller that users send requests to.
func routeUsers(world *World, arguments Arguments, _ string) (string, error) {
	if arguments.has("any") {
		world.users.entryController = nil
		return "ok", nil
	}
	if arguments.has("controller") {
		process, err := world.selectController(arguments)
		if err != nil {
			return "", err
		}
		world.users.entryController = process
		return "ok", nil
	}
	for _, process := range world.controllers {
		if process != world.leader() {
			world.users.entryController = process
		}
	}
	return "ok", nil
}
