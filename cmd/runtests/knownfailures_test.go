package main

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestParseKnownFailures(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", ""},
		{"one test", "./a TestB | late writes | issue 3\n", ""},
		{"no issue", "./a TestB | late writes\n", "line 1: expected PACKAGE TEST | CAUSE | ISSUE"},
		{"empty cause", "\n./a TestB | | issue 3\n", "line 2: expected PACKAGE TEST | CAUSE | ISSUE"},
		{"package without ./", "a TestB | c | i\n", "line 1: expected PACKAGE TEST | CAUSE | ISSUE"},
		{"too many", strings.Repeat("./a TestB | c | i\n", 4), "4 tests listed, at most 3 allowed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := parseKnownFailures(c.text)
			if got := errorText(err); got != c.want {
				t.Errorf("parseKnownFailures(%q) returned error %q, want %q", c.text, got, c.want)
			}
		})
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// testModule writes a module with tests that pass and tests that fail, and returns a
// function that runs go test in the module.
func testModule(t *testing.T) goTestFunc {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{
		"go.mod": "module example\n\ngo 1.26\n",
		"a_test.go": `package a

import "testing"

func TestGood(t *testing.T) {}
func TestBad(t *testing.T) { t.Error("wrong") }
func TestMany(t *testing.T) {
	t.Run("good", func(t *testing.T) {})
	t.Run("bad", func(t *testing.T) { t.Error("wrong") })
}
`} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return func(out io.Writer, arguments ...string) (bool, error) {
		command := exec.Command("go", append([]string{"test", "-count=1"}, arguments...)...)
		command.Dir = dir
		command.Stdout = out
		command.Stderr = out
		return command.Run() == nil, nil
	}
}

// TestKnownFailures checks that only listed tests are skipped, and that a listed test that
// does not exist or passes is an error.
func TestKnownFailures(t *testing.T) {
	bad := knownFailure{pkg: ".", test: "TestBad", cause: "c", issue: "i"}
	manyBad := knownFailure{pkg: ".", test: "TestMany/bad", cause: "c", issue: "i"}
	runGoTest := testModule(t)
	for _, c := range []struct {
		name  string
		known []knownFailure
		want  string
	}{
		{"none listed", nil, "tests failed"},
		{"one of two listed", []knownFailure{bad}, "tests failed"},
		{"both listed", []knownFailure{bad, manyBad}, ""},
		{"name of no test", []knownFailure{bad, manyBad, {pkg: ".", test: "TestNone"}}, ". has no test TestNone: remove it from KNOWN-RED.txt"},
		{"part of a name", []knownFailure{manyBad, {pkg: ".", test: "TestBa"}}, ". has no test TestBa: remove it from KNOWN-RED.txt"},
		{"passing test listed", []knownFailure{bad, manyBad, {pkg: ".", test: "TestMany/good"}}, "TestMany/good in . passes: remove it from KNOWN-RED.txt"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			err := testAll(runGoTest, []string{"./..."}, c.known, &out)
			if got := errorText(err); got != c.want {
				t.Errorf("testAll returned error %q, want %q; output:\n%s", got, c.want, out.String())
			}
			if c.want == "" && !strings.Contains(out.String(), "known failure, skipped: . TestBad: c (i)\n") {
				t.Errorf("output does not list TestBad as a known failure, got:\n%s", out.String())
			}
		})
	}
}
