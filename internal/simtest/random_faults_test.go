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
type randomFault func(world *World, process *controllerProcess, long time.Duration)

// randomFaults are drawn with equal probability; those that are there twice are
// to be more frequent.
var randomFaults = [...]randomFault{
	restart, restart, loseState, loseWorkers, stateOutage, loseMachine, cloudOutage, machinesNeverBoot,
	noFault, restartSeveral, blockInboundOnce, isolateLeader, pauseOnce, lateWrites, delayReports, delayCommands,
	blockReportsOfSome, gapOnce, gapOnce, cancelSome, cancelEnding, invalidRequests, churnLeaders, loseZone,
	restartAllAfterLease, blockInboundOfSome, slowState, blockWatch,
}

// causeRandomFault causes one random fault, which ends by itself.
func (world *World) causeRandomFault() {
	process := world.controllers[world.random.IntN(len(world.controllers))]
	long := seconds(0.1 + world.random.Float64()*20)
	world.extendFaults(long)
	randomFaults[world.random.IntN(len(randomFaults))](world, process, long)
}

func noFault(*World, *controllerProcess, time.Duration) {}

// bootAfter restarts a controller after a while, if it is down then.
func (world *World) bootAfter(process *controllerProcess, duration time.Duration) {
	world.schedule(duration, process.bootIfDown)
}

func restart(world *World, process *controllerProcess, long time.Duration) {
	if process.up {
		process.kill()
		world.bootAfter(process, long/4)
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

func pauseOnce(world *World, process *controllerProcess, long time.Duration) {
	if process = world.leaderOr(process); process.up && !process.paused {
		process.pause(long/2, world.random.IntN(2) == 0)
	}
}

func isolateLeader(world *World, _ *controllerProcess, long time.Duration) {
	if process := world.leader(); process != nil {
		world.network.isolateFor(process, long)
	}
}

func loseState(world *World, process *controllerProcess, long time.Duration) {
	world.network.setLinkCut(process.name, "state", true)
	world.schedule(long, func() { world.network.setLinkCut(process.name, "state", false) })
}

func loseWorkers(world *World, process *controllerProcess, long time.Duration) {
	cut := func(enabled bool) {
		for _, worker := range world.sortedWorkers() {
			world.network.setLinkCut(process.name, worker.name, enabled)
		}
	}
	cut(true)
	world.schedule(long, func() { cut(false) })
}

// loseZone cuts a zone with workers and a controller off for longer than the
// lease.
func loseZone(world *World, process *controllerProcess, long time.Duration) {
	long += seconds(10)
	world.extendFaults(long)
	world.network.cutZone(process, []string{"a", "b"}[world.random.IntN(2)], long)
}

func stateOutage(world *World, _ *controllerProcess, long time.Duration) {
	world.stateService.setOutage(true)
	world.schedule(long, func() { world.stateService.setOutage(false) })
}

func slowState(world *World, _ *controllerProcess, long time.Duration) {
	world.network.slowStateService = seconds(world.random.Float64() * 4)
	world.schedule(long, func() { world.network.slowStateService = 0 })
}

func blockWatch(world *World, process *controllerProcess, long time.Duration) {
	process = world.leaderOr(process)
	process.watchBlocked = true
	world.schedule(long, func() { process.watchBlocked = false })
}

func lateWrites(world *World, _ *controllerProcess, long time.Duration) {
	world.setShareFor(&world.network.lateWrites, 0.3, long)
}

func delayReports(world *World, _ *controllerProcess, long time.Duration) {
	world.setShareFor(&world.network.delayedHeartbeats, 0.3, long)
}

func delayCommands(world *World, _ *controllerProcess, long time.Duration) {
	world.setShareFor(&world.network.delayedCommands, 0.5, long)
}

// loseMachine lets a machine with tasks crash, hang or be terminated.
func loseMachine(world *World, _ *controllerProcess, long time.Duration) {
	assignments := world.checker.onMachines()
	if len(assignments) == 0 {
		return
	}
	worker := assignments[world.random.IntN(len(assignments))].worker
	switch world.random.IntN(3) {
	case 0:
		worker.crash()
	case 1:
		worker.hang(long)
	default:
		world.cloud.terminate(worker.name)
	}
}

func blockInboundOnce(world *World, _ *controllerProcess, long time.Duration) {
	if assignments := world.checker.onMachines(); len(assignments) > 0 {
		world.network.blockInboundFor(assignments[world.random.IntN(len(assignments))].worker, long)
	}
}

func blockInboundOfSome(world *World, _ *controllerProcess, long time.Duration) {
	world.forRandomMachines(func(worker *fakeWorker) { world.network.blockInboundFor(worker, long) })
}

func blockReportsOfSome(world *World, _ *controllerProcess, long time.Duration) {
	world.forRandomMachines(func(worker *fakeWorker) { worker.blockHeartbeatsFor(long) })
}

func cloudOutage(world *World, _ *controllerProcess, long time.Duration) {
	world.cloud.down = true
	world.schedule(long, func() { world.cloud.down = false })
}

func machinesNeverBoot(world *World, _ *controllerProcess, _ time.Duration) {
	world.cloud.bootFailures = 1 + world.random.IntN(2)
}

func gapOnce(world *World, _ *controllerProcess, _ time.Duration) { world.leaderLossDuringOutage() }

func churnLeaders(world *World, _ *controllerProcess, _ time.Duration) {
	world.churn(10, 2*time.Minute, "")
	world.extendFaults(2 * time.Minute)
}

func cancelSome(world *World, _ *controllerProcess, _ time.Duration) {
	hang := seconds(world.random.Float64() * 12)
	world.users.cancelNow(1+world.random.IntN(4), hang)
	world.extendFaults(hang)
}

func cancelEnding(world *World, _ *controllerProcess, long time.Duration) {
	world.setShareFor(&world.users.cancelAtEnd, 0.5, long)
}

func invalidRequests(world *World, _ *controllerProcess, long time.Duration) {
	if !world.users.invalidRequests {
		world.users.invalidRequests = true
		world.users.sendInvalidRequests()
		world.schedule(long, func() { world.users.invalidRequests = false })
	}
}

// extendFaults notes that a fault lasts for so long from now.
func (world *World) extendFaults(duration time.Duration) {
	world.faultsEndAt = max(world.faultsEndAt, world.now+duration)
}

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
		25980, // a term begins before the replica holds what was stored before it
	} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomJobs(t, seed) })
	}
}
