package simtest

import (
	"io"
	"testing"
	"time"
)

// startOn starts one attempt of a job's tasks, each on a machine of its own.
func startOn(machines []*worker, attempt uint64) {
	for i, k := range machines {
		k.execute([]order{{Verb: "start", Task: "req-000001/" + string(rune('0'+i)), Attempt: attempt}})
	}
}

// twoMachines returns a world whose only controller does nothing, with a job
// of two tasks and two machines, the first of them faulty.
func twoMachines(t *testing.T, shape string) (*World, []*worker) {
	w := New(1, 1, io.Discard)
	w.nodes[0].kill()
	w.Body(Args{"id": "req-000001", "shape": shape, "tasks": "2", "run": "3s", "image": "0s"})
	machines := []*worker{newWorker(w, "i-a", "i-a", "small", "a", false), newWorker(w, "i-b", "i-b", "small", "b", false)}
	if got := do(t, w, "faulty", Args{"machine": "i-a"}); got != "ok" || !machines[0].faulty || machines[1].faulty {
		t.Fatalf("faulty: %s", got)
	}
	return w, machines
}

// causes are what the two tasks ended with, or their phases.
func causes(machines []*worker) (list [2]string) {
	for i, k := range machines {
		if task := k.tasks["req-000001/"+string(rune('0'+i))]; task != nil {
			list[i] = task.phase
			if task.phase == "exited" {
				list[i] = task.cause
			}
		}
	}
	return list
}

// TestFaultyMachine shows how tasks fail on a faulty machine, and that it runs
// them again once it is repaired.
func TestFaultyMachine(t *testing.T) {
	for shape, want := range map[string][2]string{"array": {"error", "done"}, "daemon": {"error", "running"}, "gang": {"error", "peers"}} {
		w, machines := twoMachines(t, shape)
		startOn(machines, 1)
		w.Run(5 * time.Second)
		if got := causes(machines); got != want {
			t.Errorf("%s: tasks ended with %v, want %v", shape, got, want)
		}
		if got := do(t, w, "attempts", Args{"id": "req-000001"}); got != "2" {
			t.Errorf("%s: %s attempts, want 2", shape, got)
		}
		if shape != "gang" {
			continue
		}
		do(t, w, "repair", Args{"machine": "i-a"})
		for _, k := range machines {
			clear(k.tasks)
		}
		startOn(machines, 2)
		w.Run(5 * time.Second)
		if got, want := causes(machines), [2]string{"done", "done"}; got != want {
			t.Errorf("after the repair tasks ended with %v, want %v", got, want)
		}
	}
}

// TestStoppedCounts shows that a stop counts once, and not after a cancellation.
func TestStoppedCounts(t *testing.T) {
	w, machines := twoMachines(t, "daemon")
	do(t, w, "repair", Args{"machine": "i-a"})
	startOn(machines, 1)
	w.Run(time.Second)
	stop := func(i int) {
		machines[i].execute([]order{{Verb: "stop", Task: "req-000001/" + string(rune('0'+i)), Attempt: 1}})
	}
	stop(0)
	stop(0)
	w.check.asked["req-000001"] = true
	stop(1)
	if got := do(t, w, "stopped", Args{"id": "req-000001"}); got != "1" {
		t.Errorf("%s tasks were stopped, want 1", got)
	}
}

// TestMachineState shows a machine of the cloud from its start to its return.
func TestMachineState(t *testing.T) {
	w := New(1, 1, io.Discard)
	w.nodes[0].kill()
	w.cloud.serve("POST", "/rentals", []byte(`{"hire":"h","flavor":"small","yard":"a","number":2}`), func(int, any) {})
	if got := do(t, w, "provisioned", Args{}); got != "2" {
		t.Errorf("%s machines provisioned, want 2", got)
	}
	state := func(want string) {
		t.Helper()
		if got := do(t, w, "machine_state", Args{"machine": "i-000001"}); got != want {
			t.Errorf("the machine is %s, want %s", got, want)
		}
	}
	state("booting")
	w.Run(machineTypes["small"].boot)
	state("up")
	for _, k := range w.workers {
		k.die()
	}
	state("failed")
	w.cloud.remove("i-000001")
	state("gone")
}
