package simtest

import "time"

// leaderLossDuringOutage injects the combination of faults that caused the most violations
// in the past. First the state service rejects only the leader, or the leader is isolated from
// the other controllers, too. Other controllers acknowledge cancellations and some machines
// hang meanwhile. Then the state service is unavailable to all controllers for longer than
// a cancellation may take.
func (world *World) leaderLossDuringOutage() {
	process := world.leader()
	if process == nil {
		return
	}
	leaderOnly := seconds(0.5 + world.random.Float64()*8)
	outage := seconds(world.config.Settings.Workers.CancelS + world.random.Float64()*20)
	world.extendFaults(leaderOnly + outage + time.Second)
	if world.random.IntN(2) == 0 {
		process.denyFor(leaderOnly + seconds(world.random.Float64()))
	} else {
		world.network.isolateFor(process, leaderOnly+outage)
	}
	var hang time.Duration
	if world.random.IntN(2) == 0 {
		hang = seconds(world.random.Float64() * 10)
	}
	world.schedule(seconds(world.random.Float64()*leaderOnly.Seconds()), func() { world.users.cancelRunningJobs(1+world.random.IntN(4), hang) })
	world.schedule(leaderOnly, func() {
		world.stateService.setOutage(true)
		world.schedule(outage, func() { world.stateService.setOutage(false) })
	})
}
