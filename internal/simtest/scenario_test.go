package simtest

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"lugward/internal/config"
)

func logOut() io.Writer {
	if os.Getenv("SIM_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

// args reads the arguments of a command, each with one value at most.
func args(d *datadriven.TestData) (Args, error) {
	a := Args{}
	for _, c := range d.CmdArgs {
		if _, twice := a[c.Key]; twice || len(c.Vals) > 1 {
			return nil, fmt.Errorf("argument %s has more than one value", c.Key)
		}
		a[c.Key] = ""
		if len(c.Vals) > 0 {
			a[c.Key] = c.Vals[0]
		}
	}
	return a, nil
}

// scenario is a world that commands of a file begin and change.
type scenario struct {
	world *World
	wire  WireObserver // nil: none
}

// play carries out one command of a file; an error tells its file and line.
func (s *scenario) play(d *datadriven.TestData) (string, error) {
	output, err := s.do(d)
	if err != nil {
		return "", fmt.Errorf("%s: %s: %w", d.Pos, d.Cmd, err)
	}
	return output, nil
}

func (s *scenario) do(d *datadriven.TestData) (string, error) {
	a, err := args(d)
	if err != nil {
		return "", err
	}
	if d.Cmd == "world" {
		if err := a.check(nil, worldArguments); err != nil {
			return "", err
		}
		s.world = newScenarioWorld(a, s.wire)
		return "ok", nil
	}
	if s.world == nil {
		return "", errors.New("a scenario begins with world")
	}
	return s.world.Do(d.Cmd, a, d.Input)
}

func newScenarioWorld(a Args, wire WireObserver) *World {
	w := NewObserved(Announce(Settings, a), int(a.num("nodes", "3")), uint64(a.num("seed", "1")), logOut(), wire, func(p *config.Platform) {
		p.Settings.Workers.ReportS = a.num("report", "1")
		p.Settings.Workers.LeaseS = a.num("lease", "10")
		p.Settings.Workers.CancelS = a.num("cancel", "25")
		p.Settings.Cloud.RPS = a.num("cloudrps", "4")
		if most := a.num("maxgpus", "0"); most > 0 {
			p.Settings.Teams[0].GPUsMax = most
		}
		p.Settings.State.RPS, p.Settings.State.WriteRPS = a.num("rps", "100"), a.num("writes", "60")
	})
	w.watchRules()
	return w
}

// do carries out a command that cannot fail.
func do(t *testing.T, w *World, name string, a Args) string {
	t.Helper()
	output, err := w.Do(name, a, "")
	if err != nil {
		t.Fatalf("%s %v: %v", name, a, err)
	}
	return output
}

// TestScenarios plays every text file below testdata. A file starts with
// "world"; whatever else it shows, it must end with the rules kept.
func TestScenarios(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no scenarios")
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			s := &scenario{}
			datadriven.RunTest(t, f, func(t *testing.T, d *datadriven.TestData) string {
				output, err := s.play(d)
				if err != nil {
					t.Fatal(err)
				}
				return output
			})
			if v := s.world.Verdict(); v != "kept" {
				t.Errorf("rules broken:\n%s", v)
			}
		})
	}
}

// TestScenarioErrors shows that a mistake in a scenario is named with its file
// and line.
func TestScenarioErrors(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"explode node=n0", "explode: unknown command explode"},
		{"poll", "poll: argument id is missing"},
		{"poll id=req-000001 loudly", "poll: unknown argument loudly"},
		{"poll id=(req-000001,req-000002)", "poll: argument id has more than one value"},
		{"run for=soon", "run: for=soon: not a duration"},
		{"machine count=many", "machine: count=many: not a number"},
		{"machine type=huge", "machine: type=huge: no such machine type"},
		{"machine type=card", "machine: type=card: no such machine type"},
		{"machine spot=yes", "machine: spot=yes: a flag has no value"},
		{"kill node=n7", "kill: node=n7: no such controller"},
		{"users node=all", "users: node: one controller is needed, there is none or more"},
		{"race with=luck", "race: with=luck: not one of submit, done"},
		{"submit id=req-000001 awaits=req-000002*many", "submit: awaits=req-000002*many: many is not a number of jobs"},
		{"submit id=req-000001 awaits=first*2", "submit: awaits=first*2: first is not req- and a number"},
		{"order id=req-000001 before=req-000002", "order: a job was not submitted"},
		{"load file=testdata/none.json", "load: open testdata/none.json: no such file or directory"},
		{"faulty machine=i-000009", "faulty: machine i-000009 is not up"},
		{"world seed=one", "world: seed=one: not a number"},
		{"world sead=1", "world: unknown argument sead"},
	} {
		s := &scenario{world: New(3, 1, io.Discard)}
		var err error
		datadriven.RunTestFromString(t, c.line+"\n----\n", func(_ *testing.T, d *datadriven.TestData) string {
			d.Pos = "scenario.txt:7"
			_, err = s.play(d)
			return ""
		})
		if want := "scenario.txt:7: " + c.want; err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %s", c.line, err, want)
		}
	}
}

