package simtest

import "time"

// denyFor makes the state service reject all requests of the controller for a duration.
func (process *controllerProcess) denyFor(duration time.Duration) {
	process.denied = true
	process.world.schedule(duration, func() { process.denied = false })
}

// Faults that make a leader lose its leadership.
const (
	leaderKilled   = "kill"
	leaderDenied   = "deny"
	leaderIsolated = "isolate"
	leaderPaused   = "pause"
)

// leaderFaults are drawn with equal probability. A fault that is listed twice is drawn twice
// as often.
var leaderFaults = []string{leaderKilled, leaderKilled, leaderDenied, leaderIsolated, leaderPaused}

// changeLeaderRepeatedly forces a number of leader changes, spread evenly over a duration. Each change is
// caused by the given fault, or by a random one if the fault is empty.
func (world *World) changeLeaderRepeatedly(times int, over time.Duration, fault string) {
	interval := over / time.Duration(times)
	for i := range times {
		world.schedule(time.Duration(i)*interval, func() { world.replaceLeader(fault, interval*3/4) })
	}
}

// replaceLeader injects a fault into the leader that lasts for at most the given duration.
// An empty fault selects a random one.
func (world *World) replaceLeader(fault string, duration time.Duration) {
	leader := world.leader()
	if leader == nil || !leader.up {
		return
	}
	if fault == "" {
		fault = leaderFaults[world.random.IntN(len(leaderFaults))]
	}
	switch fault {
	case leaderKilled:
		leader.kill()
		world.schedule(world.randomDuration(50*time.Millisecond, duration/2), leader.bootIfDown)
	case leaderDenied:
		leader.denyFor(duration)
	case leaderIsolated:
		world.network.isolateFor(leader, duration)
	case leaderPaused:
		if !leader.paused {
			leader.pause(duration, world.random.IntN(2) == 0)
		}
	}
}
