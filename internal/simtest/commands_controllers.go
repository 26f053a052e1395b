package simtest

import (
	"errors"
)

// controllerParameters choose controllers.
var controllerParameters = []parameter{required(controllerParameter("which controllers"))}

// controllerCommands bring faults to controllers.
var controllerCommands = map[string]command{
	"kill": {
		usage:      "ends controllers",
		parameters: controllerParameters,
		run:        onControllers((*controllerProcess).kill),
	},
	"boot": {
		usage:      "starts controllers that are down",
		parameters: controllerParameters,
		run:        onControllers((*controllerProcess).bootIfDown),
	},
	"deny": {
		usage:      "lets the state service refuse controllers",
		parameters: controllerParameters,
		run:        onControllers(func(process *controllerProcess) { process.denied = true }),
	},
	"allow": {
		usage:      "ends deny",
		parameters: controllerParameters,
		run:        onControllers(func(process *controllerProcess) { process.denied = false }),
	},
	"block_watch": {
		usage:      "leaves controllers' requests for changes unanswered, their other requests are answered",
		parameters: controllerParameters,
		run:        onControllers(func(process *controllerProcess) { process.watchBlocked = true }),
	},
	"unblock_watch": {
		usage:      "ends block_watch",
		parameters: controllerParameters,
		run:        onControllers(func(process *controllerProcess) { process.watchBlocked = false }),
	},
	"isolate": {
		usage:      "cuts controllers off from the state service and each other, not from workers",
		parameters: controllerParameters,
		run:        onControllers(func(process *controllerProcess) { process.world.network.setIsolated(process, true) }),
	},
	"join": {
		usage:      "ends isolate",
		parameters: controllerParameters,
		run:        onControllers(func(process *controllerProcess) { process.world.network.setIsolated(process, false) }),
	},
	"pause": {
		usage: "pauses controllers while their clocks run on",
		parameters: withParameters(
			controllerParameters,
			durationParameter("for", "2s if absent"),

			flagParameter("mid_step", "from when the next decision is made and not carried out"),
		),
		run: acting(pauseControllers),
	},
	"churn": {
		usage: "changes the leader repeatedly",
		parameters: []parameter{
			numberParameter("times", "10 if absent"),
			durationParameter("over", "in that time, 120s if absent"),

			choiceParameter("how", "drawn each time if absent", "kill", "deny", "isolate", "pause"),
		},
		run: acting(func(world *World, arguments Arguments) {
			world.churn(int(arguments.number("times", "10")), arguments.duration("over", "120s"), arguments["how"])
		}),
	},
}

// onControllers makes a commandFunc of what is done to each controller that is named.
func onControllers(action func(process *controllerProcess)) commandFunc {
	return acting(func(world *World, arguments Arguments) {
		for _, process := range world.selectControllers(arguments["node"]) {
			action(process)
		}
	})
}

// pauseControllers pauses controllers, from now or from their next decision.
func pauseControllers(world *World, arguments Arguments) {
	for _, process := range world.selectControllers(arguments["node"]) {
		process.pause(arguments.duration("for", "2s"), arguments.has("mid_step"))
	}
}

// selectControllers finds the controllers that a command names: none if nobody leads.
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

// selectController finds the controller that a command names.
func (world *World) selectController(arguments Arguments) (*controllerProcess, error) {
	list := world.selectControllers(arguments["node"])
	if len(list) != 1 {
		return nil, errors.New("node: one controller is needed, there is none or more")
	}
	return list[0], nil
}
