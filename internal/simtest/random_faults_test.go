package simtest

import "time"

// injectTwoFaults injects two random faults, the second one up to 3 seconds after the first.
func (world *World) injectTwoFaults() {
	world.injectRandomFault()
	world.Run(seconds(world.random.Float64() * 3))
	world.injectRandomFault()
}

// randomFault injects a fault that ends by itself, usually after the given duration. Faults
// of a single controller use the given one or the leader.
type randomFault func(world *World, process *controllerProcess, duration time.Duration)

// randomFaults are drawn with equal probability. Entries that are listed twice are drawn
// more often. New faults are added at the end, see World.faultKinds.
var randomFaults = [...]randomFault{
	restart, restart, disconnectState, disconnectWorkers, stateOutage, failMachine, cloudOutage, machinesNeverBoot,
	noFault, restartSeveral, blockInboundOfOne, isolateLeader, pauseController, lateWrites, delayHeartbeats, delayCommands,
	blockHeartbeatsOfSome, injectLeaderLossDuringOutage, injectLeaderLossDuringOutage, cancelSome, cancelAtCompletion, invalidRequests, churnLeaders, disconnectZone,
	restartAllAfterLease, blockInboundOfSome, slowState, blockWatch, restartRelayingControllers, restartRelayingControllers,
	repeatFrames, unknownFields, repeatStarts, repeatStarts,
}

// injectRandomFault injects one random fault, which ends by itself.
func (world *World) injectRandomFault() {
	process := world.controllers[world.random.IntN(len(world.controllers))]
	duration := seconds(0.1 + world.random.Float64()*20)
	world.extendFaults(duration)
	kinds := len(randomFaults)
	if world.faultKinds > 0 {
		kinds = world.faultKinds
	}
	randomFaults[world.random.IntN(kinds)](world, process, duration)
}

// noFault injects nothing, so that some faults occur alone.
func noFault(*World, *controllerProcess, time.Duration) {}

// bootAfter starts a controller after the given duration if it is down then.
func (world *World) bootAfter(process *controllerProcess, duration time.Duration) {
	world.schedule(duration, process.bootIfDown)
}

// restart kills a controller that is up and starts it again after a quarter of the duration.
func restart(world *World, process *controllerProcess, duration time.Duration) {
	if process.up {
		process.kill()
		world.bootAfter(process, duration/4)
	}
}

// restartSeveral kills random controllers and starts each again within 50 to 550 ms.
func restartSeveral(world *World, _ *controllerProcess, _ time.Duration) {
	for _, process := range world.controllers {
		if process.up && world.random.IntN(2) == 0 {
			process.kill()
			world.bootAfter(process, seconds(0.05+world.random.Float64()/2))
		}
	}
}

// restartAllAfterLease kills all controllers and starts them again 10.5 to 15.5 seconds later,
// so that all are down for longer than a lease.
func restartAllAfterLease(world *World, _ *controllerProcess, _ time.Duration) {
	for _, process := range world.controllers {
		process.kill()
		world.bootAfter(process, seconds(10.5+world.random.Float64()*5))
	}
}

// leaderOrGiven returns the leader with probability 1/2, and otherwise the given controller.
func (world *World) leaderOrGiven(process *controllerProcess) *controllerProcess {
	if other := world.leader(); other != nil && world.random.IntN(2) == 0 {
		return other
	}
	return process
}

// pauseController pauses the leader or another controller.
func pauseController(world *World, process *controllerProcess, duration time.Duration) {
	if process = world.leaderOrGiven(process); process.up && !process.paused {
		process.pause(duration/2, world.random.IntN(2) == 0)
	}
}

// isolateLeader isolates the leader.
func isolateLeader(world *World, _ *controllerProcess, duration time.Duration) {
	if process := world.leader(); process != nil {
		world.network.isolateFor(process, duration)
	}
}

// disconnectState disconnects a controller from the state service.
func disconnectState(world *World, process *controllerProcess, duration time.Duration) {
	world.network.setLinkCut(process.name, "state", true)
	world.schedule(duration, func() { world.network.setLinkCut(process.name, "state", false) })
}

// disconnectWorkers disconnects a controller from all workers.
func disconnectWorkers(world *World, process *controllerProcess, duration time.Duration) {
	setCut := func(enabled bool) {
		for _, worker := range world.sortedWorkers() {
			world.network.setLinkCut(process.name, worker.name, enabled)
		}
	}
	setCut(true)
	world.schedule(duration, func() { setCut(false) })
}

// disconnectZone isolates the workers of a zone and a controller for longer than the workers'
// leases last.
func disconnectZone(world *World, process *controllerProcess, duration time.Duration) {
	duration += seconds(10)
	world.extendFaults(duration)
	world.network.cutZone(process, []string{"a", "b"}[world.random.IntN(2)], duration)
}

// stateOutage makes the state service unavailable.
func stateOutage(world *World, _ *controllerProcess, duration time.Duration) {
	world.stateService.setOutage(true)
	world.schedule(duration, func() { world.stateService.setOutage(false) })
}

// slowState delays the answers of the state service by up to 4 seconds.
func slowState(world *World, _ *controllerProcess, duration time.Duration) {
	world.network.maxStateServiceDelay = seconds(world.random.Float64() * 4)
	world.schedule(duration, func() { world.network.maxStateServiceDelay = 0 })
}

