package simtest

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// stopMidway runs a deployment with a mix of job states and stops all its controllers: jobs
// done and cancelled, partly completed arrays with several run records, gangs, daemons, a
// job that waits because its team is at its limit, a cancelled job whose tasks still run,
// and a crashed machine.
func stopMidway(t *testing.T, seed uint64) (*World, []Arguments) {
	t.Helper()
	world := New(3, seed, controllerLog())
	world.watchInvariants()
	world.cloud.addMachine("big", "a", false, 0)
	world.cloud.addMachine("big", "b", false, 0)
	var jobs []Arguments
	submit := func(text string) {
		arguments := Arguments{"id": fmt.Sprintf("req-%06d", 900+len(jobs))}
		for _, field := range strings.Fields(text) {
			key, value, _ := strings.Cut(field, "=")
			arguments[key] = value
		}
		jobs = append(jobs, maps.Clone(arguments))
		if status, phase := world.users.Submit(arguments); status != 201 && status != 200 {
			t.Fatalf("submission %v got status %d, phase %q, want 200 or 201", arguments, status, phase)
		}
	}
	submit("tasks=2 run=2s")
	submit("tasks=300 cpus=0.05 memory=0.1 run=90s spot")
	submit("tasks=150 cpus=0.05 memory=0.1 run=9s")
	submit("shape=gang tasks=3 run=60s checkpoint=5s same_zone")
	submit("shape=daemon tasks=2 team=blue")
	submit("tasks=8 gpus=1 run=70s types=gpu")
	submit("tasks=2 gpus=1 run=5s types=gpu") // beyond the team's limit
	submit("tasks=2 run=80s team=blue")
	submit("shape=gang tasks=2 run=1s scatter priority=high")
	submit("tasks=3 run=50s priority=idle checkpoint=4s")
	world.Run(24 * time.Second)
	world.users.Poll("req-000900")
	world.users.Poll("req-000908")
	if worker := world.workerOf("req-000909/1"); worker != nil {
		worker.crash()
	}
	world.Run(time.Second)
	world.users.Cancel("req-000907")
	for _, process := range world.controllers {
		process.kill()
	}
	world.Run(300 * time.Millisecond)
	return world, jobs
}

// runRecording loads a recording into a new world and runs it until all jobs have ended.
func runRecording(t *testing.T, file string) {
	t.Helper()
	world := NewWith(Options{
		Settings:    Announce(Settings, Arguments{"nextvalue": "2", "nextops": "4", "nextwrites": "40"}),
		Controllers: 3,
		Seed:        7,
		Log:         controllerLog(),
	})
	world.watchInvariants()
	if err := world.Load(file); err != nil {
		t.Fatal(err)
	}
	for _, id := range world.acceptedJobs() {
		acknowledged := world.checker.acknowledgedPhase[id]
		status, phase := world.users.requestUntilDecided(id, pollRequest(id))
		if status != 200 || (acknowledged == "done" && phase != acknowledged) {
			t.Errorf("job %s, acknowledged as %q before the upgrade, got status %d, phase %q, want 200 and an unchanged phase if done", id, acknowledged, status, phase)
		}
	}
	// New jobs have recorded upstream jobs: a done and a running one, and a cancelled one.
	for _, arguments := range []Arguments{
		{"id": "req-000950", "awaits": "req-000900+req-000901", "run": "2s"},
		{"id": "req-000951", "awaits": "req-000907"},
	} {
		if status, _ := world.users.Submit(arguments); status != 200 && status != 201 {
			t.Errorf("submission %v got status %d, want 200 or 201", arguments, status)
		}
	}
	world.Run(20 * time.Second)
	if _, phase := world.users.requestUntilDecided("req-000951", pollRequest("req-000951")); phase != "cancelled" {
		t.Errorf("job req-000951 with a cancelled upstream job has phase %q, want cancelled", phase)
	}
	world.stateService.setLimits(Arguments{"value": "2", "ops": "4", "writes": "40"})
	world.users.Cancel("req-000904") // a daemon, which does not end by itself
	if got := runCommand(t, world, "all", Arguments{"within": "240s"}); got != fmt.Sprintf("%d done", len(world.acceptedJobs())) {
		t.Errorf("got %s, want %d done", got, len(world.acceptedJobs()))
		for _, id := range world.acceptedJobs() {
			if world.checker.acknowledgedPhase[id] != "done" {
				t.Errorf("job %s has phase %q, want done; stored records:\n%.600s", id, world.checker.acknowledgedPhase[id], world.storedRecordsOf(id))
			}
		}
	}
	if verdict := world.Verdict(); verdict != "kept" {
		t.Errorf("invariants violated:\n%s", verdict)
	}
}

// TestRecord records a world and continues the recording in another world. With SIM_RECORD
// it writes the files below testdata/production. They were written by the version named in
// them and must not be changed.
func TestRecord(t *testing.T) {
	world, jobs := stopMidway(t, 41)
	recording, err := world.Record("midway, all controllers ended; "+os.Getenv("SIM_RECORD"), jobs)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "midway.json")
	if os.Getenv("SIM_RECORD") != "" {
		file = "testdata/production/midway.json"
	}
	if err := os.WriteFile(file, recording, 0o600); err != nil {
		t.Fatal(err)
	}
	if verdict := world.Verdict(); verdict != "kept" {
		t.Errorf("invariants violated:\n%s", verdict)
	}
	runRecording(t, file)
}

// TestProduction checks that this version continues from the state that the version in
// production left.
func TestProduction(t *testing.T) {
	files, _ := filepath.Glob("testdata/production/*.json")
	if len(files) == 0 {
		t.Fatal("found no recordings in testdata/production, want at least one")
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runRecording(t, file) })
	}
}
