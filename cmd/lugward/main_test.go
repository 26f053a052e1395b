package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runMainVariable is the environment variable that makes the test binary run main instead
// of the tests.
const runMainVariable = "LUGWARD_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const validSettings = `{"label":"a","bind":"127.0.0.1:1","peer_bind":"127.0.0.1:2","services":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},
"settings":{"workers":{"report_s":1,"lease_s":30,"gang_wait_s":1,"gang_peer_s":1,"cancel_s":60},
"state":{"rps":8,"write_rps":4,"value_kb":1,"txn_ops":8},"cloud":{"rps":1},"resources":{"core_share":0.1,"ram_mb":50,"max_connections":40}}}`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runCommand runs lugward with one more environment variable, given as KEY=VALUE, and
// returns its exit code and output.
func runCommand(t *testing.T, environment string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errOut bytes.Buffer
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMainVariable+"=1", environment)
	cmd.Stdout = &out
	cmd.Stderr = &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), out.String(), errOut.String()
}

// TestGoodSettings checks that the check command accepts valid settings files.
func TestGoodSettings(t *testing.T) {
	path := writeFile(t, "settings.json", validSettings)
	operator := writeFile(t, "operator.toml", "[term]\nlife = \"5s\"\n")
	code, out, errOut := runCommand(t, "LOG_LEVEL=", "check", "--config", path, "--operator", operator)
	if code != 0 || out != "settings of a are valid\n" || errOut != "" {
		t.Errorf("lugward check exited with %d, stdout %q, stderr %q, want 0, %q, %q", code, out, errOut, "settings of a are valid\n", "")
	}
}

// TestBadInput checks that invalid arguments, settings and environment variables make the
// command exit with a non-zero code and one line that names the fault and its place.
func TestBadInput(t *testing.T) {
	good := writeFile(t, "settings.json", validSettings)
	bad := writeFile(t, "bad.json", strings.Replace(validSettings, `"rps":8`, `"rps":"x"`, 1))
	operator := writeFile(t, "bad.toml", "[term]\nlife = 5\n")
	for _, c := range []struct {
		name        string
		environment string
		args        []string
		want        string
	}{
		{"no settings", "LOG_LEVEL=", nil, "--config FILE is required"},
		{"unknown flag", "LOG_LEVEL=", []string{"--confg", good}, "unknown flag: --confg"},
		{"unknown command", "LOG_LEVEL=", []string{"chek"}, `unknown command "chek"`},
		{"unexpected argument of check", "LOG_LEVEL=", []string{"check", "more"}, `"more"`},
		{"flag without a value", "LOG_LEVEL=", []string{"--config"}, "--config"},
		{"missing file", "LOG_LEVEL=", []string{"--config", "none.json"}, "none.json"},
		{"wrong type", "LOG_LEVEL=", []string{"--config", bad}, "bad.json: settings.state.rps: expected a number"},
		{"wrong type with check", "LOG_LEVEL=", []string{"check", "--config", bad}, "bad.json: settings.state.rps: expected a number"},
		{"wrong type in the operator settings", "LOG_LEVEL=", []string{"--config", good, "--operator", operator}, "bad.toml: toml: line 2 (last key \"term.life\"): expected a duration"},
		{"unknown log level", "LOG_LEVEL=loud", []string{"--config", good}, `LOG_LEVEL "loud"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, out, errOut := runCommand(t, c.environment, c.args...)
			if code == 0 || out != "" || strings.Count(errOut, "\n") != 1 || !strings.Contains(errOut, c.want) {
				t.Errorf("lugward exited with %d, stdout %q, stderr %q, want non-zero, no stdout and one line with %q", code, out, errOut, c.want)
			}
		})
	}
}
