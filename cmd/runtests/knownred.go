package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// maxKnownRed is how many tests may be known to fail at a time.
const maxKnownRed = 3

// knownRed is a test that fails for a fault that is not mended yet.
type knownRed struct {
	pkg   string // as go test takes it, ./internal/store
	test  string // with its subtests, TestScenarios/gang
	cause string
	issue string
}

// parseKnownRed reads the list: one test a line, as PACKAGE TEST | CAUSE | ISSUE.
func parseKnownRed(text string) ([]knownRed, error) {
	var list []knownRed
	for number, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		entry, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number+1, err)
		}
		list = append(list, entry)
	}
	if len(list) > maxKnownRed {
		return nil, fmt.Errorf("%d tests are listed, %d are allowed", len(list), maxKnownRed)
	}
	return list, nil
}

var errFormat = errors.New("expected PACKAGE TEST | CAUSE | ISSUE")

func parseLine(line string) (knownRed, error) {
	fields := strings.Split(line, "|")
	if len(fields) != 3 {
		return knownRed{}, errFormat
	}
	names := strings.Fields(fields[0])
	cause := strings.TrimSpace(fields[1])
	issue := strings.TrimSpace(fields[2])
	if len(names) != 2 || cause == "" || issue == "" || !strings.HasPrefix(names[0], "./") {
		return knownRed{}, errFormat
	}
	return knownRed{pkg: names[0], test: names[1], cause: cause, issue: issue}, nil
}

// pattern matches the test and nothing else in the form of go test's -run and -skip.
func (k *knownRed) pattern() string {
	levels := strings.Split(k.test, "/")
	for i, level := range levels {
		levels[i] = "^" + regexp.QuoteMeta(level) + "$"
	}
	return strings.Join(levels, "/")
}

// check runs the test alone. It is an error if there is none of that name, or if it
// passes again.
func (k *knownRed) check(test tester) error {
	var output bytes.Buffer
	passed, err := test(&output, "-v", "-run", k.pattern(), k.pkg)
	if err != nil {
		return err
	}
	began := false
	for _, line := range strings.Split(output.String(), "\n") {
		began = began || strings.TrimSpace(strings.TrimPrefix(line, "=== RUN")) == k.test
	}
	switch {
	case !began:
		return fmt.Errorf("%s has no test %s: take it off %s", k.pkg, k.test, knownRedFile)
	case passed:
		return fmt.Errorf("%s in %s passes again: take it off %s", k.test, k.pkg, knownRedFile)
	}
	return nil
}

// testAll runs the tests of packages but for those that are known to fail, which it
// checks and prints.
func testAll(test tester, packages []string, known []knownRed, out io.Writer) error {
	arguments := packages
	if len(known) > 0 {
		var patterns []string
		for i := range known {
			if err := known[i].check(test); err != nil {
				return err
			}
			fmt.Fprintf(out, "known red, passed over: %s %s: %s (%s)\n", known[i].pkg, known[i].test, known[i].cause, known[i].issue)
			patterns = append(patterns, known[i].pattern())
		}
		arguments = append([]string{"-skip", strings.Join(patterns, "|")}, packages...)
	}
	passed, err := test(out, arguments...)
	if err != nil {
		return err
	}
	if !passed {
		return errors.New("tests failed")
	}
	return nil
}
