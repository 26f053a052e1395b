package simtest

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"lugward/internal/config"
)

// logOut is where controllers log to: standard error if SIM_LOG is set, else nowhere.
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

// do carries out one command of a file.
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

// newScenarioWorld is the world that the arguments of the command "world" ask for.
func newScenarioWorld(arguments Arguments, observer WireObserver) *World {
	world := NewWith(Options{
		Settings:    Announce(Settings, arguments),
		Controllers: int(arguments.number("nodes", "3")),
		Seed:        uint64(arguments.number("seed", "1")),
		Log:         logOut(),
		Observer:    observer,
		Tune:        func(platform *config.Platform) { tune(platform, arguments) },
	})
	world.watchInvariants()
	return world
}

// tune changes settings as the arguments of the command "world" say.
func tune(platform *config.Platform, arguments Arguments) {
	platform.Settings.Workers.HeartbeatS = arguments.number("report", "1")
	platform.Settings.Workers.LeaseS = arguments.number("lease", "10")
	platform.Settings.Workers.CancelS = arguments.number("cancel", "25")
	platform.Settings.Cloud.RPS = arguments.number("cloudrps", "4")
	if limit := arguments.number("maxgpus", "0"); limit > 0 {
		platform.Settings.Teams[0].GPUsMax = limit
	}
	platform.Settings.State.RPS = arguments.number("rps", "100")
	platform.Settings.State.WriteRPS = arguments.number("writes", "60")
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

// scenarioFiles lists the files of all scenarios.
func scenarioFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scenarios: %v", len(files), err)
	}
	return files
}

// TestScenarios plays every text file below testdata. A file starts with
// "world"; whatever else it shows, it must end with the rules kept.
func TestScenarios(t *testing.T) {
	t.Parallel()
	for _, file := range scenarioFiles(t) {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			player := &scenarioPlayer{}
			datadriven.RunTest(t, file, func(t *testing.T, directive *datadriven.TestData) string {
				t.Helper()
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
	for _, test := range []struct{ line, want string }{
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
		t.Run(test.line, func(t *testing.T) {
			player := &scenarioPlayer{world: New(3, 1, io.Discard)}
			var err error
			datadriven.RunTestFromString(t, test.line+"\n----\n", func(_ *testing.T, directive *datadriven.TestData) string {
				directive.Pos = "scenario.txt:7"
				_, err = player.play(directive)
				return ""
			})
			if want := "scenario.txt:7: " + test.want; err == nil || err.Error() != want {
				t.Errorf("%v, want %s", err, want)
			}
		})
	}
}
