package simtest

import "time"

// denyFor lets the state service refuse a controller for a while.
func (process *controllerProcess) denyFor(duration time.Duration) {
	process.denied = true
	process.world.schedule(duration, func() { process.denied = false })
}

// Ways in which a controller may cease to lead.
const (
	leaderKilled   = "kill"
	leaderDenied   = "deny"
	leaderIsolated = "isolate"
	leaderPaused   = "pause"
)

// leaderFaults are drawn with equal probability; what is there twice is to be more frequent.
var leaderFaults = []string{leaderKilled, leaderKilled, leaderDenied, leaderIsolated, leaderPaused}

// churn changes the leader so many times within that time, each time in the same way or,
// if that is "", in one that is drawn.
func (world *World) churn(times int, over time.Duration, way string) {
	interval := over / time.Duration(times)
	for i := range times {
		world.schedule(time.Duration(i)*interval, func() { world.replaceLeader(way, interval*3/4) })
	}
}

// replaceLeader brings a fault to the leader that lasts for that long at most.
func (world *World) replaceLeader(way string, duration time.Duration) {
	leader := world.leader()
	if leader == nil || !leader.up {
		return
	}
	if way == "" {
		way = leaderFaults[world.random.IntN(len(leaderFaults))]
	}
	switch way {
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
