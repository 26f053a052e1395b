package simtest

import (
	"encoding/json"
	"strings"
)

// serviceCommands set up and change the cloud and the state service.
var serviceCommands = map[string]command{
	"machine": {"adds machines that are up already", []parameter{machineTypeParameter("machine type, small if absent"),
		textParameter("zone", "a if absent"), flagParameter("spot", "spot machines"), numberParameter("count", "1 if absent")}, acting(addMachines)},
	"capacity": {"limits the machines of a type that can be provisioned, per zone and kind",
		[]parameter{required(machineTypeParameter("machine type")), numberParameter("count", "0 if absent")}, acting(limitCapacity)},
	"boot_failures": {"lets the next machines never boot", []parameter{numberParameter("count", "1 if absent")},
		acting(func(world *World, arguments Arguments) {
			world.cloud.bootFailures = int(arguments.number("count", "1"))
		})},
	"cloud": {"starts or ends an outage of the cloud", []parameter{flagParameter("over", "the outage ends")},
		acting(func(world *World, arguments Arguments) { world.cloud.down = !arguments.has("over") })},
	"outage": {"starts or ends an outage of the state service", []parameter{flagParameter("over", "the outage ends")},
		acting(func(world *World, arguments Arguments) { world.stateService.setOutage(!arguments.has("over")) })},
	"limits": {"changes the state service's limits without notice", []parameter{numberParameter("rps", "requests per second"),
		numberParameter("writes", "writes per second"), numberParameter("value", "size of a value in KiB"), numberParameter("ops", "writes per transaction")},
		acting(func(world *World, arguments Arguments) { world.stateService.setLimits(arguments) })},
	"pages": {"limits the items in a page of the state service", []parameter{required(numberParameter("limit", "items"))},
		acting(func(world *World, arguments Arguments) {
			world.stateService.pageLimit = int(arguments.number("limit", "1000"))
		})},
	"truncate_log": {"lets the state service drop all changes that it keeps", nil,
		acting(func(world *World, _ Arguments) { world.stateService.oldest = world.stateService.revision })},
	"write": {"stores the input under a key, as another version would", []parameter{required(textParameter("key", "key"))}, writeKey},
	"delay_writes": {"carries out the next transactions that write a key late and does not answer them", []parameter{required(textParameter("key", "prefix of the key")),
		durationParameter("for", "delay, 8s if absent"), numberParameter("count", "transactions, 1 if absent")}, acting(lagWrites)},
	"slow_state": {"lets the state service answer within a time drawn for each answer, or at once",
		[]parameter{durationParameter("within", "longest time, 0 ends it")}, acting(func(world *World, arguments Arguments) {
			world.network.slowStateService = arguments.duration("within", "0s")
		})},
	"late_writes": {"lets transactions go unanswered and be carried out late", []parameter{numberParameter("share", "of all transactions")},
		acting(func(world *World, arguments Arguments) { world.network.lateWrites = arguments.number("share", "0") })},
	"load": {"goes on from a recording", []parameter{required(textParameter("file", "path"))}, func(world *World, arguments Arguments, _ string) (string, error) {
		return "ok", world.Load(arguments["file"])
	}},
	"run": {"plays on", []parameter{durationParameter("for", "1s if absent")}, acting(func(world *World, arguments Arguments) { world.Run(arguments.duration("for", "1s")) })},
	"faults_over": {"notes that all faults are over: from now on jobs may not be left waiting", nil,
		acting(func(world *World, _ Arguments) { world.checker.faultsOverAt = world.now })},
}

func addMachines(world *World, arguments Arguments) {
	for range int(arguments.number("count", "1")) {
		world.cloud.addMachine(arguments.text("type", "small"), arguments.text("zone", "a"), arguments.has("spot"), 0)
	}
}

func limitCapacity(world *World, arguments Arguments) {
	for _, spot := range []bool{false, true} {
		for _, zone := range []string{"a", "b"} {
			world.cloud.available[capacityKey(arguments["type"], zone, spot)] = int(arguments.number("count", "0"))
		}
	}
}

func writeKey(world *World, arguments Arguments, input string) (string, error) {
	var value json.RawMessage
	if err := json.Unmarshal([]byte(input), &value); err != nil {
		return "", err
	}
	world.stateService.putValue(arguments["key"], strings.TrimSpace(input))
	world.stateService.notifyWatchers()
	return "ok", nil
}

func lagWrites(world *World, arguments Arguments) {
	world.stateService.delayedPrefix, world.stateService.writeDelay, world.stateService.writesToDelay = arguments["key"], arguments.duration("for", "8s"), int(arguments.number("count", "1"))
}

// putValue puts a record as it is.
func (stateService *fakeStateService) putValue(key, data string) {
	stateService.revision++
	stateService.keys[key] = storedValue{data: json.RawMessage(data), modRevision: stateService.revision}
	stateService.log = append(stateService.log, changeEvent{Write: key, Data: json.RawMessage(data), ModRevision: stateService.revision})
}