// blockWatch leaves the watches of the leader or another controller unanswered.
func blockWatch(world *World, process *controllerProcess, duration time.Duration) {
	process = world.leaderOrGiven(process)
	process.watchBlocked = true
	world.schedule(duration, func() { process.watchBlocked = false })
}

// lateWrites leaves 30 % of the transactions without an answer and executes them late.
func lateWrites(world *World, _ *controllerProcess, duration time.Duration) {
	world.setShareFor(&world.network.lateWriteShare, 0.3, duration)
}

// unknownFields adds fields that controllers must ignore to half of the messages to them.
func unknownFields(world *World, _ *controllerProcess, duration time.Duration) {
	world.setShareFor(&world.network.unknownFieldShare, 0.5, duration)
}

// delayHeartbeats delays 30 % of the heartbeats.
func delayHeartbeats(world *World, _ *controllerProcess, duration time.Duration) {
	world.setShareFor(&world.network.delayedHeartbeatShare, 0.3, duration)
}

// delayCommands delays half of the direct commands or their answers.
func delayCommands(world *World, _ *controllerProcess, duration time.Duration) {
	world.setShareFor(&world.network.delayedCommandShare, 0.5, duration)
}

// repeatFrames delivers a late copy of 30 % of the frames between controllers.
func repeatFrames(world *World, _ *controllerProcess, duration time.Duration) {
	world.setShareFor(&world.network.copies.frames, 0.3, duration)
}

// failMachine lets a random machine with tasks crash, hang or be terminated by the cloud.
func failMachine(world *World, _ *controllerProcess, duration time.Duration) {
	assignments := world.checker.executingAssignments()
	if len(assignments) == 0 {
		return
	}
	worker := assignments[world.random.IntN(len(assignments))].worker
	switch world.random.IntN(3) {
	case 0:
		worker.crash()
	case 1:
		worker.hang(duration)
	default:
		world.cloud.terminate(worker.name)
	}
}

// blockInboundOfOne blocks all inbound packets of a random machine with tasks.
func blockInboundOfOne(world *World, _ *controllerProcess, duration time.Duration) {
	if assignments := world.checker.executingAssignments(); len(assignments) > 0 {
		world.network.blockInboundFor(assignments[world.random.IntN(len(assignments))].worker, duration)
	}
}

// blockInboundOfSome blocks all inbound packets of one machine or of all machines in a zone.
func blockInboundOfSome(world *World, _ *controllerProcess, duration time.Duration) {
	world.forRandomMachines(func(worker *fakeWorker) { world.network.blockInboundFor(worker, duration) })
}

// blockHeartbeatsOfSome blocks the heartbeats of one machine or of all machines in a zone.
func blockHeartbeatsOfSome(world *World, _ *controllerProcess, duration time.Duration) {
	world.forRandomMachines(func(worker *fakeWorker) { worker.blockHeartbeatsFor(duration) })
}

// cloudOutage makes the cloud's API unavailable.
func cloudOutage(world *World, _ *controllerProcess, duration time.Duration) {
	world.cloud.down = true
	world.schedule(duration, func() { world.cloud.down = false })
}

// machinesNeverBoot prevents the next one or two provisioned machines from booting.
func machinesNeverBoot(world *World, _ *controllerProcess, _ time.Duration) {
	world.cloud.bootFailures = 1 + world.random.IntN(2)
}

// injectLeaderLossDuringOutage is leaderLossDuringOutage as a randomFault.
func injectLeaderLossDuringOutage(world *World, _ *controllerProcess, _ time.Duration) {
	world.leaderLossDuringOutage()
}

// churnLeaders replaces the leader ten times in two minutes.
func churnLeaders(world *World, _ *controllerProcess, _ time.Duration) {
	world.changeLeaderRepeatedly(10, 2*time.Minute, "")
	world.extendFaults(2 * time.Minute)
}

// cancelSome cancels up to four running jobs and lets their machines hang.
func cancelSome(world *World, _ *controllerProcess, _ time.Duration) {
	hang := seconds(world.random.Float64() * 12)
	world.users.cancelRunningJobs(1+world.random.IntN(4), hang)
	world.extendFaults(hang)
}

// cancelAtCompletion cancels half of the jobs at the moment of their end.
func cancelAtCompletion(world *World, _ *controllerProcess, duration time.Duration) {
	world.setShareFor(&world.users.cancelAtEnd, 0.5, duration)
}

// invalidRequests makes users send invalid requests.
func invalidRequests(world *World, _ *controllerProcess, duration time.Duration) {
	if !world.users.invalidRequests {
		world.users.invalidRequests = true
		world.users.sendInvalidRequests()
		world.schedule(duration, func() { world.users.invalidRequests = false })
	}
}

// extendFaults records that a fault lasts for the given duration from now.
func (world *World) extendFaults(duration time.Duration) {
	world.faultsEndAt = max(world.faultsEndAt, world.now+duration)
}

// setShareFor sets a share for the given duration and resets it to zero afterwards.
func (world *World) setShareFor(share *float64, value float64, duration time.Duration) {
	*share = value
	world.schedule(duration, func() { *share = 0 })
}

// forRandomMachines calls action for a random machine or, with probability 1/3, for all
// machines of its zone.
func (world *World) forRandomMachines(action func(worker *fakeWorker)) {
	list := world.sortedWorkers()
	if len(list) == 0 {
		return
	}
	one, zone := list[world.random.IntN(len(list))], world.random.IntN(3) == 0
	for _, worker := range list {
		if worker == one || (zone && worker.zone == one.zone) {
			action(worker)
		}
	}
}
