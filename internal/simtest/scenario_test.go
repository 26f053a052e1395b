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

// parseArguments reads the arguments of a command, each with one value at most.
func parseArguments(directive *datadriven.TestData) (Arguments, error) {
	arguments := Arguments{}
	for _, c := range directive.CmdArgs {
		if _, twice := arguments[c.Key]; twice || len(c.Vals) > 1 {
			return nil, fmt.Errorf("argument %s has more than one value", c.Key)
		}
		arguments[c.Key] = ""
		if len(c.Vals) > 0 {
			arguments[c.Key] = c.Vals[0]
		}
	}
	return arguments, nil
}

// scenarioPlayer is a world that commands of a file begin and change.
type scenarioPlayer struct {
	world    *World
	observer WireObserver // nil: none
}

// play carries out one command of a file; an error tells its file and line.
func (player *scenarioPlayer) play(directive *datadriven.TestData) (string, error) {
	output, err := player.do(directive)
	if err != nil {
		return "", fmt.Errorf("%s: %s: %w", directive.Pos, directive.Cmd, err)
	}
	return output, nil
}

func (player *scenarioPlayer) do(directive *datadriven.TestData) (string, error) {
	arguments, err := parseArguments(directive)
	if err != nil {
		return "", err
	}
	if directive.Cmd == "world" {
		if err := arguments.check(nil, worldParameters); err != nil {
			return "", err
		}
		player.world = newScenarioWorld(arguments, player.observer)
		return "ok", nil
	}
	if player.world == nil {
		return "", errors.New("a scenario begins with world")
	}
	return player.world.RunCommand(directive.Cmd, arguments, directive.Input)
}

func newScenarioWorld(arguments Arguments, wire WireObserver) *World {
	world := NewObserved(Announce(Settings, arguments), int(arguments.number("nodes", "3")), uint64(arguments.number("seed", "1")), logOut(), wire, func(platform *config.Platform) {
		platform.Settings.Workers.HeartbeatS = arguments.number("report", "1")
		platform.Settings.Workers.LeaseS = arguments.number("lease", "10")
		platform.Settings.Workers.CancelS = arguments.number("cancel", "25")
		platform.Settings.Cloud.RPS = arguments.number("cloudrps", "4")
		if most := arguments.number("maxgpus", "0"); most > 0 {
			platform.Settings.Teams[0].GPUsMax = most
		}
		platform.Settings.State.RPS, platform.Settings.State.WriteRPS = arguments.number("rps", "100"), arguments.number("writes", "60")
	})
	world.watchInvariants()
	return world
}

