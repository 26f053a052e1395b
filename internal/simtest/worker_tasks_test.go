package simtest

import (
	"io"
	"testing"
	"time"
)

// startOnAll starts one attempt of a job's tasks, each on a machine of its own.
func startOnAll(machines []*fakeWorker, attempt uint64) {
	for i, worker := range machines {
		worker.executeCommands([]taskCommand{{Verb: "start", Task: taskName("req-000001", i), Attempt: attempt}})
	}
}

// newTwoMachines returns a world whose only controller does nothing, with a job
// of two tasks and two machines, the first of them faulty.
func newTwoMachines(t *testing.T, shape string) (*World, []*fakeWorker) {
	t.Helper()
	world := New(1, 1, io.Discard)
	world.controllers[0].kill()
	world.users.registerJob(Arguments{"id": "req-000001", "shape": shape, "tasks": "2", "run": "3s", "image": "0s"})
	machines := []*fakeWorker{newWorker(world, smallMachine("i-a", "a")), newWorker(world, smallMachine("i-b", "b"))}
	if got := runCommand(t, world, "faulty", Arguments{"machine": "i-a"}); got != "ok" || !machines[0].faulty || machines[1].faulty {
		t.Fatalf("faulty: %s", got)
	}
	return world, machines
}

// exitCauses are what the two tasks ended with, or their phases.
func exitCauses(machines []*fakeWorker) (list [2]string) {
	for i, worker := range machines {
		if task := worker.assignments[taskName("req-000001", i)]; task != nil {
			list[i] = task.phase
			if task.phase == "exited" {
				list[i] = task.cause
			}
		}
	}
	return list
}

// TestFaultyMachine shows how tasks fail on a faulty machine.
func TestFaultyMachine(t *testing.T) {
	for shape, want := range map[string][2]string{
		shapeArray:  {causeError, causeDone},
		shapeDaemon: {causeError, taskRunning},
		shapeGang:   {causeError, causePeers},
	} {
		t.Run(shape, func(t *testing.T) {
			world, machines := newTwoMachines(t, shape)
			startOnAll(machines, 1)
			world.Run(5 * time.Second)
			if got := exitCauses(machines); got != want {
				t.Errorf("tasks ended with %v, want %v", got, want)
			}
			if got := runCommand(t, world, "attempts", Arguments{"id": "req-000001"}); got != "2" {
				t.Errorf("%s attempts, want 2", got)
			}
		})
	}
}

// TestRepairedMachine shows that a gang runs on a machine that was faulty once it is repaired.
func TestRepairedMachine(t *testing.T) {
	world, machines := newTwoMachines(t, shapeGang)
	startOnAll(machines, 1)
	world.Run(5 * time.Second)
	runCommand(t, world, "repair", Arguments{"machine": "i-a"})
	for _, worker := range machines {
		clear(worker.assignments)
	}
	startOnAll(machines, 2)
	world.Run(5 * time.Second)
	if got, want := exitCauses(machines), [2]string{causeDone, causeDone}; got != want {
		t.Errorf("after the repair tasks ended with %v, want %v", got, want)
	}
}

// TestStoppedCounts shows that a stop counts once, and not after a cancellation.
func TestStoppedCounts(t *testing.T) {
	world, machines := newTwoMachines(t, "daemon")
	runCommand(t, world, "repair", Arguments{"machine": "i-a"})
	startOnAll(machines, 1)
	world.Run(time.Second)
	stop := func(i int) {
		machines[i].executeCommands([]taskCommand{{Verb: "stop", Task: taskName("req-000001", i), Attempt: 1}})
	}
	stop(0)
	stop(0)
	world.checker.cancelRequests["req-000001"] = true
	stop(1)
	if got := runCommand(t, world, "stopped", Arguments{"id": "req-000001"}); got != "1" {
		t.Errorf("%s tasks were stopped, want 1", got)
	}
}

// TestMachineState shows a machine of the cloud from its start to its return.
func TestMachineState(t *testing.T) {
	world := New(1, 1, io.Discard)
	world.controllers[0].kill()
	world.cloud.serve("POST", machinesPath, []byte(`{"hire":"h","flavor":"small","yard":"a","number":2}`), func(int, any) {})
	if got := runCommand(t, world, "provisioned", Arguments{}); got != "2" {
		t.Errorf("%s machines provisioned, want 2", got)
	}
	state := func(want string) {
		t.Helper()
		if got := runCommand(t, world, "machine_state", Arguments{"machine": "i-000001"}); got != want {
			t.Errorf("the machine is %s, want %s", got, want)
		}
	}
	state("booting")
	world.Run(machineTypes["small"].boot)
	state("up")
	for _, worker := range world.workers {
		worker.crash()
	}
	state("failed")
	world.cloud.terminate("i-000001")
	state("gone")
}
