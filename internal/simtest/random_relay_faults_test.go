package simtest

import (
	"fmt"
	"time"
)

// restartRelayingControllers disconnects the leader from all workers, so that other controllers
// relay their heartbeats, and restarts these controllers again and again. Each is back within a
// second, while the leader may still hold responses to heartbeats that the earlier process has
// relayed. Idle machines and jobs let the leader send start commands meanwhile.
func restartRelayingControllers(world *World, _ *controllerProcess, duration time.Duration) {
	leader := world.leader()
	if leader == nil {
		return
	}
	duration += 2 * heartbeatTimeout
	world.extendFaults(duration)
	for range 3 {
		world.cloud.addMachine("small", []string{"a", "b"}[world.random.IntN(2)], false, 0)
	}
	disconnectWorkers(world, leader, duration)
	world.restartOthersUntil(leader, world.now+duration)
}

// restartOthersUntil restarts all controllers but one at random times until the given time, and
// lets a user submit a job while they are back for a moment.
func (world *World) restartOthersUntil(leader *controllerProcess, end time.Duration) {
	world.schedule(seconds(1+world.random.Float64()*2), func() {
		if world.now >= end {
			return
		}
		for _, process := range world.controllers {
			if process != leader && process.up {
				process.kill()
				world.bootAfter(process, seconds(0.05+world.random.Float64()))
			}
		}
		world.schedule(seconds(0.5+world.random.Float64()*2), world.submitFaultJob)
		world.restartOthersUntil(leader, end)
	})
}

// firstFaultJob is the number of the first job that a random fault submits.
const firstFaultJob = 900_000

// submitFaultJob submits an array of short tasks in the background.
func (world *World) submitFaultJob() {
	id := jobID(firstFaultJob + len(world.faultJobs))
	world.faultJobs = append(world.faultJobs, id)
	world.users.submitRecorded(Arguments{"id": id, "tasks": fmt.Sprint(1 + world.random.IntN(6)), "run": "2s"})
}

// acceptedFaultJobs waits until the submissions of random faults are decided and returns the
// jobs that were accepted.
func (world *World) acceptedFaultJobs() (accepted []string) {
	world.users.waitForRecordedAnswers(2 * userRetry)
	for _, id := range world.faultJobs {
		if world.checker.acknowledgedPhase[id] == "" {
			world.users.Poll(id) // its user stopped retrying, but the job may have been accepted
		}
		if world.checker.acknowledgedPhase[id] != "" {
			accepted = append(accepted, id)
		}
	}
	return accepted
}
