package simtest

import (
	"errors"
	"strconv"
	"time"
)

var (
	controllerParameters = []parameter{required(controllerParameter("which controllers"))}
	shareParameters      = []parameter{numberParameter("share", "of all, 0 ends it")}
	workerParameters     = []parameter{textParameter("machine", "name of a machine"), textParameter("zone", "all machines of a zone"), textParameter("task", "the machine that this task is on")}
)

// controllerCommands bring faults to controllers.
var controllerCommands = map[string]command{
	"kill":  {"ends controllers", controllerParameters, onControllers((*controllerProcess).kill)},
	"boot":  {"starts controllers that are down", controllerParameters, onControllers((*controllerProcess).bootIfDown)},
	"deny":  {"lets the state service refuse controllers", controllerParameters, onControllers(func(process *controllerProcess) { process.denied = true })},
	"allow": {"ends deny", controllerParameters, onControllers(func(process *controllerProcess) { process.denied = false })},
	"block_watch": {"leaves controllers' requests for changes unanswered, their other requests are answered", controllerParameters,
		onControllers(func(process *controllerProcess) { process.watchBlocked = true })},
	"unblock_watch": {"ends block_watch", controllerParameters, onControllers(func(process *controllerProcess) { process.watchBlocked = false })},
	"isolate": {"cuts controllers off from the state service and each other, not from workers", controllerParameters,
		onControllers(func(process *controllerProcess) { process.world.network.setIsolated(process, true) })},
	"join": {"ends isolate", controllerParameters, onControllers(func(process *controllerProcess) { process.world.network.setIsolated(process, false) })},
	"pause": {"pauses controllers while their clocks run on", withParameters(controllerParameters, durationParameter("for", "2s if absent"),
		flagParameter("mid_step", "from when the next decision is made and not carried out")), acting(pauseControllers)},
	"churn": {"changes the leader repeatedly", []parameter{numberParameter("times", "10 if absent"), durationParameter("over", "in that time, 120s if absent"),
		choiceParameter("how", "drawn each time if absent", "kill", "deny", "isolate", "pause")},
		acting(func(world *World, arguments Arguments) {
			world.churn(int(arguments.number("times", "10")), arguments.duration("over", "120s"), arguments["how"])
		})},
}

// machineCommands bring faults to machines.
var machineCommands = map[string]command{
	"die":       {"ends machines without notice", workerParameters, onMachines(func(worker *fakeWorker, _ Arguments) { worker.crash() })},
	"hang":      {"lets machines hang", withParameters(workerParameters, durationParameter("for", "5s if absent")), onMachines(func(worker *fakeWorker, arguments Arguments) { worker.hang(arguments.duration("for", "5s")) })},
	"slow":      {"multiplies the run times of tasks that start on machines", withParameters(workerParameters, numberParameter("times", "4 if absent")), onMachines(func(worker *fakeWorker, arguments Arguments) { worker.slowdown = arguments.number("times", "4") })},
	"terminate": {"lets the cloud take machines without notice", workerParameters, onMachines(func(worker *fakeWorker, _ Arguments) { worker.world.cloud.terminate(worker.name) })},
	"reclaim":   {"lets the cloud take machines after a reclaim notice", withParameters(workerParameters, durationParameter("in", "8s if absent")), onMachines(reclaimMachine)},
	"faulty": {`lets every task that starts on machines exit with cause "error" soon after it began to run; in a gang that task exits with "error",` +
		` the others with "peers"; tasks that run already go on`, workerParameters, onMachines(func(worker *fakeWorker, _ Arguments) { worker.faulty = true })},
	"repair":           {"ends faulty", workerParameters, onMachines(func(worker *fakeWorker, _ Arguments) { worker.faulty = false })},
	"block_inbound_of": {"lets nothing reach the machine of a task", []parameter{required(textParameter("task", "task")), durationParameter("for", "for good if absent")}, onMachines(blockInboundOf)},
	"block_inbound":    {"lets nothing reach machines", []parameter{textParameter("zone", "all zones if absent"), durationParameter("for", "5s if absent")}, acting(blockInbound)},
	"block_reports":    {"lets machines reach no controller, direct commands reach them", []parameter{textParameter("zone", "all zones if absent"), durationParameter("for", "5s if absent")}, acting(blockReports)},
	"unreachable_next": {"lets nothing reach the machines that come up next", []parameter{numberParameter("count", "1 if absent")},
		acting(func(world *World, arguments Arguments) {
			world.network.unreachableMachines += int(arguments.number("count", "1"))
		})},
}

