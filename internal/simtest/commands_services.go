package simtest

import (
	"encoding/json"
	"strings"

	"lugward/internal/jsonwire"
)

// serviceCommands configure the cloud and the state service and inject faults into them.
var serviceCommands = map[string]command{
	"add_machines": {
		usage: "adds machines that are already up",
		parameters: []parameter{
			machineTypeParameter("machine type, small if absent"),

			textParameter("zone", "a if absent"),
			flagParameter("spot", "spot machines"),
			numberParameter("count", "number of machines, 1 if absent"),
		},
		run: actionCommand(addMachines),
	},
	"capacity": {
		usage: "limits the machines of a type that can be provisioned, per zone and kind",

		parameters: []parameter{
			required(machineTypeParameter("machine type")),
			numberParameter("count", "number of machines, 0 if absent"),
		},
		run: actionCommand(limitCapacity),
	},
	"boot_failures": {
		usage:      "makes the next provisioned machines never boot",
		parameters: []parameter{numberParameter("count", "number of machines, 1 if absent")},
		run: actionCommand(func(world *World, arguments Arguments) {
			world.cloud.bootFailures = int(arguments.number("count", "1"))
		}),
	},
	"cloud_outage": {
		usage:      "starts or ends an outage of the cloud",
		parameters: []parameter{flagParameter("end", "ends the outage")},
		run:        actionCommand(func(world *World, arguments Arguments) { world.cloud.down = !arguments.has("end") }),
	},
	"state_outage": {
		usage:      "starts or ends an outage of the state service",
		parameters: []parameter{flagParameter("end", "ends the outage")},
		run:        actionCommand(func(world *World, arguments Arguments) { world.stateService.setOutage(!arguments.has("end")) }),
	},
	"limits": {
		usage: "changes the state service's limits without notice",
		parameters: []parameter{
			numberParameter("rps", "requests per second"),

			numberParameter("writes", "writes per second"),
			numberParameter("value", "size of a value in KiB"),
			numberParameter("ops", "writes per transaction"),
		},
		run: actionCommand(func(world *World, arguments Arguments) { world.stateService.setLimits(arguments) }),
	},
	"page_size": {
		usage:      "limits the number of items in a page of the state service",
		parameters: []parameter{required(numberParameter("items", "items per page"))},
		run: actionCommand(func(world *World, arguments Arguments) {
			world.stateService.pageLimit = int(arguments.number("items", "1000"))
		}),
	},
	"truncate_log": {
		usage: "makes the state service drop its log of changes",
		run:   actionCommand(func(world *World, _ Arguments) { world.stateService.oldestRevision = world.stateService.revision }),
	},
	"write_key": {
		usage:      "stores the input under a key, as another version of the program would",
		parameters: []parameter{required(textParameter("key", "key"))},
		run:        writeKey,
	},
	"delay_writes": {
		usage: "delays the next transactions that write a key and does not respond to them",
		parameters: []parameter{
			required(textParameter("key", "prefix of the key")),

			durationParameter("for", "delay, 8s if absent"),
			numberParameter("count", "transactions, 1 if absent"),
		},
		run: actionCommand(delayWrites),
	},
	"slow_state": {
		usage: "delays each response of the state service by a random time",

		parameters: []parameter{durationParameter("within", "longest delay, 0 ends the fault")},
		run: actionCommand(func(world *World, arguments Arguments) {
			world.network.maxStateServiceDelay = arguments.duration("within", "0s")
		}),
	},
	"unknown_fields": {
		usage:      "adds fields that controllers do not know to messages to them",
		parameters: []parameter{numberParameter("share", "share of the messages, 0 ends the fault")},
		run: actionCommand(func(world *World, arguments Arguments) {
			world.network.unknownFieldShare = arguments.number("share", "0")
		}),
	},
	"late_writes": {
		usage:      "executes transactions late and does not respond to them",
		parameters: []parameter{numberParameter("share", "share of the transactions, 0 ends the fault")},
		run:        actionCommand(func(world *World, arguments Arguments) { world.network.lateWriteShare = arguments.number("share", "0") }),
	},
	"load_recording": {
		usage:      "restores the world from a recording",
		parameters: []parameter{required(textParameter("file", "path"))},
		run: func(world *World, arguments Arguments, _ string) (string, error) {
			return "ok", world.Load(arguments["file"])
		},
	},
	"run": {
		usage:      "runs the simulation",
		parameters: []parameter{durationParameter("for", "1s if absent")},
		run:        actionCommand(func(world *World, arguments Arguments) { world.Run(arguments.duration("for", "1s")) }),
	},
	"faults_over": {
		usage: "declares that all faults are over: from now on the checker reports jobs that do not start although capacity is free, and unanswered requests",
		run:   actionCommand(func(world *World, _ Arguments) { world.checker.faultsOverAt = world.now }),
	},
}

// addMachines adds machines that are already up.
func addMachines(world *World, arguments Arguments) {
	for range int(arguments.number("count", "1")) {
		world.cloud.addMachine(arguments.text("type", "small"), arguments.text("zone", "a"), arguments.has("spot"), 0)
	}
}

// limitCapacity limits the number of machines of a type that can be provisioned, per zone and kind.
func limitCapacity(world *World, arguments Arguments) {
	for _, spot := range []bool{false, true} {
		for _, zone := range []string{"a", "b"} {
			world.cloud.remainingCapacity[capacityKey(arguments["type"], zone, spot)] = int(arguments.number("count", "0"))
		}
	}
}

// writeKey stores the input as the value of a key.
func writeKey(world *World, arguments Arguments, input string) (string, error) {
	var value json.RawMessage
	if err := jsonwire.Unmarshal([]byte(input), &value); err != nil {
		return "", err
	}
	world.stateService.putValue(arguments["key"], strings.TrimSpace(input))
	world.stateService.notifyWatchers()
	return "ok", nil
}

// delayWrites delays the next transactions that write a key.
func delayWrites(world *World, arguments Arguments) {
	world.stateService.delayedPrefix = arguments["key"]
	world.stateService.writeDelay = arguments.duration("for", "8s")
	world.stateService.writesToDelay = int(arguments.number("count", "1"))
}
