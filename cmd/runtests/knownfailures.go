package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// maxKnownFailures is the maximum number of tests in the list of known failures.
const maxKnownFailures = 3

// knownFailure is a test that fails because of a fault that is not fixed yet.
type knownFailure struct {
	pkg   string // in the form of go test's argument, such as ./internal/kv
	test  string // with the subtest if any, such as TestScenarios/gang
	cause string
	issue string
}

// parseKnownFailures parses the list of known failures. Each line has one test, in the
// format PACKAGE TEST | CAUSE | ISSUE.
func parseKnownFailures(text string) ([]knownFailure, error) {
	var list []knownFailure
	for number, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		failure, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number+1, err)
		}
		list = append(list, failure)
	}
	if len(list) > maxKnownFailures {
		return nil, fmt.Errorf("%d tests listed, at most %d allowed", len(list), maxKnownFailures)
	}
	return list, nil
}

// errFormat means that a line of the list does not have the expected format.
var errFormat = errors.New("expected PACKAGE TEST | CAUSE | ISSUE")

func parseLine(line string) (knownFailure, error) {
	fields := strings.Split(line, "|")
	if len(fields) != 3 {
		return knownFailure{}, errFormat
	}
	names := strings.Fields(fields[0])
	cause := strings.TrimSpace(fields[1])
	issue := strings.TrimSpace(fields[2])
	if len(names) != 2 || cause == "" || issue == "" || !strings.HasPrefix(names[0], "./") {
		return knownFailure{}, errFormat
	}
	return knownFailure{pkg: names[0], test: names[1], cause: cause, issue: issue}, nil
}

// pattern returns a pattern for go test's -run and -skip that matches only this test.
func (k *knownFailure) pattern() string {
	levels := strings.Split(k.test, "/")
	for i, level := range levels {
		levels[i] = "^" + regexp.QuoteMeta(level) + "$"
	}
	return strings.Join(levels, "/")
}

// verify runs only this test. It returns an error if the test does not exist or passes.
func (k *knownFailure) verify(runGoTest goTestFunc) error {
	var output bytes.Buffer
	passed, err := runGoTest(&output, "-v", "-run", k.pattern(), k.pkg)
	if err != nil {
		return err
	}
	switch {
	case !hasStarted(output.String(), k.test):
		return fmt.Errorf("%s has no test %s: remove it from %s", k.pkg, k.test, knownFailuresFile)
	case passed:
		return fmt.Errorf("%s in %s passes: remove it from %s", k.test, k.pkg, knownFailuresFile)
	}
	return nil
}

// hasStarted reports whether the output of go test -v shows that a test has started.
func hasStarted(output, test string) bool {
	for line := range strings.SplitSeq(output, "\n") {
		if strings.TrimSpace(strings.TrimPrefix(line, "=== RUN")) == test {
			return true
		}
	}
	return false
}

// testAll runs the tests of packages except the known failures, which it verifies and
// prints.
func testAll(runGoTest goTestFunc, packages []string, known []knownFailure, out io.Writer) error {
	arguments := packages
	if len(known) > 0 {
		pattern, err := verifyKnownFailures(runGoTest, known, out)
		if err != nil {
			return err
		}
		arguments = append([]string{"-skip", pattern}, packages...)
	}
	passed, err := runGoTest(out, arguments...)
	if err != nil {
		return err
	}
	if !passed {
		return errors.New("tests failed")
	}
	return nil
}

// verifyKnownFailures verifies and prints the known failures, and returns the pattern for
// go test's -skip that matches them.
func verifyKnownFailures(runGoTest goTestFunc, known []knownFailure, out io.Writer) (string, error) {
	patterns := make([]string, len(known))
	for i := range known {
		k := &known[i]
		if err := k.verify(runGoTest); err != nil {
			return "", err
		}
		if _, err := fmt.Fprintf(out, "known failure, skipped: %s %s: %s (%s)\n", k.pkg, k.test, k.cause, k.issue); err != nil {
			return "", err
		}
		patterns[i] = k.pattern()
	}
	return strings.Join(patterns, "|"), nil
}