// networkCommands bring faults to the network.
var networkCommands = map[string]command{
	"cut": {"stops packets between controllers and another party", withParameters(controllerParameters, required(textParameter("from", "workers, state, cloud, user or a controller")), textParameter("zone", "only the workers of a zone"),
		numberParameter("refused", "share of requests to controllers over cut links that fail at once, 0 if absent: the others hang")), acting(func(world *World, arguments Arguments) { cutLinks(world, arguments, true) })},
	"heal":     {"ends cut", withParameters(controllerParameters, required(textParameter("from", "workers, state, cloud, user or a controller")), textParameter("zone", "only the workers of a zone")), acting(func(world *World, arguments Arguments) { cutLinks(world, arguments, false) })},
	"cut_zone": {"cuts a zone's workers and a controller off from everything else", withParameters(controllerParameters, required(textParameter("zone", "zone")), durationParameter("for", "20s if absent")), cutOffZone},
	"network": {"lets links lose packets and repeat requests late", []parameter{numberParameter("loss", "share of packets that are lost"), numberParameter("late", "share of requests that are carried out once more, late")}, acting(func(world *World, arguments Arguments) {
		world.network.lossShare, world.network.lateRepeatShare = arguments.number("loss", "0"), arguments.number("late", "0")
	})},
	"worker_sockets": {"limits the workers that a controller has sockets for", []parameter{required(numberParameter("count", "workers, 0 for no limit"))},
		acting(func(world *World, arguments Arguments) {
			world.network.workerSockets = int(arguments.number("count", "0"))
		})},
	"copies": {"lets copies of reports arrive late, at any controller", withParameters(shareParameters, durationParameter("within", "30s if absent")), acting(func(world *World, arguments Arguments) {
		world.network.duplicateShare, world.network.duplicateDelay = arguments.number("share", "0"), arguments.duration("within", "30s")
	})},
	"delay_reports": {"lets reports arrive seconds late, maybe elsewhere", shareParameters, acting(func(world *World, arguments Arguments) {
		world.network.delayedHeartbeats = arguments.number("share", "0")
	})},
	"delay_commands": {"lets direct commands or their answers arrive seconds late", shareParameters, acting(func(world *World, arguments Arguments) {
		world.network.delayedCommands = arguments.number("share", "0")
	})},
}

// raceCommands let requests of users meet other events.
var raceCommands = map[string]command{
	"cancel_at_end": {"cancels jobs at the moment when they end", shareParameters, acting(func(world *World, arguments Arguments) { world.users.cancelAtEnd = arguments.number("share", "0") })},
	"cancel_now": {"cancels running jobs and prints how many", []parameter{numberParameter("count", "1 if absent"), durationParameter("hang", "their machines hang for that long")}, printing(func(world *World, arguments Arguments) string {
		return strconv.Itoa(len(world.users.cancelNow(int(arguments.number("count", "1")), arguments.duration("hang", "0s"))))
	})},
	"invalid_requests": {"lets users send invalid requests", []parameter{durationParameter("for", "10s if absent")}, acting(sendInvalidFor)},
	"race": {"lets pairs of jobs meet, each at another moment, and tells whether each pair ended alike", withParameters(jobRangeParameters,
		choiceParameter("with", "what the cancellation of an upstream job meets, submit if absent", "submit", "done"), durationParameter("step", "10ms if absent"),
		durationParameter("within", "120s if absent"), flagParameter("both", "both ends must occur")), printing((*World).race)},
}

// onControllers makes a runner of what is done to each controller that is named.
func onControllers(action func(process *controllerProcess)) commandFunc {
	return acting(func(world *World, arguments Arguments) {
		for _, process := range world.selectControllers(arguments["node"]) {
			action(process)
		}
	})
}

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

// onMachines makes a runner of what is done to each machine that is named.
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

func reclaimMachine(worker *fakeWorker, arguments Arguments) {
	notice := arguments.duration("in", "8s")
	worker.reclaimAt, worker.changed = worker.world.now+notice, true
	worker.world.schedule(notice, func() { worker.world.cloud.terminate(worker.name) })
}

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

func blockInbound(world *World, arguments Arguments) {
	for _, worker := range world.runningWorkers(arguments) {
		world.network.blockInboundFor(worker, arguments.duration("for", "5s"))
	}
}

func (network *fakeNetwork) blockInboundFor(worker *fakeWorker, duration time.Duration) {
	network.blockInbound(worker, true)
	network.world.schedule(duration, func() { network.blockInbound(worker, false) })
}

func blockReports(world *World, arguments Arguments) {
	for _, worker := range world.runningWorkers(arguments) {
		worker.blockHeartbeatsFor(arguments.duration("for", "5s"))
	}
}

func cutLinks(world *World, arguments Arguments, enabled bool) {
	world.network.refusedWhenCut = arguments.number("refused", "0")
	for _, process := range world.selectControllers(arguments["node"]) {
		if arguments["from"] != "workers" {
			world.network.setLinkCut(process.name, arguments["from"], enabled)
			continue
		}
		for _, worker := range world.sortedWorkers() {
			if zone, ok := arguments["zone"]; !ok || zone == worker.zone {
				world.network.markLinkCut(process.name, worker.name, enabled)
			}
		}
	}
	if !enabled {
		world.network.releaseHeldPackets() // once: it goes through all that are held
	}
}

func cutOffZone(world *World, arguments Arguments, _ string) (string, error) {
	process, err := world.selectController(arguments)
	if err != nil {
		return "", err
	}
	world.network.cutZone(process, arguments["zone"], arguments.duration("for", "20s"))
	return "ok", nil
}

func sendInvalidFor(world *World, arguments Arguments) {
	world.users.invalidRequests = true
	world.users.sendInvalidRequests()
	world.schedule(arguments.duration("for", "10s"), func() { world.users.invalidRequests = false })
}
