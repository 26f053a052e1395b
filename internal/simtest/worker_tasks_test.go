package simtest

import (
	"io"
	"testing"
	"time"
)

// startOnAll starts one attempt of each task of the job, each task on its own machine.
func startOnAll(machines []*fakeWorker, attempt uint64) {
	for i, worker := range machines {
		worker.executeCommands([]taskCommand{{Verb: "start", Task: taskName("req-000001", i), Attempt: attempt}})
	}
}

// newTwoMachines returns a world whose only controller is down, with a job of two tasks and
// two machines, of which the first is faulty.
func newTwoMachines(t *testing.T, shape string) (*World, []*fakeWorker) {
	t.Helper()
	world := New(1, 1, io.Discard)
	world.controllers[0].kill()
	world.users.registerJob(Arguments{"id": "req-000001", "shape": shape, "tasks": "2", "run": "3s", "image": "0s"})
	machines := []*fakeWorker{newWorker(world, smallMachine("i-a", "a")), newWorker(world, smallMachine("i-b", "b"))}
	if got := runCommand(t, world, "faulty", Arguments{"machine": "i-a"}); got != "ok" || !machines[0].faulty || machines[1].faulty {
		t.Fatalf("command faulty returned %q, want ok and only machine i-a faulty", got)
	}
	return world, machines
}

// exitCauses returns the exit cause of each of the two tasks, or its phase if it has not exited.
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

// TestFaultyMachine checks that every task on a faulty machine exits with an error, and that the
// other tasks of a gang then lose their peer.
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
				t.Errorf("exit causes are %v, want %v", got, want)
			}
			if got := runCommand(t, world, "attempts", Arguments{"id": "req-000001"}); got != "2" {
				t.Errorf("job has %s attempts, want 2", got)
			}
		})
	}
}

// TestRepairedMachine checks that a gang completes on a machine that was faulty and has been
// repaired.
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
		t.Errorf("exit causes after the repair are %v, want %v", got, want)
	}
}

// TestStoppedCounts checks that a repeated stop command is counted once, and that a stop after
// a cancellation is not counted.
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
		t.Errorf("command stopped returned %s, want 1", got)
	}
}

// TestMachineState checks the states of a machine from its provisioning to its termination.
func TestMachineState(t *testing.T) {
	world := New(1, 1, io.Discard)
	world.controllers[0].kill()
	world.cloud.serve("POST", machinesPath, []byte(`{"hire":"h","flavor":"small","yard":"a","number":2}`), func(int, any) {})
	if got := runCommand(t, world, "provisioned", Arguments{}); got != "2" {
		t.Errorf("cloud provisioned %s machines, want 2", got)
	}
	state := func(want string) {
		t.Helper()
		if got := runCommand(t, world, "machine_state", Arguments{"machine": "i-000001"}); got != want {
			t.Errorf("state of machine i-000001 is %s, want %s", got, want)
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
