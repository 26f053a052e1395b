package simtest

import (
	"fmt"
	"testing"
	"time"

	"lugward/internal/config"
)

// cancellationPath is a way in which a leader that does not know of a cancellation could still
// start tasks of the job.
type cancellationPath struct {
	name    string
	job     Arguments // in addition to the ID and the number of tasks
	relayed bool      // whether the other controllers relay the heartbeats of all workers
	fault   func(world *World, leader *controllerProcess)
}

// cancelledJobTasks is the number of tasks of the job that is cancelled, one for each machine.
const cancelledJobTasks = 6

// denied makes the state service reject the leader for a duration.
func denied(duration time.Duration) func(*World, *controllerProcess) {
	return func(_ *World, leader *controllerProcess) { leader.denyFor(duration) }
}

var cancellationPaths = []cancellationPath{
	{name: "leader refused for a second", fault: denied(time.Second)},
	{name: "leader refused for good", fault: denied(time.Minute)},
	{name: "leader refused, gang", job: Arguments{"shape": shapeGang}, fault: denied(time.Minute)},
	{name: "leader refused, service", job: Arguments{"shape": shapeDaemon}, fault: denied(time.Minute)},
	{name: "leader refused, downstream job", job: Arguments{"awaits": "req-000003"}, fault: denied(time.Minute)},
	{name: "leader's reads unanswered, its lease renewed", fault: func(_ *World, leader *controllerProcess) {
		leader.watchBlocked = true
	}},
	{name: "leader without state service and peers", fault: func(world *World, leader *controllerProcess) {
		world.network.isolateFor(leader, 20*time.Second)
	}},
	{name: "leader stands still, then answers what waited", fault: func(_ *World, leader *controllerProcess) {
		leader.pause(2500*time.Millisecond, false)
	}},
	{name: "leader stands still after a decision", fault: func(_ *World, leader *controllerProcess) {
		leader.pause(2500*time.Millisecond, true)
	}},
	{name: "leader refused, heartbeats relayed", relayed: true, fault: denied(time.Minute)},
	{name: "leader refused, gang, heartbeats relayed", job: Arguments{"shape": shapeGang}, relayed: true, fault: denied(time.Minute)},
	{name: "leader refused, heartbeats and responses late", fault: func(world *World, leader *controllerProcess) {
		world.network.delayedHeartbeatShare = 0.5
		leader.denyFor(time.Minute)
	}},
	{name: "leader refused, no frames between controllers", fault: func(world *World, leader *controllerProcess) {
		for _, process := range world.controllers {
			for _, other := range world.controllers {
				world.network.droppedLinks[link{process.name, other.name}] = true
			}
		}
		leader.denyFor(time.Minute)
	}},
	{name: "leader back within a second", fault: func(world *World, leader *controllerProcess) {
		leader.kill()
		world.bootAfter(leader, 400*time.Millisecond)
	}},
	{name: "slow state service", fault: func(world *World, _ *controllerProcess) {
		world.network.maxStateServiceDelay = 1200 * time.Millisecond
	}},
	{name: "no fault", fault: func(*World, *controllerProcess) {}},
}

// TestNoStartCommandAfterConfirmedCancellation guards against start commands of a leader whose
// view is older than a cancellation that another controller has confirmed (review case 13).
func TestNoStartCommandAfterConfirmedCancellation(t *testing.T) {
	t.Parallel()
	for _, path := range cancellationPaths {
		for seed := uint64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprintf("%s/%d", path.name, seed), func(t *testing.T) {
				t.Parallel()
				runCancellation(t, path, seed)
			})
		}
	}
}

