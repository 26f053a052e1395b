package simtest

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lugward/internal/config"
)

// midway is a deployment with a bit of everything, stopped in the middle: jobs
// done and cancelled, arrays of several records partly done, gangs, services, a
// job that waits for its team's limit, a cancelled one whose tasks still run, a
// crashed machine. At its end all controllers are down.
func midway(t *testing.T, seed uint64) (*World, []Args) {
	w := New(3, seed, logOut())
	w.watchRules()
	w.cloud.add("big", "a", false, 0)
	w.cloud.add("big", "b", false, 0)
	var jobs []Args
	submit := func(text string) {
		a := Args{"id": fmt.Sprintf("req-%06d", 900+len(jobs))}
		for _, f := range strings.Fields(text) {
			k, v, _ := strings.Cut(f, "=")
			a[k] = v
		}
		jobs = append(jobs, maps.Clone(a))
		if status, phase := w.Submit(a); status != 201 && status != 200 {
			t.Fatalf("%v: %d %s", a, status, phase)
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
	w.Run(24 * time.Second)
	w.Poll("req-000900")
	w.Poll("req-000908")
	if on := w.machineOf("req-000909/1"); on != nil {
		on.die()
	}
	w.Run(time.Second)
	w.Cancel("req-000907")
	for _, n := range w.nodes {
		n.kill()
	}
	w.Run(300 * time.Millisecond)
	return w, jobs
}

// goesOn plays a loaded world to its end.
func goesOn(t *testing.T, file string) {
	w := NewWith(Announce(Settings, Args{"nextvalue": "2", "nextops": "4", "nextwrites": "40"}), 3, 7, logOut(), func(*config.Platform) {})
	w.watchRules()
	if err := w.Load(file); err != nil {
		t.Fatal(err)
	}
	for _, id := range w.accepted() {
		acknowledged := w.check.acknowledged[id]
		status, phase := w.user(id, "GET", "/submissions/"+id, nil)
		if status != 200 || (acknowledged == "done" && phase != acknowledged) {
			t.Errorf("%s was %s, is %d %s", id, acknowledged, status, phase)
		}
	}
	// New jobs need old ones: one done long ago and one that still runs, and
	// one that was cancelled.
	for _, a := range []Args{{"id": "req-000950", "awaits": "req-000900+req-000901", "run": "2s"}, {"id": "req-000951", "awaits": "req-000907"}} {
		if status, _ := w.Submit(a); status != 200 && status != 201 {
			t.Errorf("%v: %d", a, status)
		}
	}
	w.Run(20 * time.Second)
	if _, phase := w.user("req-000951", "GET", "/submissions/req-000951", nil); phase != "cancelled" {
		t.Errorf("needs a cancelled job and is %s", phase)
	}
	w.state.lower(Args{"value": "2", "ops": "4", "writes": "40"})
	w.Cancel("req-000904") // a service
	if got := do(t, w, "all", Args{"within": "240s"}); got != fmt.Sprintf("%d done", len(w.accepted())) {
		t.Errorf("%s of %d", got, len(w.accepted()))
		for _, id := range w.accepted() {
			if w.check.acknowledged[id] != "done" {
				t.Errorf("%s is %s:\n%.600s", id, w.check.acknowledged[id], strings.Join(append(w.Keys("j/"+id), w.Keys("r/"+id)...), "\n"))
			}
		}
	}
	if v := w.Verdict(); v != "kept" {
		t.Error(v)
	}
}

// TestRecord takes a world down and lets another go on with it. With
// SIM_RECORD it writes the files below testdata/production; they were written
// by the version named in them and stay as they are.
func TestRecord(t *testing.T) {
	w, jobs := midway(t, 41)
	b, err := w.Record("midway, all controllers ended; "+os.Getenv("SIM_RECORD"), jobs)
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
	if v := w.Verdict(); v != "kept" {
		t.Error(v)
	}
	goesOn(t, file)
}

// TestProduction goes on with what the version in production left behind.
func TestProduction(t *testing.T) {
	files, _ := filepath.Glob("testdata/production/*.json")
	if len(files) == 0 {
		t.Fatal("no recordings")
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) { goesOn(t, f) })
	}
}
