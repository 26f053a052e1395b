package simtest

import (
	"fmt"
	"testing"
	"time"
)

// causeTwoFaults causes two random faults that overlap.
func (world *World) causeTwoFaults() {
	world.causeRandomFault()
	world.Run(seconds(world.random.Float64() * 3))
	world.causeRandomFault()
}

// randomFault causes a fault of a controller, or another one, that ends after a while.
type randomFault func(world *World, process *controllerProcess, duration time.Duration)

// randomFaults are drawn with equal probability; those that are there twice are
// to be more frequent.
var randomFaults = [...]randomFault{
	restart, restart, loseState, loseWorkers, stateOutage, loseMachine, cloudOutage, machinesNeverBoot,
	noFault, restartSeveral, blockInboundOnce, isolateLeader, pauseOnce, lateWrites, delayHeartbeats, delayCommands,
	blockHeartbeatsOfSome, loseLeaderDuringOutage, loseLeaderDuringOutage, cancelSome, cancelEnding, invalidRequests, churnLeaders, loseZone,
	restartAllAfterLease, blockInboundOfSome, slowState, blockWatch,
}

// causeRandomFault causes one random fault, which ends by itself.
func (world *World) causeRandomFault() {
	process := world.controllers[world.random.IntN(len(world.controllers))]
	duration := seconds(0.1 + world.random.Float64()*20)
	world.extendFaults(duration)
	randomFaults[world.random.IntN(len(randomFaults))](world, process, duration)
}

// noFault leaves a fault without a second one.
func noFault(*World, *controllerProcess, time.Duration) {}

// bootAfter restarts a controller after a while, if it is down then.
func (world *World) bootAfter(process *controllerProcess, duration time.Duration) {
	world.schedule(duration, process.bootIfDown)
}

// restart restarts a controller that is up.
func restart(world *World, process *controllerProcess, duration time.Duration) {
	if process.up {
		process.kill()
		world.bootAfter(process, duration/4)
	}
}

// restartSeveral restarts several controllers within a fraction of a second.
func restartSeveral(world *World, _ *controllerProcess, _ time.Duration) {
	for _, process := range world.controllers {
		if process.up && world.random.IntN(2) == 0 {
			process.kill()
			world.bootAfter(process, seconds(0.05+world.random.Float64()/2))
		}
	}
}

// restartAllAfterLease lets all controllers be down for longer than the lease.
func restartAllAfterLease(world *World, _ *controllerProcess, _ time.Duration) {
	for _, process := range world.controllers {
		process.kill()
		world.bootAfter(process, seconds(10.5+world.random.Float64()*5))
	}
}

// leaderOr is the leader or, as often, the controller.
func (world *World) leaderOr(process *controllerProcess) *controllerProcess {
	if other := world.leader(); other != nil && world.random.IntN(2) == 0 {
		return other
	}
	return process
}

// pauseOnce pauses the leader or another controller.
func pauseOnce(world *World, process *controllerProcess, duration time.Duration) {
	if process = world.leaderOr(process); process.up && !process.paused {
		process.pause(duration/2, world.random.IntN(2) == 0)
	}
}

// isolateLeader isolates the leader.
func isolateLeader(world *World, _ *controllerProcess, duration time.Duration) {
	if process := world.leader(); process != nil {
		world.network.isolateFor(process, duration)
	}
}

// loseState cuts a controller off from the state service.
func loseState(world *World, process *controllerProcess, duration time.Duration) {
	world.network.setLinkCut(process.name, "state", true)
	world.schedule(duration, func() { world.network.setLinkCut(process.name, "state", false) })
}

// loseWorkers cuts a controller off from all workers.
func loseWorkers(world *World, process *controllerProcess, duration time.Duration) {
	cut := func(enabled bool) {
		for _, worker := range world.sortedWorkers() {
			world.network.setLinkCut(process.name, worker.name, enabled)
		}
	}
	cut(true)
	world.schedule(duration, func() { cut(false) })
}

// loseZone cuts a zone with workers and a controller off for longer than the
// lease.
func loseZone(world *World, process *controllerProcess, duration time.Duration) {
	duration += seconds(10)
	world.extendFaults(duration)
	world.network.cutZone(process, []string{"a", "b"}[world.random.IntN(2)], duration)
}

// stateOutage is an outage of the state service.
func stateOutage(world *World, _ *controllerProcess, duration time.Duration) {
	world.stateService.setOutage(true)
	world.schedule(duration, func() { world.stateService.setOutage(false) })
}

// slowState lets the state service answer slowly.
func slowState(world *World, _ *controllerProcess, duration time.Duration) {
	world.network.slowStateService = seconds(world.random.Float64() * 4)
	world.schedule(duration, func() { world.network.slowStateService = 0 })
}

// blockWatch leaves the watches of the leader or another controller unanswered.
func blockWatch(world *World, process *controllerProcess, duration time.Duration) {
	process = world.leaderOr(process)
	process.watchBlocked = true
	world.schedule(duration, func() { process.watchBlocked = false })
}

// lateWrites lets transactions be carried out late.
func lateWrites(world *World, _ *controllerProcess, duration time.Duration) {
	world.setShareFor(&world.network.lateWrites, 0.3, duration)
}

