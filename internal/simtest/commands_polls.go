package simtest

import (
	"fmt"
	"net/http"
	"time"
)

// watchingCommands poll jobs and choose whom users ask.
var watchingCommands = map[string]command{
	"poll": {
		usage:      "asks for a job's state once",
		parameters: jobIDParameters,
		run: printing(func(world *World, arguments Arguments) string {
			return statusAndPhase(world.users.Poll(arguments["id"]))
		}),
	},
	"storm": {
		usage: "lets users ask about accepted jobs, drawn at random, and prints how many were answered while they waited",

		parameters: []parameter{
			required(numberParameter("count", "questions")),
			durationParameter("over", "in that time, 5s if absent"),
		},
		run: printing(pollStorm),
	},
	"until": {
		usage: "polls a job until it has a phase",
		parameters: withParameters(
			jobIDParameters,
			required(textParameter("phase", "phase")),
			durationParameter("within", "60s if absent"),
		),
		run: printing(untilPhase),
	},
	"all": {
		usage:      "polls all accepted jobs until they are done",
		parameters: []parameter{durationParameter("within", "60s if absent")},
		run:        printing(untilAllDone),
	},
	"users": {
		usage: "sends users from here on to one controller: the named one, or without arguments one that does not lead",

		parameters: []parameter{
			controllerParameter("the controller"),
			flagParameter("any", "to any controller again"),
		},
		run: chooseEntry,
	},
}

// pollTimeout is how long users wait for the answer to a question.
const pollTimeout = 2 * time.Second

// pollStorm lets users ask about accepted jobs, and tells how many were answered.
func pollStorm(world *World, arguments Arguments) string {
	ids := world.acceptedJobs()
	count, over := int(arguments.number("count", "1")), arguments.duration("over", "5s")
	answered := 0
	for range count {
		id := ids[world.random.IntN(len(ids))]
		world.schedule(world.randomDuration(0, over), func() {
			process := world.users.chooseEntryController()
			for !process.up {
				process = world.users.chooseEntryController() // the load balancer passes over it
			}
			asked := world.now
			request := pollRequest(id)
			request.timeout = pollTimeout
			world.network.request(process, request, func(status int, body []byte) {
				world.checker.checkAnswer(asked, id, status, phaseIn(body))
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

// untilPhase polls a job until it has a phase.
func untilPhase(world *World, arguments Arguments) string {
	phase := ""
	for end := world.now + arguments.duration("within", "60s"); world.now < end; world.Run(500 * time.Millisecond) {
		if _, phase = world.users.Poll(arguments["id"]); phase == arguments["phase"] {
			return phase
		}
	}
	return "still " + phase
}

// untilAllDone polls all accepted jobs until they are done, and tells how many are.
func untilAllDone(world *World, arguments Arguments) string {
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

// chooseEntry chooses the controller that users ask.
func chooseEntry(world *World, arguments Arguments, _ string) (string, error) {
	if arguments.has("any") {
		world.users.entryController = nil
		return "ok", nil
	}
	if arguments.has("node") {
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
