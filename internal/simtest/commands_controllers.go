package simtest

import (
	"fmt"
)

// controllerParameters select controllers.
var controllerParameters = []parameter{required(controllerParameter("a controller (n0, n1, ...), leader or all"))}

// controllerCommands inject faults into controllers.
var controllerCommands = map[string]command{
	"kill": {
		usage:      "kills controllers",
		parameters: controllerParameters,
		run:        forControllers((*controllerProcess).kill),
	},
	"boot": {
		usage:      "starts controllers that are down",
		parameters: controllerParameters,
		run:        forControllers((*controllerProcess).bootIfDown),
	},
	"deny_state": {
		usage:      "makes the state service reject all requests of controllers",
		parameters: controllerParameters,
		run:        forControllers(func(process *controllerProcess) { process.denied = true }),
	},
	"allow_state": {
		usage:      "ends deny_state",
		parameters: controllerParameters,
		run:        forControllers(func(process *controllerProcess) { process.denied = false }),
	},
	"block_watch": {
		usage:      "leaves watch requests of controllers unanswered; their other requests are answered",
		parameters: controllerParameters,
		run:        forControllers(func(process *controllerProcess) { process.watchBlocked = true }),
	},
	"unblock_watch": {
		usage:      "ends block_watch",
		parameters: controllerParameters,
		run:        forControllers(func(process *controllerProcess) { process.watchBlocked = false }),
	},
	"isolate": {
		usage:      "disconnects controllers from the state service and from each other, but not from workers",
		parameters: controllerParameters,
		run:        forControllers(func(process *controllerProcess) { process.world.network.setIsolated(process, true) }),
	},
	"reconnect": {
		usage:      "ends isolate",
		parameters: controllerParameters,
		run:        forControllers(func(process *controllerProcess) { process.world.network.setIsolated(process, false) }),
	},
	"pause": {
		usage: "pauses controllers while their clocks continue",
		parameters: withParameters(
			controllerParameters,
			durationParameter("for", "2s if absent"),

			flagParameter("before_execution", "starts the pause between the next decision and its execution"),
		),
		run: actionCommand(pauseControllers),
	},
	"change_leader": {
		usage: "changes the leader repeatedly",
		parameters: []parameter{
			numberParameter("times", "number of changes, 10 if absent"),
			durationParameter("over", "time over which the changes are spread, 120s if absent"),

			choiceParameter("how", "fault that removes the leader, chosen at random each time if absent", "kill", "deny", "isolate", "pause"),
		},
		run: actionCommand(func(world *World, arguments Arguments) {
			world.changeLeaderRepeatedly(int(arguments.number("times", "10")), arguments.duration("over", "120s"), arguments["how"])
		}),
	},
}

// forControllers returns a commandFunc that applies action to each selected controller.
func forControllers(action func(process *controllerProcess)) commandFunc {
	return actionCommand(func(world *World, arguments Arguments) {
		for _, process := range world.selectControllers(arguments["controller"]) {
			action(process)
		}
	})
}

// pauseControllers pauses controllers, either now or after their next decision.
func pauseControllers(world *World, arguments Arguments) {
	for _, process := range world.selectControllers(arguments["controller"]) {
		process.pause(arguments.duration("for", "2s"), arguments.has("before_execution"))
	}
}

// selectControllers returns the controllers that name selects. "leader" selects none if there is no
// leader.
func (world *World) selectControllers(name string) []*controllerProcess {
	process := world.controller(name)
	switch name {
	case "all":
		return world.controllers
	case "leader":
		process = world.leader()
	}
	if process == nil {
		return nil
	}
	return []*controllerProcess{process}
}

// selectController returns the one controller that the arguments select.
func (world *World) selectController(arguments Arguments) (*controllerProcess, error) {
	list := world.selectControllers(arguments["controller"])
	if len(list) != 1 {
		return nil, fmt.Errorf("controller=%s: selects %d controllers, want 1", arguments["controller"], len(list))
	}
	return list[0], nil
}
