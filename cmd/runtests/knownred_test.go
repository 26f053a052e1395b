package main

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestParseKnownRed(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", ""},
		{"./a TestB | late writes | issue 3\n", ""},
		{"./a TestB | late writes\n", "line 1: expected PACKAGE TEST | CAUSE | ISSUE"},
		{"\n./a TestB | | issue 3\n", "line 2: expected PACKAGE TEST | CAUSE | ISSUE"},
		{"a TestB | c | i\n", "line 1: expected PACKAGE TEST | CAUSE | ISSUE"},
		{strings.Repeat("./a TestB | c | i\n", 4), "4 tests are listed, 3 are allowed"},
	} {
		_, err := parseKnownRed(c.text)
		if got := message(err); got != c.want {
			t.Errorf("%q: %q, want %q", c.text, got, c.want)
		}
	}
}

func message(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// module is a module with tests that pass and tests that fail.
func module(t *testing.T) tester {
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

// Only tests that are listed are passed over, and only as long as they exist and fail.
func TestKnownRed(t *testing.T) {
	bad := knownRed{pkg: ".", test: "TestBad", cause: "c", issue: "i"}
	manyBad := knownRed{pkg: ".", test: "TestMany/bad", cause: "c", issue: "i"}
	test := module(t)
	for _, c := range []struct {
		what  string
		known []knownRed
		want  string
	}{
		{"none listed", nil, "tests failed"},
		{"one of two listed", []knownRed{bad}, "tests failed"},
		{"both listed", []knownRed{bad, manyBad}, ""},
		{"a name that no test has", []knownRed{bad, manyBad, {pkg: ".", test: "TestNone"}}, ". has no test TestNone: take it off KNOWN-RED.txt"},
		{"a part of a name", []knownRed{manyBad, {pkg: ".", test: "TestBa"}}, ". has no test TestBa: take it off KNOWN-RED.txt"},
		{"one that passes", []knownRed{bad, manyBad, {pkg: ".", test: "TestMany/good"}}, "TestMany/good in . passes again: take it off KNOWN-RED.txt"},
	} {
		var out strings.Builder
		err := testAll(test, []string{"./..."}, c.known, &out)
		if got := message(err); got != c.want {
			t.Errorf("%s: %q, want %q\n%s", c.what, got, c.want, out.String())
		}
		if c.want == "" && !strings.Contains(out.String(), "known red, passed over: . TestBad: c (i)\n") {
			t.Errorf("%s: not printed:\n%s", c.what, out.String())
		}
	}
}