// runCommand carries out a command that cannot fail.
func runCommand(t *testing.T, world *World, name string, arguments Arguments) string {
	t.Helper()
	output, err := world.RunCommand(name, arguments, "")
	if err != nil {
		t.Fatalf("%s %v: %v", name, arguments, err)
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
			player := &scenarioPlayer{}
			datadriven.RunTest(t, f, func(t *testing.T, directive *datadriven.TestData) string {
				output, err := player.play(directive)
				if err != nil {
					t.Fatal(err)
				}
				return output
			})
			if v := player.world.Verdict(); v != "kept" {
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
		player := &scenarioPlayer{world: New(3, 1, io.Discard)}
		var err error
		datadriven.RunTestFromString(t, c.line+"\n----\n", func(_ *testing.T, directive *datadriven.TestData) string {
			directive.Pos = "scenario.txt:7"
			_, err = player.play(directive)
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
	first, plays := environmentNumber("SIM_FROM", 1), environmentNumber("SIM_PLAYS", 60)
	for seed := first; seed < first+plays; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playRandomJobs(t, seed)
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
		playRandomJobs(rt, seed)
	})
}

// environmentNumber is a number from the environment, for longer trials.
func environmentNumber(name string, def uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return def
}

type errorReporter interface {
	Errorf(format string, args ...any)
}

func playRandomJobs(reporter errorReporter, seed uint64) { playRandomJobsObserved(reporter, seed, nil) }

// playRandomJobsObserved is play with an observer of the wire.
func playRandomJobsObserved(reporter errorReporter, seed uint64, wire WireObserver) {
	world := NewObserved(Settings, 3, seed, logOut(), wire)
	world.watchInvariants()
	world.network.lossShare, world.network.lateRepeatShare = 0.01, 0.05
	world.network.duplicateShare, world.network.duplicateDelay = 0.05, 30*time.Second
	for range 3 {
		world.cloud.addMachine("small", []string{"a", "b"}[world.random.IntN(2)], false, 0)
	}
	var open []string
	kinds := []string{"array", "array", "gang", "daemon"}
	for i := range 8 {
		arguments := Arguments{"id": fmt.Sprintf("req-%06d", i), "shape": kinds[world.random.IntN(4)], "tasks": fmt.Sprint(1 + world.random.IntN(5)),
			"run": fmt.Sprintf("%ds", 2+world.random.IntN(15)), "team": []string{"red", "blue"}[world.random.IntN(2)]}
		if world.random.IntN(2) == 0 {
			arguments["checkpoint"] = "3s"
		}
		if world.random.IntN(2) == 0 {
			arguments["spot"] = ""
		}
		if world.random.IntN(3) == 0 {
			arguments["same_zone"] = ""
		} else if world.random.IntN(3) == 0 {
			arguments["scatter"] = ""
		}
		status, _ := world.users.Submit(arguments)
		if status == 200 || status == 201 {
			open = append(open, arguments["id"])
		}
		world.causeTwoFaults()
		world.Run(seconds(world.random.Float64() * 6))
		if world.random.IntN(3) == 0 && len(open) > 0 {
			world.users.Poll(open[world.random.IntN(len(open))])
		}
		if world.random.IntN(4) == 0 && len(open) > 0 {
			world.users.Cancel(open[world.random.IntN(len(open))])
		}
	}
	world.endAllFaults()
	for _, id := range open {
		if world.jobs[id].shape == shapeDaemon {
			world.users.Cancel(id)
		}
	}
	world.pollUntilOver(open)
	for _, id := range open {
		if !world.checker.isOver(id) {
			reporter.Errorf("seed %d: %s is still %s: %+v\n%s", seed, id, world.checker.acknowledgedPhase[id], *world.jobs[id], strings.Join(append(world.listKeys("j/"+id), world.listKeys("r/"+id)...), "\n"))
		}
	}
	if left := world.waitForMachinesReleased(); left != "" {
		reporter.Errorf("seed %d: nothing runs, and these machines are kept: %s\n%s", seed, left, strings.Join(world.listKeys("r/"), "\n"))
	}
	if v := world.Verdict(); v != "kept" {
		reporter.Errorf("seed %d: %s", seed, v)
	}
}

// waitForMachinesReleased plays until all machines are given back, for five minutes at most,
// and names those that are not.
func (world *World) waitForMachinesReleased() string {
	for range 150 {
		if len(world.cloud.machines) == 0 {
			return ""
		}
		world.Run(seconds(2))
	}
	return strings.Join(slices.Sorted(maps.Keys(world.cloud.machines)), ", ")
}

// pollUntilOver polls jobs until they are over, for four minutes at most.
func (world *World) pollUntilOver(open []string) {
	for range 120 {
		left := 0
		for _, id := range open {
			if !world.checker.isOver(id) {
				left++
				world.users.Poll(id)
			}
		}
		if left == 0 {
			break
		}
		world.Run(seconds(2))
	}
}

// endAllFaults ends all faults.
func (world *World) endAllFaults() {
	world.Run(max(seconds(25), world.faultsEndAt-world.now))
	world.network.lossShare, world.network.lateRepeatShare, world.cloud.bootFailures, world.cloud.down, world.network.duplicateShare = 0, 0, 0, false, 0
	world.network.lateWrites, world.network.delayedHeartbeats, world.network.delayedCommands, world.users.cancelAtEnd, world.users.invalidRequests = 0, 0, 0, 0, false
	world.Run(maxDelay) // what was delayed arrives
	world.checker.faultsOverAt = world.now
	for _, process := range world.controllers {
		if !process.up {
			process.boot()
		}
	}
}
