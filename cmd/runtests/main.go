// Command runtests runs the project's tests with the race detector. Tests that are
// listed in KNOWN-RED.txt, at most three that fail for a fault not mended yet, are
// printed and passed over; it is an error if one of them does not exist or passes.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
)

// knownFailuresFile lists the tests that are known to fail, if there are any.
const knownFailuresFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "runtests:", err)
		os.Exit(1)
	}
}

// run tests packages, given as go test takes them.
func run(packages []string) error {
	known, err := readKnownFailures()
	if err != nil {
		return err
	}
	return testAll(goTest, packages, known, os.Stdout)
}

// readKnownFailures reads the list. Without the file every test must pass.
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

// goTestFunc runs "go test" with arguments and writes what it prints to out. passed
// reports whether all tests that it ran have passed; err is that the command could not
// be run.
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
