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
	w := New(3, 71, io.Discard)
	w.watchRules()
	for generation := range 8 {
		id := jobID(100 + generation)
		w.Submit(Args{"id": id, "tasks": "10", "cpus": "4", "types": "small", "run": "5s"})
		w.Run(90 * time.Second)
		if _, phase := w.Poll(id); phase != "done" {
			t.Fatalf("%s is %s", id, phase)
		}
	}
	if seen := w.provisioned(); seen < 60 {
		t.Fatalf("only %d machines were provisioned", seen)
	}
	for _, n := range w.nodes {
		if indices := n.core.WorkCounters().MachineIndices; indices > 30 {
			t.Errorf("%s keeps %d machines", n.name, indices)
		}
	}
	if verdict := w.Verdict(); verdict != "kept" {
		t.Error(verdict)
	}
}

// TestMemory measures what a controller holds with 4,000 machines and 40,000
// unfinished tasks, of which as many are placed as the machines hold: it must be far less than ram_mb of any site.
func TestMemory(t *testing.T) {
	const machines, limitMB = 4000, 40
	w := New(2, 72, io.Discard)
	w.cfg.Settings.State.RPS, w.cfg.Settings.State.WriteRPS = 1000, 1000
	for i := range machines {
		w.cloud.add("small", []string{"a", "b"}[i%2], false, 0)
	}
	for _, machineType := range offeredNames {
		limitCapacity(w, Args{"type": machineType, "count": "0"})
	}
	w.Run(10 * time.Second)
	before := heapMB()
	for i := range 100 {
		w.Submit(Args{"id": fmt.Sprintf("req-%06d", i), "tasks": "400", "run": "1h"})
	}
	w.Run(30 * time.Second)
	placed := len(w.check.onMachines())
	with := heapMB()
	// What is left without the controllers is the world's.
	for _, n := range w.nodes {
		n.kill()
		n.core = nil
	}
	without := heapMB()
	each := (with - without) / float64(len(w.nodes))
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
