package simtest

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"
)

// What controllers keep of machines follows from how many there are at a time, not
// from how many there have ever been, on the leader as on the others.
func TestMachinesAreForgotten(t *testing.T) {
	world := New(3, 71, io.Discard)
	world.watchInvariants()
	for generation := range 8 {
		id := jobID(100 + generation)
		world.users.Submit(Arguments{"id": id, "tasks": "10", "cpus": "4", "types": "small", "run": "5s"})
		world.Run(90 * time.Second)
		if _, phase := world.users.Poll(id); phase != "done" {
			t.Fatalf("%s is %s", id, phase)
		}
	}
	if seen := world.provisioned(); seen < 60 {
		t.Fatalf("only %d machines were provisioned", seen)
	}
	for _, process := range world.controllers {
		if indices := process.controller.WorkCounters().MachineIndices; indices > 30 {
			t.Errorf("%s keeps %d machines", process.name, indices)
		}
	}
	if verdict := world.Verdict(); verdict != "kept" {
		t.Error(verdict)
	}
}

// TestMemory measures what a controller holds with 4,000 machines and 40,000
// unfinished tasks, of which as many are placed as the machines hold: it must be far less than ram_mb of any site.
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
	placed := len(world.checker.onMachines())
	with := heapMB()
	// What is left without the controllers is the world's.
	for _, process := range world.controllers {
		process.kill()
		process.controller = nil
	}
	without := heapMB()
	each := (with - without) / float64(len(world.controllers))
	t.Logf("%d tasks on machines, %.1f MB a controller (world %.1f MB, before the jobs %.1f MB)", placed, each, without, before)
	if placed < 4*machines || each > limitMB || each <= 0 {
		t.Errorf("%d tasks on machines, %.1f MB a controller", placed, each)
	}
}

// heapMB is the heap in use.
func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}
