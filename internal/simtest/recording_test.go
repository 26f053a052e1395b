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

// stopMidway is a deployment with a bit of everything, stopped in the middle: jobs
// done and cancelled, arrays of several records partly done, gangs, services, a
// job that waits for its team's limit, a cancelled one whose tasks still run, a
// crashed machine. At its end all controllers are down.
func stopMidway(t *testing.T, seed uint64) (*World, []Arguments) {
	t.Helper()
	world := New(3, seed, logOut())
	world.watchInvariants()
	world.cloud.addMachine("big", "a", false, 0)
	world.cloud.addMachine("big", "b", false, 0)
	var jobs []Arguments
	submit := func(text string) {
		arguments := Arguments{"id": fmt.Sprintf("req-%06d", 900+len(jobs))}
		for _, f := range strings.Fields(text) {
			key, v, _ := strings.Cut(f, "=")
			arguments[key] = v
		}
		jobs = append(jobs, maps.Clone(arguments))
		if status, phase := world.users.Submit(arguments); status != 201 && status != 200 {
			t.Fatalf("%v: %d %s", arguments, status, phase)
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

// playRecording plays a loaded world to its end.
func playRecording(t *testing.T, file string) {
	t.Helper()
	world := NewWith(Options{
		Settings:    Announce(Settings, Arguments{"nextvalue": "2", "nextops": "4", "nextwrites": "40"}),
		Controllers: 3,
		Seed:        7,
		Log:         logOut(),
	})
	world.watchInvariants()
	if err := world.Load(file); err != nil {
		t.Fatal(err)
	}
	for _, id := range world.acceptedJobs() {
		acknowledged := world.checker.acknowledgedPhase[id]
		status, phase := world.users.requestUntilAnswered(id, pollRequest(id))
		if status != 200 || (acknowledged == "done" && phase != acknowledged) {
			t.Errorf("%s was %s, is %d %s", id, acknowledged, status, phase)
		}
	}
	// New jobs need old ones: one done long ago and one that still runs, and
	// one that was cancelled.
	for _, arguments := range []Arguments{
		{"id": "req-000950", "awaits": "req-000900+req-000901", "run": "2s"},
		{"id": "req-000951", "awaits": "req-000907"},
	} {
		if status, _ := world.users.Submit(arguments); status != 200 && status != 201 {
			t.Errorf("%v: %d", arguments, status)
		}
	}
	world.Run(20 * time.Second)
	if _, phase := world.users.requestUntilAnswered("req-000951", pollRequest("req-000951")); phase != "cancelled" {
		t.Errorf("needs a cancelled job and is %s", phase)
	}
	world.stateService.setLimits(Arguments{"value": "2", "ops": "4", "writes": "40"})
	world.users.Cancel("req-000904") // a service
	if got := runCommand(t, world, "all", Arguments{"within": "240s"}); got != fmt.Sprintf("%d done", len(world.acceptedJobs())) {
		t.Errorf("%s of %d", got, len(world.acceptedJobs()))
		for _, id := range world.acceptedJobs() {
			if world.checker.acknowledgedPhase[id] != "done" {
				t.Errorf("%s is %s:\n%.600s", id, world.checker.acknowledgedPhase[id], world.storedOf(id))
			}
		}
	}
	if v := world.Verdict(); v != "kept" {
		t.Error(v)
	}
}

// TestRecord takes a world down and lets another go on with it. With
// SIM_RECORD it writes the files below testdata/production; they were written
// by the version named in them and stay as they are.
func TestRecord(t *testing.T) {
	world, jobs := stopMidway(t, 41)
	b, err := world.Record("midway, all controllers ended; "+os.Getenv("SIM_RECORD"), jobs)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "midway.json")
	if os.Getenv("SIM_RECORD") != "" {
		file = "testdata/production/midway.json"
	}
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if v := world.Verdict(); v != "kept" {
		t.Error(v)
	}
	playRecording(t, file)
}

// TestProduction goes on with what the version in production left behind.
func TestProduction(t *testing.T) {
	files, _ := filepath.Glob("testdata/production/*.json")
	if len(files) == 0 {
		t.Fatal("no recordings")
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) { playRecording(t, f) })
	}
}
