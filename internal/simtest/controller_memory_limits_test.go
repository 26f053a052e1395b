package simtest

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"lugward/internal/config"
)

// limitsRun submits jobs to one controller until each kind is refused for lack of memory.
type limitsRun struct {
	*testing.T
	world    *World
	accepted []string // IDs of the accepted jobs
	nextJob  int
}

// Amounts of work in a run at the limits of memory.
const (
	limitsMachines     = 200
	limitsMemoryMB     = 8
	limitsUpstreamJobs = 400
	moreThanFit        = 10_000 // jobs, more than the memory allows
)

// TestMemoryAtItsLimits submits jobs with long lists, many jobs and large jobs until each kind is
// refused for lack of memory. The heap of the leader must be within the estimate by which jobs
// are refused, also after a restart. Accepted jobs run and stay known meanwhile, and there is room
// again once jobs have ended.
func TestMemoryAtItsLimits(t *testing.T) {
	run := newLimitsRun(t)
	run.submitUntilRefused(limitsUpstreamJobs, Arguments{"run": "1h", "cpus": "0.05", "memory": "0.01", "priority": "idle"})
	list := Arguments{"run": "1s", "awaits": strings.Join(run.accepted, "+")}
	run.submitUntilRefused(moreThanFit, list)
	withLists := run.accepted[limitsUpstreamJobs:]
	run.submitUntilRefused(20, Arguments{"tasks": "1000", "run": "1h", "cpus": "0.001", "memory": "0.001", "priority": "high"})
	run.submitUntilRefused(moreThanFit, Arguments{"run": "1h", "cpus": "4"})
	run.world.Run(20 * time.Second)
	run.checkAccepted()
	placed := len(run.world.checker.executingAssignments())
	if len(withLists) < 50 || placed < 1000 {
		t.Errorf("%d jobs with lists were accepted and %d tasks are on machines, want at least 50 and 1,000", len(withLists), placed)
	}
	run.restartMeasured()
	run.world.Run(30 * time.Second)
	run.checkAccepted()
	if after := len(run.world.checker.executingAssignments()); after < placed {
		t.Errorf("%d tasks are on machines after a restart, want at least %d", after, placed)
	}
	if status := run.submit(list); status != http.StatusServiceUnavailable {
		t.Errorf("a further job with a list got %d, want 503", status)
	}
	run.restartMeasured()
	run.world.Run(30 * time.Second)
	for _, id := range run.accepted[limitsUpstreamJobs:] {
		if status, _ := run.world.users.Cancel(id); status != http.StatusOK {
			t.Errorf("cancellation of job %s got %d, want 200", id, status)
		}
	}
	run.world.Run(30 * time.Second)
	if status := run.submit(list); !isAccepted(status) {
		t.Errorf("a job with a list got %d after others were cancelled, want 201", status)
	}
	if verdict := run.world.Verdict(); verdict != "kept" {
		t.Error(verdict)
	}
}

func newLimitsRun(t *testing.T) *limitsRun {
	t.Helper()
	world := NewWith(Options{Controllers: 1, Seed: 73, Log: io.Discard, Tune: func(settings *config.Platform) {
		settings.Settings.Resources.MemoryMB = limitsMemoryMB
		settings.Settings.State.RPS, settings.Settings.State.WriteRPS = 5000, 5000
	}})
	for range limitsMachines {
		world.cloud.addMachine("small", "a", false, 0)
	}
	limitCapacity(world, Arguments{"type": "small", "count": "0"})
	world.Run(10 * time.Second)
	return &limitsRun{T: t, world: world}
}

// submit submits a job under a new ID and returns the status of the response.
func (run *limitsRun) submit(arguments Arguments) (status int) {
	arguments["id"] = jobID(run.nextJob)
	run.nextJob++
	status, _ = run.world.users.Submit(arguments)
	if isAccepted(status) {
		run.accepted = append(run.accepted, arguments["id"])
	}
	return status
}

// submitUntilRefused submits at most the given number of jobs until one gets 503.
func (run *limitsRun) submitUntilRefused(limit int, arguments Arguments) {
	run.Helper()
	for range limit {
		status := run.submit(arguments)
		if status == http.StatusServiceUnavailable {
			return
		}
		if !isAccepted(status) {
			run.Fatalf("job %s got %d, want 201 or 503", arguments["id"], status)
		}
	}
}

// checkAccepted checks that questions about accepted jobs of each kind are answered.
func (run *limitsRun) checkAccepted() {
	run.Helper()
	for _, id := range []string{run.accepted[0], run.accepted[limitsUpstreamJobs], run.accepted[len(run.accepted)-1]} {
		if status, phase := run.world.users.Poll(id); status != http.StatusOK {
			run.Errorf("poll of job %s got %d %s, want 200", id, status, phase)
		}
	}
}

// restartMeasured ends the controller, checks how much of the heap it took, and starts it again.
func (run *limitsRun) restartMeasured() {
	run.Helper()
	process := run.world.controllers[0]
	estimate := float64(process.controller.WorkCounters().JobBytes) / bytesPerMB
	with := heapMB()
	process.kill()
	process.controller = nil
	used := with - heapMB()
	run.Logf("%d jobs were accepted, the controller takes %.2f MB, estimated %.2f MB", len(run.accepted), used, estimate)
	if used > estimate || used <= 0 {
		run.Errorf("the controller takes %.2f MB, want at most the estimated %.2f MB", used, estimate)
	}
	runtime.KeepAlive(run.world)
	process.boot()
}
