package simtest

import (
	"errors"
	"time"
)

// workerParameters select machines.
var workerParameters = []parameter{
	textParameter("machine", "name of a machine"),
	textParameter("zone", "all machines of a zone"),
	textParameter("task", "the machine that a task is on"),
}

// machineCommands inject faults into machines.
var machineCommands = map[string]command{
	"crash": {
		usage:      "crashes machines without notice",
		parameters: workerParameters,
		run:        forMachines(func(worker *fakeWorker, _ Arguments) { worker.crash() }),
	},
	"hang": {
		usage: "makes machines hang",
		parameters: withParameters(
			workerParameters,
			durationParameter("for", "5s if absent"),
		),
		run: forMachines(func(worker *fakeWorker, arguments Arguments) { worker.hang(arguments.duration("for", "5s")) }),
	},
	"slow": {
		usage: "multiplies the run times of tasks that start on machines from now on",
		parameters: withParameters(
			workerParameters,
			numberParameter("factor", "factor of the run times, 4 if absent"),
		),
		run: forMachines(func(worker *fakeWorker, arguments Arguments) { worker.slowdown = arguments.number("factor", "4") }),
	},
	"terminate": {
		usage:      "makes the cloud terminate machines without notice",
		parameters: workerParameters,
		run:        forMachines(func(worker *fakeWorker, _ Arguments) { worker.world.cloud.terminate(worker.name) }),
	},
	"reclaim": {
		usage: "makes the cloud terminate machines after a reclaim notice",
		parameters: withParameters(
			workerParameters,
			durationParameter("notice", "time between notice and termination, 8s if absent"),
		),
		run: forMachines(reclaimMachine),
	},
	"faulty": {
		usage: `makes every task that starts on machines exit with cause "error" soon after its start; in a gang that task exits with "error",` +
			` the others with "peers"; tasks that already run continue`,
		parameters: workerParameters,
		run:        forMachines(func(worker *fakeWorker, _ Arguments) { worker.faulty = true }),
	},
	"repair": {
		usage:      "ends faulty",
		parameters: workerParameters,
		run:        forMachines(func(worker *fakeWorker, _ Arguments) { worker.faulty = false }),
	},
	"block_inbound_of": {
		usage: "blocks all messages to the machine that a task is on",
		parameters: []parameter{
			required(textParameter("task", "task")),
			durationParameter("for", "until the end of the scenario if absent"),
		},
		run: forMachines(blockInboundOf),
	},
	"block_inbound": {
		usage: "blocks all messages to machines",
		parameters: []parameter{
			textParameter("zone", "all zones if absent"),
			durationParameter("for", "5s if absent"),
		},
		run: actionCommand(blockInbound),
	},
	"block_heartbeats": {
		usage: "blocks the heartbeats of machines to all controllers; direct commands still reach the machines",
		parameters: []parameter{
			textParameter("zone", "all zones if absent"),
			durationParameter("for", "5s if absent"),
		},
		run: actionCommand(blockHeartbeats),
	},
	"unreachable_machines": {
		usage:      "blocks all messages to the next machines that boot",
		parameters: []parameter{numberParameter("count", "number of machines, 1 if absent")},
		run: actionCommand(func(world *World, arguments Arguments) {
			world.network.unreachableMachines += int(arguments.number("count", "1"))
		}),
	},
}

// forMachines returns a commandFunc that applies action to each selected machine.
func forMachines(action func(worker *fakeWorker, arguments Arguments)) commandFunc {
	return func(world *World, arguments Arguments, _ string) (string, error) {
		machines, err := world.selectWorkers(arguments)
		if errors.Is(err, errNotOnMachine) {
			return err.Error(), nil
		}
		if err != nil {
			return "", err
		}
		for _, worker := range machines {
			action(worker, arguments)
		}
		return "ok", nil
	}
}

// errNotOnMachine is returned if the task that selects a machine is on no machine.
var errNotOnMachine = errors.New("not on a machine")

// selectWorkers returns the machines that the arguments select: machine=NAME, all running
// machines in zone=ZONE, or the machine that task=REQ/N is on.
func (world *World) selectWorkers(arguments Arguments) (machines []*fakeWorker, err error) {
	if zone, ok := arguments["zone"]; ok {
		for _, worker := range world.sortedWorkers() {
			if worker.up && worker.zone == zone {
				machines = append(machines, worker)
			}
		}
		return machines, nil
	}
	if name, ok := arguments["machine"]; ok {
		for _, worker := range world.workers {
			if worker.up && worker.name == name {
				return []*fakeWorker{worker}, nil
			}
		}
		return nil, errors.New("machine " + name + " is not up")
	}
	if worker := world.workerOf(arguments["task"]); worker != nil {
		return []*fakeWorker{worker}, nil
	}
	return nil, errNotOnMachine
}

// workerOf returns the machine that a task is on, nil if it is on none.
func (world *World) workerOf(task string) *fakeWorker {
	for _, assignment := range world.checker.executingAssignments() {
		if assignment.name == task {
			return assignment.worker
		}
	}
	return nil
}

// reclaimMachine makes the cloud terminate a machine after a reclaim notice.
func reclaimMachine(worker *fakeWorker, arguments Arguments) {
	notice := arguments.duration("notice", "8s")
	worker.reclaimAt, worker.statusChanged = worker.world.now+notice, true
	worker.world.schedule(notice, func() { worker.world.cloud.terminate(worker.name) })
}

// blockInboundOf blocks all messages to a machine, permanently unless the arguments give a duration.
func blockInboundOf(worker *fakeWorker, arguments Arguments) {
	worker.world.network.blockInbound(worker, true)
	if arguments.has("for") {
		worker.world.schedule(arguments.duration("for", "5s"), func() { worker.world.network.blockInbound(worker, false) })
	}
}

// runningWorkers returns the machines that are up in the given zone, or in all zones if none is given.
func (world *World) runningWorkers(arguments Arguments) (machines []*fakeWorker) {
	for _, worker := range world.sortedWorkers() {
		if zone, ok := arguments["zone"]; worker.up && (!ok || zone == worker.zone) {
			machines = append(machines, worker)
		}
	}
	return machines
}

// blockInbound blocks all messages to machines for the given duration.
func blockInbound(world *World, arguments Arguments) {
	for _, worker := range world.runningWorkers(arguments) {
		world.network.blockInboundFor(worker, arguments.duration("for", "5s"))
	}
}

// blockInboundFor blocks all messages to a machine for the given duration.
func (network *fakeNetwork) blockInboundFor(worker *fakeWorker, duration time.Duration) {
	network.blockInbound(worker, true)
	network.world.schedule(duration, func() { network.blockInbound(worker, false) })
}

// blockHeartbeats blocks the heartbeats of machines to all controllers for the given duration.
func blockHeartbeats(world *World, arguments Arguments) {
	for _, worker := range world.runningWorkers(arguments) {
		worker.blockHeartbeatsFor(arguments.duration("for", "5s"))
	}
}
