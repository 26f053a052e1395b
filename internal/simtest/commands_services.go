package simtest

import (
	"encoding/json"
	"strings"
)

// serviceCommands set up and change the cloud and the state service.
var serviceCommands = map[string]command{
	"machine": {
		usage: "adds machines that are up already",
		parameters: []parameter{
			machineTypeParameter("machine type, small if absent"),

			textParameter("zone", "a if absent"),
			flagParameter("spot", "spot machines"),
			numberParameter("count", "1 if absent"),
		},
		run: acting(addMachines),
	},
	"capacity": {
		usage: "limits the machines of a type that can be provisioned, per zone and kind",

		parameters: []parameter{
			required(machineTypeParameter("machine type")),
			numberParameter("count", "0 if absent"),
		},
		run: acting(limitCapacity),
	},
	"boot_failures": {
		usage:      "lets the next machines never boot",
		parameters: []parameter{numberParameter("count", "1 if absent")},
		run: acting(func(world *World, arguments Arguments) {
			world.cloud.bootFailures = int(arguments.number("count", "1"))
		}),
	},
	"cloud": {
		usage:      "starts or ends an outage of the cloud",
		parameters: []parameter{flagParameter("over", "the outage ends")},
		run:        acting(func(world *World, arguments Arguments) { world.cloud.down = !arguments.has("over") }),
	},
	"outage": {
		usage:      "starts or ends an outage of the state service",
		parameters: []parameter{flagParameter("over", "the outage ends")},
		run:        acting(func(world *World, arguments Arguments) { world.stateService.setOutage(!arguments.has("over")) }),
	},
	"limits": {
		usage: "changes the state service's limits without notice",
		parameters: []parameter{
			numberParameter("rps", "requests per second"),

			numberParameter("writes", "writes per second"),
			numberParameter("value", "size of a value in KiB"),
			numberParameter("ops", "writes per transaction"),
		},
		run: acting(func(world *World, arguments Arguments) { world.stateService.setLimits(arguments) }),
	},
	"pages": {
		usage:      "limits the items in a page of the state service",
		parameters: []parameter{required(numberParameter("limit", "items"))},
		run: acting(func(world *World, arguments Arguments) {
			world.stateService.pageLimit = int(arguments.number("limit", "1000"))
		}),
	},
	"truncate_log": {
		usage: "lets the state service drop all changes that it keeps",
		run:   acting(func(world *World, _ Arguments) { world.stateService.oldest = world.stateService.revision }),
	},
	"write": {
		usage:      "stores the input under a key, as another version would",
		parameters: []parameter{required(textParameter("key", "key"))},
		run:        writeKey,
	},
	"delay_writes": {
		usage: "carries out the next transactions that write a key late and does not answer them",
		parameters: []parameter{
			required(textParameter("key", "prefix of the key")),

			durationParameter("for", "delay, 8s if absent"),
			numberParameter("count", "transactions, 1 if absent"),
		},
		run: acting(delayWrites),
	},
	"slow_state": {
		usage: "lets the state service answer within a time drawn for each answer, or at once",

		parameters: []parameter{durationParameter("within", "longest time, 0 ends it")},
		run: acting(func(world *World, arguments Arguments) {
			world.network.slowStateService = arguments.duration("within", "0s")
		}),
	},
	"late_writes": {
		usage:      "lets transactions go unanswered and be carried out late",
		parameters: []parameter{numberParameter("share", "of all transactions")},
		run:        acting(func(world *World, arguments Arguments) { world.network.lateWrites = arguments.number("share", "0") }),
	},
	"load": {
		usage:      "goes on from a recording",
		parameters: []parameter{required(textParameter("file", "path"))},
		run: func(world *World, arguments Arguments, _ string) (string, error) {
			return "ok", world.Load(arguments["file"])
		},
	},
	"run": {
		usage:      "plays on",
		parameters: []parameter{durationParameter("for", "1s if absent")},
		run:        acting(func(world *World, arguments Arguments) { world.Run(arguments.duration("for", "1s")) }),
	},
	"faults_over": {
		usage: "notes that all faults are over: from now on jobs may not be left waiting",
		run:   acting(func(world *World, _ Arguments) { world.checker.faultsOverAt = world.now }),
	},
}

// addMachines adds machines that are up already.
func addMachines(world *World, arguments Arguments) {
	for range int(arguments.number("count", "1")) {
		world.cloud.addMachine(arguments.text("type", "small"), arguments.text("zone", "a"), arguments.has("spot"), 0)
	}
}

// limitCapacity limits the machines of a type that can be provisioned.
func limitCapacity(world *World, arguments Arguments) {
	for _, spot := range []bool{false, true} {
		for _, zone := range []string{"a", "b"} {
			world.cloud.available[capacityKey(arguments["type"], zone, spot)] = int(arguments.number("count", "0"))
		}
	}
}

// writeKey stores the input as the value of a key.
func writeKey(world *World, arguments Arguments, input string) (string, error) {
	var value json.RawMessage
	if err := json.Unmarshal([]byte(input), &value); err != nil {
		return "", err
	}
	world.stateService.putValue(arguments["key"], strings.TrimSpace(input))
	world.stateService.notifyWatchers()
	return "ok", nil
}

// delayWrites carries out the next transactions that write a key late.
func delayWrites(world *World, arguments Arguments) {
	world.stateService.delayedPrefix = arguments["key"]
	world.stateService.writeDelay = arguments.duration("for", "8s")
	world.stateService.writesToDelay = int(arguments.number("count", "1"))
}
