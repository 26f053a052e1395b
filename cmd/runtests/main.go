// Command runtests runs the project's tests with the race detector. It prints and skips
// the tests listed in KNOWN-RED.txt: at most three tests that fail because of a fault that
// is not fixed yet. It is an error if a listed test does not exist or passes.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
)

// knownFailuresFile is the file that lists the known failures. It is optional.
const knownFailuresFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "runtests:", err)
		os.Exit(1)
	}
}

// run runs the tests of packages, which are given in the form of go test's arguments.
func run(packages []string) error {
	known, err := readKnownFailures()
	if err != nil {
		return err
	}
	return testAll(goTest, packages, known, os.Stdout)
}

// readKnownFailures reads the list of known failures. If the file does not exist, the list
// is empty and every test must pass.
func readKnownFailures() ([]knownFailure, error) {
	text, err := os.ReadFile(knownFailuresFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	known, err := parseKnownFailures(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", knownFailuresFile, err)
	}
	return known, nil
}

// goTestFunc runs "go test" with arguments and writes its output to out. passed reports
// whether all tests that it ran passed. err is not nil if the command could not be run.
type goTestFunc func(out io.Writer, arguments ...string) (passed bool, err error)

// goTest is the goTestFunc that runs the go command in the working directory.
func goTest(out io.Writer, arguments ...string) (passed bool, err error) {
	command := exec.Command("go", append([]string{"test", "-race", "-count=1"}, arguments...)...)
	command.Stdout = out
	command.Stderr = out
	err = command.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return false, nil
	}
	return err == nil, err
}
