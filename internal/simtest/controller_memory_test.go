package simtest

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"lugward/internal/config"
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

// TestMemoryAtItsLimits submits jobs with long lists, many jobs and large jobs until each kind is
// refused for lack of memory. The heap of the leader must be within the estimate by which jobs
// are refused. Accepted jobs go on meanwhile.
func TestMemoryAtItsLimits(t *testing.T) {
	const (
		machines     = 200
		memoryMB     = 8
		upstreamJobs = 400
	)
	world := NewWith(Options{Controllers: 1, Seed: 73, Log: io.Discard, Tune: func(settings *config.Platform) {
		settings.Settings.Resources.MemoryMB = memoryMB
		settings.Settings.State.RPS, settings.Settings.State.WriteRPS = 5000, 5000
	}})
	for range machines {
		world.cloud.addMachine("small", "a", false, 0)
	}
	limitCapacity(world, Arguments{"type": "small", "count": "0"})
	world.Run(10 * time.Second)
	nextJob := 0
	var accepted []string
	submitUntilRefused := func(limit int, arguments Arguments) {
		t.Helper()
		for range limit {
			arguments["id"] = jobID(nextJob)
			nextJob++
			status, _ := world.users.Submit(arguments)
			if status == http.StatusServiceUnavailable {
				return
			}
			if !isAccepted(status) {
				t.Fatalf("job %s got %d", arguments["id"], status)
			}
			accepted = append(accepted, arguments["id"])
		}
	}
	submitUntilRefused(upstreamJobs, Arguments{"run": "1h", "cpus": "0.05", "memory": "0.01", "priority": "idle"})
	if len(accepted) != upstreamJobs {
		t.Fatalf("%d jobs were accepted, want %d", len(accepted), upstreamJobs)
	}
	list := strings.Join(accepted, "+")
	const enough = 10_000 // jobs, more than memory allows
	submitUntilRefused(enough, Arguments{"run": "1s", "awaits": list})
	lists := len(accepted) - upstreamJobs
	submitUntilRefused(20, Arguments{"tasks": "1000", "run": "1h", "cpus": "0.001", "memory": "0.001", "priority": "high"})
	submitUntilRefused(enough, Arguments{"run": "1h", "cpus": "4"})
	world.Run(20 * time.Second)
	for _, id := range []string{accepted[0], accepted[upstreamJobs], accepted[len(accepted)-1]} {
		if status, phase := world.users.Poll(id); status != http.StatusOK {
			t.Errorf("poll of job %s got %d %s, want 200", id, status, phase)
		}
	}
	placed := len(world.checker.executingAssignments())
	leader := world.controllers[0]
	estimate := float64(leader.controller.WorkCounters().JobBytes) / bytesPerMB
	with := heapMB()
	leader.kill()
	leader.controller = nil
	used := with - heapMB()
	t.Logf("%d jobs, %d of them with lists, %d tasks on machines: %.2f MB, estimated %.2f MB", len(accepted), lists, placed, used, estimate)
	if used > estimate || used <= 0 {
		t.Errorf("the leader takes %.2f MB, want at most the estimated %.2f MB", used, estimate)
	}
	if lists < 50 || placed < 1000 {
		t.Errorf("%d jobs with lists were accepted and %d tasks are on machines, want at least 50 and 1,000", lists, placed)
	}
	runtime.KeepAlive(world)
}

const bytesPerMB = 1 << 20

// heapMB returns the size of the heap in use after a garbage collection, in MiB.
func heapMB() float64 { return heaptest.InUse() / bytesPerMB }
