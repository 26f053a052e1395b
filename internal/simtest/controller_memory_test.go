package simtest

import (
	"fmt"
	"io"
	"testing"
	"time"

	"lugward/internal/heaptest"
)

// TestMachinesAreForgotten checks that the state that controllers keep about machines grows
// with the number of current machines, not with the number of all machines since the start.
// This holds on the leader and on the other controllers.
func TestMachinesAreForgotten(t *testing.T) {
	world := New(3, 71, io.Discard)
	world.watchInvariants()
	for generation := range 8 {
		id := jobID(100 + generation)
		world.users.Submit(Arguments{"id": id, "tasks": "10", "cpus": "4", "types": "small", "run": "5s"})
		world.Run(90 * time.Second)
		if _, phase := world.users.Poll(id); phase != "done" {
			t.Fatalf("phase of job %s is %q after 90 s, want done", id, phase)
		}
	}
	if seen := world.provisioned(); seen < 60 {
		t.Fatalf("%d machines were provisioned, want at least 60", seen)
	}
	for _, process := range world.controllers {
		if indices := process.controller.WorkCounters().MachineIndices; indices > 30 {
			t.Errorf("controller %s keeps %d machine indices, want at most 30", process.name, indices)
		}
	}
	if verdict := world.Verdict(); verdict != "kept" {
		t.Error(verdict)
	}
}

// TestMemory measures the heap of a controller with 4,000 machines and 40,000
// unfinished tasks. As many of the tasks are placed as the machines have capacity for. The heap
// must be far below ram_mb of any site.
func TestMemory(t *testing.T) {
	const machines, limitMB = 4000, 40
	world := New(2, 72, io.Discard)
	world.config.Settings.State.RPS, world.config.Settings.State.WriteRPS = 1000, 1000
	for i := range machines {
		world.cloud.addMachine("small", []string{"a", "b"}[i%2], false, 0)
	}
	for _, machineType := range offeredTypeNames {
		limitCapacity(world, Arguments{"type": machineType, "count": "0"})
	}
	world.Run(10 * time.Second)
	before := heapMB()
	for i := range 100 {
		world.users.Submit(Arguments{"id": fmt.Sprintf("req-%06d", i), "tasks": "400", "run": "1h"})
	}
	world.Run(30 * time.Second)
	placed := len(world.checker.executingAssignments())
	with := heapMB()
	// The heap without the controllers belongs to the simulation.
	for _, process := range world.controllers {
		process.kill()
		process.controller = nil
	}
	without := heapMB()
	each := (with - without) / float64(len(world.controllers))
	t.Logf("%d tasks on machines, %.1f MB per controller (simulation %.1f MB, total before the jobs %.1f MB)", placed, each, without, before)
	if placed < 4*machines || each > limitMB || each <= 0 {
		t.Errorf("%d tasks on %d machines, want at least 4 per machine; heap per controller %.1f MB, want more than 0 and at most %d", placed, machines, each, limitMB)
	}
}

const bytesPerMB = 1 << 20

// heapMB returns the size of the heap in use after a garbage collection, in MiB.
func heapMB() float64 { return heaptest.InUse() / bytesPerMB }
