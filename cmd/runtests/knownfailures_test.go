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
		{"too many", strings.Repeat("./a TestB | c | i\n", 4), "4 tests are listed, 3 are allowed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := parseKnownFailures(c.text)
			if got := message(err); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

func message(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// testModule writes a module with tests that pass and tests that fail, and returns
// what runs go test there.
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

// TestKnownFailures: only tests that are listed are passed over, and only as long as they exist and fail.
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
		{"a name that no test has", []knownFailure{bad, manyBad, {pkg: ".", test: "TestNone"}}, ". has no test TestNone: take it off KNOWN-RED.txt"},
		{"a part of a name", []knownFailure{manyBad, {pkg: ".", test: "TestBa"}}, ". has no test TestBa: take it off KNOWN-RED.txt"},
		{"one that passes", []knownFailure{bad, manyBad, {pkg: ".", test: "TestMany/good"}}, "TestMany/good in . passes again: take it off KNOWN-RED.txt"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			err := testAll(runGoTest, []string{"./..."}, c.known, &out)
			if got := message(err); got != c.want {
				t.Errorf("%q, want %q\n%s", got, c.want, out.String())
			}
			if c.want == "" && !strings.Contains(out.String(), "known red, passed over: . TestBad: c (i)\n") {
				t.Errorf("not printed:\n%s", out.String())
			}
		})
	}
}