// TestRandomFaults plays random jobs under random faults; the rules must hold
// and, once the faults are over, every job must end.
func TestRandomFaults(t *testing.T) {
	first, plays := drawn("SIM_FROM", 1), drawn("SIM_PLAYS", 60)
	for seed := first; seed < first+plays; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}

// The drawn faults are the same at every run, so that the verdict is, too.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// TestDrawnFaults lets rapid draw the seed and shrink a failure.
func TestDrawnFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(1000, 1<<32).Draw(rt, "seed")
		play(rt, seed)
	})
}

// drawn is a number from the environment, for longer trials.
func drawn(name string, def uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return def
}

type failer interface {
	Errorf(format string, args ...any)
}

func play(t failer, seed uint64) { playObserved(t, seed, nil) }

// playObserved is play with an observer of the wire.
func playObserved(t failer, seed uint64, wire WireObserver) {
	w := NewObserved(Settings, 3, seed, logOut(), wire)
	w.watchRules()
	w.loss, w.late = 0.01, 0.05
	w.copies, w.copyLate = 0.05, 30*time.Second
	for range 3 {
		w.cloud.add("small", []string{"a", "b"}[w.rng.IntN(2)], false, 0)
	}
	var open []string
	kinds := []string{"array", "array", "gang", "daemon"}
	for i := range 8 {
		a := Args{"id": fmt.Sprintf("req-%06d", i), "shape": kinds[w.rng.IntN(4)], "tasks": fmt.Sprint(1 + w.rng.IntN(5)),
			"run": fmt.Sprintf("%ds", 2+w.rng.IntN(15)), "team": []string{"red", "blue"}[w.rng.IntN(2)]}
		if w.rng.IntN(2) == 0 {
			a["checkpoint"] = "3s"
		}
		if w.rng.IntN(2) == 0 {
			a["spot"] = ""
		}
		if w.rng.IntN(3) == 0 {
			a["same_zone"] = ""
		} else if w.rng.IntN(3) == 0 {
			a["scatter"] = ""
		}
		status, _ := w.Submit(a)
		if status == 200 || status == 201 {
			open = append(open, a["id"])
		}
		w.twoFaults()
		w.Run(seconds(w.rng.Float64() * 6))
		if w.rng.IntN(3) == 0 && len(open) > 0 {
			w.Poll(open[w.rng.IntN(len(open))])
		}
		if w.rng.IntN(4) == 0 && len(open) > 0 {
			w.Cancel(open[w.rng.IntN(len(open))])
		}
	}
	w.endFaults()
	for _, id := range open {
		if w.jobs[id].shape == "daemon" {
			w.Cancel(id)
		}
	}
	w.pollUntilOver(open)
	for _, id := range open {
		if !w.check.isOver(id) {
			t.Errorf("seed %d: %s is still %s: %+v\n%s", seed, id, w.check.acknowledged[id], *w.jobs[id], strings.Join(append(w.Keys("j/"+id), w.Keys("r/"+id)...), "\n"))
		}
	}
	if left := w.machinesLeft(); left != "" {
		t.Errorf("seed %d: nothing runs, and these machines are kept: %s\n%s", seed, left, strings.Join(w.Keys("r/"), "\n"))
	}
	if v := w.Verdict(); v != "kept" {
		t.Errorf("seed %d: %s", seed, v)
	}
}

// machinesLeft plays until all machines are given back, for five minutes at most,
// and names those that are not.
func (w *World) machinesLeft() string {
	for range 150 {
		if len(w.cloud.machines) == 0 {
			return ""
		}
		w.Run(seconds(2))
	}
	return strings.Join(slices.Sorted(maps.Keys(w.cloud.machines)), ", ")
}

// pollUntilOver polls jobs until they are over, for four minutes at most.
func (w *World) pollUntilOver(open []string) {
	for range 120 {
		left := 0
		for _, id := range open {
			if !w.check.isOver(id) {
				left++
				w.Poll(id)
			}
		}
		if left == 0 {
			break
		}
		w.Run(seconds(2))
	}
}

// endFaults ends all faults.
func (w *World) endFaults() {
	w.Run(max(seconds(25), w.faultsEnd-w.now))
	w.loss, w.late, w.cloud.never, w.cloud.down, w.copies = 0, 0, 0, false, 0
	w.lateWrites, w.delayedReports, w.delayedCommands, w.cancelEnds, w.invalidRequests = 0, 0, 0, 0, false
	w.Run(maxDelay) // what was delayed arrives
	w.check.faultsOverAt = w.now
	for _, n := range w.nodes {
		if !n.up {
			n.boot()
		}
	}
}