// runCancellation cancels a job at a follower when all of its tasks are assigned and some have not
// been started, at the moment at which the fault of the path begins. The user also polls all
// controllers.
func runCancellation(t *testing.T, path cancellationPath, seed uint64) {
	t.Helper()
	world := newWorldWithBusyMachines(t, seed)
	leader := world.leader()
	if path.relayed {
		disconnectWorkers(world, leader, time.Minute)
		world.Run(8 * time.Second)
	}
	job := Arguments{"id": "req-000002", "tasks": fmt.Sprint(cancelledJobTasks), "run": "30s", "image": "100ms"}
	for key, value := range path.job {
		job[key] = value
	}
	if status, phase := world.users.Submit(job); !isAccepted(status) {
		t.Fatalf("submission got status %d, phase %q, want it accepted", status, phase)
	}
	if !world.runUntil(5*time.Second, func() bool { return world.assignedTasks("req-000002") == cancelledJobTasks }) {
		t.Fatalf("%d tasks are assigned after 5 s, want %d", world.assignedTasks("req-000002"), cancelledJobTasks)
	}
	if commanded := world.commandedTasks("req-000002"); commanded >= cancelledJobTasks {
		t.Fatalf("%d tasks were commanded to start before the cancellation, want fewer than %d", commanded, cancelledJobTasks)
	}
	path.fault(world, leader)
	world.users.entryController = world.controllers[(leader.index+1)%len(world.controllers)]
	world.pollEverywhere("req-000002", 8*time.Second)
	begin := world.now
	if status, phase := world.users.Cancel("req-000002"); status != 200 || phase != jobCancelled {
		t.Errorf("cancellation got status %d, phase %q, want 200 and cancelled", status, phase)
	}
	if took := world.now - begin; took >= userCallTimeout {
		t.Errorf("cancellation was confirmed after %s, want less than the %s for which users wait", took, userCallTimeout)
	}
	world.Run(15 * time.Second)
	if verdict := world.Verdict(); verdict != "kept" {
		t.Errorf("invariants violated:\n%s", verdict)
	}
}

// newWorldWithBusyMachines returns a world with a running task on each machine, so that the
// leader answers heartbeats at once, and with a job that is done.
func newWorldWithBusyMachines(t *testing.T, seed uint64) *World {
	t.Helper()
	world := NewWith(Options{Controllers: 3, Seed: seed, Log: controllerLog(), Tune: func(platform *config.Platform) {
		platform.Settings.Workers.HeartbeatS = 3
		platform.Settings.Teams[0].GPUsMax = 0
	}})
	world.watchInvariants()
	for _, name := range []string{"small", "big", "gpu"} {
		runCommand(t, world, "capacity", Arguments{"type": name, "count": "0"})
	}
	for range cancelledJobTasks {
		world.cloud.addMachine("small", "a", false, 0)
	}
	world.Run(2 * time.Second)
	world.users.entryController = world.controllers[1]
	for _, job := range []Arguments{
		{"id": "req-000001", "tasks": fmt.Sprint(cancelledJobTasks), "run": "300s", "cpus": "3", "image": "100ms"},
		{"id": "req-000003", "tasks": "1", "run": "1s", "cpus": "1", "image": "100ms"},
	} {
		if status, phase := world.users.Submit(job); !isAccepted(status) {
			t.Fatalf("submission got status %d, phase %q, want it accepted", status, phase)
		}
	}
	world.Run(15 * time.Second)
	if _, phase := world.users.Poll("req-000003"); phase != jobDone {
		t.Fatalf("the first job has phase %q, want done", phase)
	}
	return world
}

// runUntil runs the world until a condition holds, for at most the given duration. It reports
// whether the condition holds.
func (world *World) runUntil(limit time.Duration, condition func() bool) bool {
	for end := world.now + limit; !condition() && world.now < end; {
		world.Run(10 * time.Millisecond)
	}
	return condition()
}

// assignedTasks returns the number of tasks of a job that run records have assigned to machines.
func (world *World) assignedTasks(id string) (count int) {
	for attempt := range world.checker.assignedMachine {
		if attempt.job() == id {
			count++
		}
	}
	return count
}

// commandedTasks returns the number of tasks of a job that controllers have commanded to start.
func (world *World) commandedTasks(id string) (count int) {
	for attempt := range world.checker.startGivenAt {
		if attempt.job() == id {
			count++
		}
	}
	return count
}

// pollEverywhere polls a job at every controller several times a second for a duration.
func (world *World) pollEverywhere(id string, duration time.Duration) {
	for _, process := range world.controllers {
		for at := time.Duration(0); at < duration; at += 300 * time.Millisecond {
			world.schedule(at, func() {
				sentAt := world.now
				world.network.request(process, pollRequest(id), func(status int, body []byte) {
					world.checker.checkAnswer(sentAt, id, status, phaseIn(body))
				})
			})
		}
	}
}
