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

// controllerLog returns the destination of the controllers' logs: standard error if SIM_LOG
// is set, otherwise the logs are discarded.
func controllerLog() io.Writer {
	if os.Getenv("SIM_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

// parseArguments parses the arguments of a command, each with at most one value.
func parseArguments(directive *datadriven.TestData) (Arguments, error) {
	arguments := Arguments{}
	for _, c := range directive.CmdArgs {
		if _, duplicate := arguments[c.Key]; duplicate || len(c.Vals) > 1 {
			return nil, fmt.Errorf("argument %s has more than one value", c.Key)
		}
		arguments[c.Key] = ""
		if len(c.Vals) > 0 {
			arguments[c.Key] = c.Vals[0]
		}
	}
	return arguments, nil
}

// scenarioRunner runs the commands of a scenario file in a world, which the command "world" creates.
type scenarioRunner struct {
	world    *World
	observer WireObserver // nil if messages are not observed
}

// run runs one command of a file. An error names the file and the line.
func (runner *scenarioRunner) run(directive *datadriven.TestData) (string, error) {
	output, err := runner.execute(directive)
	if err != nil {
		return "", fmt.Errorf("%s: %s: %w", directive.Pos, directive.Cmd, err)
	}
	return output, nil
}

// execute runs one command of a file.
func (runner *scenarioRunner) execute(directive *datadriven.TestData) (string, error) {
	arguments, err := parseArguments(directive)
	if err != nil {
		return "", err
	}
	if directive.Cmd == "world" {
		if err := arguments.check(nil, worldParameters); err != nil {
			return "", err
		}
		runner.world = newScenarioWorld(arguments, runner.observer)
		return "ok", nil
	}
	if runner.world == nil {
		return "", errors.New("the first command of a scenario must be world")
	}
	return runner.world.RunCommand(directive.Cmd, arguments, directive.Input)
}

// newScenarioWorld returns a world with the settings in the arguments of the command "world".
func newScenarioWorld(arguments Arguments, observer WireObserver) *World {
	world := NewWith(Options{
		Settings:    Announce(Settings, arguments),
		Controllers: int(arguments.number("controllers", "3")),
		Seed:        uint64(arguments.number("seed", "1")),
		Log:         controllerLog(),
		Observer:    observer,
		Tune:        func(platform *config.Platform) { applyWorldArguments(platform, arguments) },
	})
	world.watchInvariants()
	return world
}

// applyWorldArguments applies the arguments of the command "world" to the settings.
func applyWorldArguments(platform *config.Platform, arguments Arguments) {
	platform.Settings.Workers.HeartbeatS = arguments.number("heartbeat", "1")
	platform.Settings.Workers.LeaseS = arguments.number("lease", "10")
	platform.Settings.Workers.CancelS = arguments.number("cancel", "25")
	platform.Settings.Cloud.RPS = arguments.number("cloud_rps", "4")
	if limit := arguments.number("max_gpus", "0"); limit > 0 {
		platform.Settings.Teams[0].GPUsMax = limit
	}
	platform.Settings.State.RPS = arguments.number("rps", "100")
	platform.Settings.State.WriteRPS = arguments.number("writes", "60")
}

// runCommand runs a command and fails the test if the command returns an error.
func runCommand(t *testing.T, world *World, name string, arguments Arguments) string {
	t.Helper()
	output, err := world.RunCommand(name, arguments, "")
	if err != nil {
		t.Fatalf("%s %v: %v", name, arguments, err)
	}
	return output
}

// scenarioFiles returns the paths of all scenario files.
func scenarioFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("Glob found %d scenario files, error %v", len(files), err)
	}
	return files
}

// TestScenarios runs every scenario file in testdata. A scenario starts with the
// command "world". At its end, whatever it tests, the checker must have found no
// violation of its rules.
func TestScenarios(t *testing.T) {
	t.Parallel()
	for _, file := range scenarioFiles(t) {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			runner := &scenarioRunner{}
			datadriven.RunTest(t, file, func(t *testing.T, directive *datadriven.TestData) string {
				t.Helper()
				output, err := runner.run(directive)
				if err != nil {
					t.Fatal(err)
				}
				return output
			})
			if v := runner.world.Verdict(); v != "kept" {
				t.Errorf("checker found violations:\n%s", v)
			}
		})
	}
}

// TestScenarioErrors checks that an invalid command in a scenario is reported with its file
// and line.
func TestScenarioErrors(t *testing.T) {
	for _, test := range []struct{ line, want string }{
		{"explode controller=n0", "explode: unknown command explode"},
		{"poll", "poll: argument id is missing"},
		{"poll id=req-000001 loudly", "poll: unknown argument loudly"},
		{"poll id=(req-000001,req-000002)", "poll: argument id has more than one value"},
		{"run for=soon", "run: for=soon: not a duration"},
		{"add_machines count=many", "add_machines: count=many: not a number"},
		{"add_machines type=huge", "add_machines: type=huge: no such machine type"},
		{"add_machines type=card", "add_machines: type=card: no such machine type"},
		{"add_machines spot=yes", "add_machines: spot=yes: a flag takes no value"},
		{"kill controller=n7", "kill: controller=n7: no such controller"},
		{"route_users controller=all", "route_users: controller=all: selects 3 controllers, want 1"},
		{"race with=luck", "race: with=luck: not one of submit, done"},
		{"submit id=req-000001 awaits=req-000002*many", "submit: awaits=req-000002*many: many is not a number of jobs"},
		{"submit id=req-000001 awaits=first*2", "submit: awaits=first*2: first is not a job ID of the form req-N"},
		{"start_order id=req-000001 before=req-000002", "start_order: job req-000001 or req-000002 was not submitted"},
		{"load_recording file=testdata/none.json", "load_recording: open testdata/none.json: no such file or directory"},
		{"faulty machine=i-000009", "faulty: machine i-000009 is not up"},
		{"world seed=one", "world: seed=one: not a number"},
		{"world sead=1", "world: unknown argument sead"},
	} {
		t.Run(test.line, func(t *testing.T) {
			runner := &scenarioRunner{world: New(3, 1, io.Discard)}
			var err error
			datadriven.RunTestFromString(t, test.line+"\n----\n", func(_ *testing.T, directive *datadriven.TestData) string {
				directive.Pos = "scenario.txt:7"
				_, err = runner.run(directive)
				return ""
			})
			if want := "scenario.txt:7: " + test.want; err == nil || err.Error() != want {
				t.Errorf("command %q returned error %v, want %s", test.line, err, want)
			}
		})
	}
}
