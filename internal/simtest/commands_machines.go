package simtest

import (
	"errors"
	"time"
)

// workerParameters choose machines.
var workerParameters = []parameter{
	textParameter("machine", "name of a machine"),
	textParameter("zone", "all machines of a zone"),
	textParameter("task", "the machine that this task is on"),
}

// machineCommands bring faults to machines.
var machineCommands = map[string]command{
	"die": {
		usage:      "ends machines without notice",
		parameters: workerParameters,
		run:        onMachines(func(worker *fakeWorker, _ Arguments) { worker.crash() }),
	},
	"hang": {
		usage: "lets machines hang",
		parameters: withParameters(
			workerParameters,
			durationParameter("for", "5s if absent"),
		),
		run: onMachines(func(worker *fakeWorker, arguments Arguments) { worker.hang(arguments.duration("for", "5s")) }),
	},
	"slow": {
		usage: "multiplies the run times of tasks that start on machines",
		parameters: withParameters(
			workerParameters,
			numberParameter("times", "4 if absent"),
		),
		run: onMachines(func(worker *fakeWorker, arguments Arguments) { worker.slowdown = arguments.number("times", "4") }),
	},
	"terminate": {
		usage:      "lets the cloud take machines without notice",
		parameters: workerParameters,
		run:        onMachines(func(worker *fakeWorker, _ Arguments) { worker.world.cloud.terminate(worker.name) }),
	},
	"reclaim": {
		usage: "lets the cloud take machines after a reclaim notice",
		parameters: withParameters(
			workerParameters,
			durationParameter("in", "8s if absent"),
		),
		run: onMachines(reclaimMachine),
	},
	"faulty": {
		usage: `lets every task that starts on machines exit with cause "error" soon after it began to run; in a gang that task exits with "error",` +
			` the others with "peers"; tasks that run already go on`,
		parameters: workerParameters,
		run:        onMachines(func(worker *fakeWorker, _ Arguments) { worker.faulty = true }),
	},
	"repair": {
		usage:      "ends faulty",
		parameters: workerParameters,
		run:        onMachines(func(worker *fakeWorker, _ Arguments) { worker.faulty = false }),
	},
	"block_inbound_of": {
		usage: "lets nothing reach the machine of a task",
		parameters: []parameter{
			required(textParameter("task", "task")),
			durationParameter("for", "for good if absent"),
		},
		run: onMachines(blockInboundOf),
	},
	"block_inbound": {
		usage: "lets nothing reach machines",
		parameters: []parameter{
			textParameter("zone", "all zones if absent"),
			durationParameter("for", "5s if absent"),
		},
		run: acting(blockInbound),
	},
	"block_reports": {
		usage: "lets machines reach no controller, direct commands reach them",
		parameters: []parameter{
			textParameter("zone", "all zones if absent"),
			durationParameter("for", "5s if absent"),
		},
		run: acting(blockHeartbeats),
	},
	"unreachable_next": {
		usage:      "lets nothing reach the machines that come up next",
		parameters: []parameter{numberParameter("count", "1 if absent")},
		run: acting(func(world *World, arguments Arguments) {
			world.network.unreachableMachines += int(arguments.number("count", "1"))
		}),
	},
}

// onMachines makes a commandFunc of what is done to each machine that is named.
func onMachines(action func(worker *fakeWorker, arguments Arguments)) commandFunc {
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

// errNotOnMachine tells that the task that is to choose a machine is on none.
var errNotOnMachine = errors.New("not on a machine")

// selectWorkers finds the machines that a command names: machine=NAME, all that
// are up in zone=ZONE, or the one that task=REQ/N is on.
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

// workerOf finds the machine that a task is on.
func (world *World) workerOf(task string) *fakeWorker {
	for _, assignment := range world.checker.onMachines() {
		if assignment.name == task {
			return assignment.worker
		}
	}
	return nil
}

// reclaimMachine lets the cloud take a machine after a notice.
func reclaimMachine(worker *fakeWorker, arguments Arguments) {
	notice := arguments.duration("in", "8s")
	worker.reclaimAt, worker.changed = worker.world.now+notice, true
	worker.world.schedule(notice, func() { worker.world.cloud.terminate(worker.name) })
}

// blockInboundOf lets nothing reach a machine, for a while or for good.
func blockInboundOf(worker *fakeWorker, arguments Arguments) {
	worker.world.network.blockInbound(worker, true)
	if arguments.has("for") {
		worker.world.schedule(arguments.duration("for", "5s"), func() { worker.world.network.blockInbound(worker, false) })
	}
}

// runningWorkers lists the machines that are up in the zone that is named, or in all.
func (world *World) runningWorkers(arguments Arguments) (machines []*fakeWorker) {
	for _, worker := range world.sortedWorkers() {
		if zone, ok := arguments["zone"]; worker.up && (!ok || zone == worker.zone) {
			machines = append(machines, worker)
		}
	}
	return machines
}

// blockInbound lets nothing reach machines for a while.
func blockInbound(world *World, arguments Arguments) {
	for _, worker := range world.runningWorkers(arguments) {
		world.network.blockInboundFor(worker, arguments.duration("for", "5s"))
	}
}

// blockInboundFor lets nothing reach a machine for a while.
func (network *fakeNetwork) blockInboundFor(worker *fakeWorker, duration time.Duration) {
	network.blockInbound(worker, true)
	network.world.schedule(duration, func() { network.blockInbound(worker, false) })
}

// blockHeartbeats lets machines reach no controller for a while.
func blockHeartbeats(world *World, arguments Arguments) {
	for _, worker := range world.runningWorkers(arguments) {
		worker.blockHeartbeatsFor(arguments.duration("for", "5s"))
	}
}