// delayHeartbeats lets heartbeats arrive late.
func delayHeartbeats(world *World, _ *controllerProcess, duration time.Duration) {
	world.setShareFor(&world.network.delayedHeartbeats, 0.3, duration)
}

// delayCommands lets direct commands or their answers arrive late.
func delayCommands(world *World, _ *controllerProcess, duration time.Duration) {
	world.setShareFor(&world.network.delayedCommands, 0.5, duration)
}

// loseMachine lets a machine with tasks crash, hang or be terminated.
func loseMachine(world *World, _ *controllerProcess, duration time.Duration) {
	assignments := world.checker.onMachines()
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

// blockInboundOnce lets nothing reach a machine with tasks.
func blockInboundOnce(world *World, _ *controllerProcess, duration time.Duration) {
	if assignments := world.checker.onMachines(); len(assignments) > 0 {
		world.network.blockInboundFor(assignments[world.random.IntN(len(assignments))].worker, duration)
	}
}

// blockInboundOfSome lets nothing reach one machine or those of a zone.
func blockInboundOfSome(world *World, _ *controllerProcess, duration time.Duration) {
	world.forRandomMachines(func(worker *fakeWorker) { world.network.blockInboundFor(worker, duration) })
}

// blockHeartbeatsOfSome lets one machine or those of a zone reach no controller.
func blockHeartbeatsOfSome(world *World, _ *controllerProcess, duration time.Duration) {
	world.forRandomMachines(func(worker *fakeWorker) { worker.blockHeartbeatsFor(duration) })
}

// cloudOutage is an outage of the cloud.
func cloudOutage(world *World, _ *controllerProcess, duration time.Duration) {
	world.cloud.down = true
	world.schedule(duration, func() { world.cloud.down = false })
}

// machinesNeverBoot lets the next one or two machines never boot.
func machinesNeverBoot(world *World, _ *controllerProcess, _ time.Duration) {
	world.cloud.bootFailures = 1 + world.random.IntN(2)
}

// loseLeaderDuringOutage causes leaderLossDuringOutage.
func loseLeaderDuringOutage(world *World, _ *controllerProcess, _ time.Duration) {
	world.leaderLossDuringOutage()
}

// churnLeaders changes the leader ten times in two minutes.
func churnLeaders(world *World, _ *controllerProcess, _ time.Duration) {
	world.churn(10, 2*time.Minute, "")
	world.extendFaults(2 * time.Minute)
}

// cancelSome cancels running jobs, whose machines hang.
func cancelSome(world *World, _ *controllerProcess, _ time.Duration) {
	hang := seconds(world.random.Float64() * 12)
	world.users.cancelNow(1+world.random.IntN(4), hang)
	world.extendFaults(hang)
}

// cancelEnding cancels jobs at the moment when they end.
func cancelEnding(world *World, _ *controllerProcess, duration time.Duration) {
	world.setShareFor(&world.users.cancelAtEnd, 0.5, duration)
}

// invalidRequests lets users send invalid requests.
func invalidRequests(world *World, _ *controllerProcess, duration time.Duration) {
	if !world.users.invalidRequests {
		world.users.invalidRequests = true
		world.users.sendInvalidRequests()
		world.schedule(duration, func() { world.users.invalidRequests = false })
	}
}

// extendFaults notes that a fault lasts for so long from now.
func (world *World) extendFaults(duration time.Duration) {
	world.faultsEndAt = max(world.faultsEndAt, world.now+duration)
}

// setShareFor sets a share of requests for a while.
func (world *World) setShareFor(share *float64, value float64, duration time.Duration) {
	*share = value
	world.schedule(duration, func() { *share = 0 })
}

// forRandomMachines does something to one machine or to all of a zone.
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

// leaderLossDuringOutage is the combination of faults that broke most: the state service refuses the leader
// alone, which may lose the other controllers too, others confirm cancellations,
// some machines hang, and then the state service is out for all for longer than
// a cancellation may take.
func (world *World) leaderLossDuringOutage() {
	process := world.leader()
	if process == nil {
		return
	}
	alone := seconds(0.5 + world.random.Float64()*8)
	out := seconds(world.config.Settings.Workers.CancelS + world.random.Float64()*20)
	world.extendFaults(alone + out + time.Second)
	if world.random.IntN(2) == 0 {
		process.denyFor(alone + seconds(world.random.Float64()))
	} else {
		world.network.isolateFor(process, alone+out)
	}
	var hang time.Duration
	if world.random.IntN(2) == 0 {
		hang = seconds(world.random.Float64() * 10)
	}
	world.schedule(seconds(world.random.Float64()*alone.Seconds()), func() { world.users.cancelNow(1+world.random.IntN(4), hang) })
	world.schedule(alone, func() {
		world.stateService.setOutage(true)
		world.schedule(out, func() { world.stateService.setOutage(false) })
	})
}

// TestSeedsThatBroke plays again what broke a rule in long trials.
func TestSeedsThatBroke(t *testing.T) {
	for _, seed := range []uint64{
		27732, // all machines terminated: every leader yields before its proof of silence
		25980, // a term begins before the watch cache holds what was stored before it
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomJobs(t, seed) })
	}
}
