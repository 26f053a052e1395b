// Command runtests runs the project's tests with the race detector. Tests that are
// listed in KNOWN-RED.txt, at most three that fail for a fault not mended yet, are
// printed and passed over; it is an error if one of them does not exist or passes.
package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
)

// knownRedFile lists the tests that are known to fail, if there are any.
const knownRedFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "runtests:", err)
		os.Exit(1)
	}
}

func run(packages []string) error {
	text, err := os.ReadFile(knownRedFile)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	known, err := parseKnownRed(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", knownRedFile, err)
	}
	return testAll(goTest, packages, known, os.Stdout)
}

// tester runs "go test" with arguments and writes what it prints to out. passed
// tells whether all tests that it ran have passed.
type tester func(out io.Writer, arguments ...string) (passed bool, err error)

// goTest is the tester that runs the go command.
func goTest(out io.Writer, arguments ...string) (passed bool, err error) {
	command := exec.Command("go", append([]string{"test", "-race", "-count=1"}, arguments...)...)
	command.Stdout = out
	command.Stderr = out
	err = command.Run()
	if _, failed := err.(*exec.ExitError); failed {
		return false, nil
	}
	return err == nil, err
}
