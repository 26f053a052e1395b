package simtest

import "time"

// repeatStarts delivers late copies of the messages of every channel that brings a start command
// to a machine, and of the messages that cause one: heartbeats, which may reach another
// controller, relays and the leader's responses to them, and responses to heartbeats. Direct
// commands are repeated as well. Meanwhile controllers end and are back within a second.
func repeatStarts(world *World, _ *controllerProcess, duration time.Duration) {
	duration += 2 * heartbeatTimeout
	world.extendFaults(duration + maxRepeatDelay)
	world.network.copies = copyAll(0.5)
	world.schedule(duration, func() { world.network.copies = usualCopies })
	world.restartOneUntil(world.now + duration)
}

// restartOneUntil restarts a random controller at random times until the given time, and lets a
// user submit a job meanwhile.
func (world *World) restartOneUntil(end time.Duration) {
	world.schedule(seconds(1+world.random.Float64()*4), func() {
		if world.now >= end {
			return
		}
		if process := world.leaderOrGiven(world.randomController()); process.up {
			process.kill()
			world.bootAfter(process, seconds(0.05+world.random.Float64()/2))
		}
		world.submitFaultJob()
		world.restartOneUntil(end)
	})
}
