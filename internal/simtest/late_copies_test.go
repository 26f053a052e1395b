package simtest

import (
	"fmt"
	"testing"
	"time"

	"lugward/internal/config"
)

// lateCopyCases are what may happen to a task between its start and the arrival of late copies of
// the start command. Each acts on the job req-000001.
var lateCopyCases = []struct {
	name    string
	job     Arguments
	between func(world *World)
}{
	{"runs on", Arguments{"run": "300s"}, func(*World) {}},
	{"done", Arguments{"run": "2s"}, func(world *World) { world.Run(4 * time.Second) }},
	{"cancelled", Arguments{"run": "300s"}, cancelFirstJob},
	{"service cancelled", Arguments{"shape": shapeDaemon}, cancelFirstJob},
	{"gang cancelled", Arguments{"shape": shapeGang, "run": "300s"}, cancelFirstJob},
	{"moved for a more important job", Arguments{"run": "300s", "priority": "idle", "checkpoint": "2s"}, preemptFirstJob},
	{"gang moved for a more important job", Arguments{"shape": shapeGang, "run": "300s", "priority": "idle", "checkpoint": "2s"}, preemptFirstJob},
	{"moved, then cancelled", Arguments{"run": "300s", "priority": "idle", "checkpoint": "2s"}, func(world *World) {
		preemptFirstJob(world)
		cancelFirstJob(world)
	}},
	{"machine lost its lease", Arguments{"run": "300s"}, func(world *World) {
		for _, worker := range world.sortedWorkers()[:2] {
			world.network.blockInboundFor(worker, 14*time.Second)
		}
		world.Run(16 * time.Second)
	}},
	{"machine hung", Arguments{"run": "300s"}, func(world *World) {
		for _, worker := range world.sortedWorkers()[:2] {
			worker.hang(8 * time.Second)
		}
		world.Run(2 * time.Second)
	}},
}

// cancelFirstJob cancels the job.
func cancelFirstJob(world *World) { world.users.Cancel("req-000001") }

// preemptFirstJob submits a job that takes the machines of the first one.
func preemptFirstJob(world *World) {
	world.users.Submit(Arguments{"id": "req-000009", "tasks": "3", "cpus": "3", "run": "20s", "priority": "production", "image": "100ms"})
	world.Run(8 * time.Second)
}

// TestLateCopiesOfStartsStartNothing guards against tasks that run twice, or run after their
// cancellation, because late copies of start commands, or of the messages that cause one, arrive
// after the command was executed. Controllers are back within a second meanwhile.
func TestLateCopiesOfStartsStartNothing(t *testing.T) {
	t.Parallel()
	for _, test := range lateCopyCases {
		for _, relayed := range []bool{false, true} {
			for seed := uint64(1); seed <= 3; seed++ {
				t.Run(fmt.Sprintf("%s/relayed=%v/%d", test.name, relayed, seed), func(t *testing.T) {
					t.Parallel()
					runLateCopies(t, seed, relayed, test.job, test.between)
				})
			}
		}
	}
}

// runLateCopies starts the tasks of a job while every message is repeated late, lets something
// happen to them, and restarts controllers while the copies arrive.
func runLateCopies(t *testing.T, seed uint64, relayed bool, job Arguments, between func(world *World)) {
	t.Helper()
	world := NewWith(Options{Controllers: 3, Seed: seed, Log: controllerLog(), Tune: func(platform *config.Platform) {
		platform.Settings.Teams[0].GPUsMax = 0
	}})
	world.watchInvariants()
	for _, name := range []string{"small", "big", "gpu"} {
		runCommand(t, world, "capacity", Arguments{"type": name, "count": "0"})
	}
	for range 4 {
		world.cloud.addMachine("small", "a", false, 0)
	}
	world.Run(5 * time.Second)
	if leader := world.leader(); relayed {
		disconnectWorkers(world, leader, 40*time.Second)
		world.Run(8 * time.Second)
	}
	world.network.copies = copyAll(1)
	arguments := Arguments{"id": "req-000001", "tasks": "3", "cpus": "2", "image": "100ms"}
	for key, value := range job {
		arguments[key] = value
	}
	if status, phase := world.users.Submit(arguments); !isAccepted(status) {
		t.Fatalf("submission got status %d, phase %q, want it accepted", status, phase)
	}
	if !world.runUntil(10*time.Second, func() bool { return world.checker.starts >= 3 }) {
		t.Fatalf("%d tasks have started, want 3", world.checker.starts)
	}
	between(world)
	for range 6 {
		world.restartForAMoment(world.leader())
		world.Run(3 * time.Second)
		world.restartForAMoment(world.randomController())
		world.Run(2 * time.Second)
	}
	world.network.endFaults()
	world.Run(maxRepeatDelay)
	if world.network.startCopies == 0 {
		t.Error("no copy of a start command has arrived, want some")
	}
	if verdict := world.Verdict(); verdict != "kept" {
		t.Errorf("invariants violated:\n%s", verdict)
	}
}

// restartForAMoment kills a controller, if there is one, and starts it again within a second.
func (world *World) restartForAMoment(process *controllerProcess) {
	if process != nil && process.up {
		process.kill()
		world.bootAfter(process, seconds(0.05+world.random.Float64()*0.9))
	}
}
