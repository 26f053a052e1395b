// Command limits computes, from a site file of the bench, bounds that no
// scheduler could pass, and sets beside them what a run's report shows.
//
//	go run ./cmd/limits SITE.toml [REPORT.json]
//
// Every bound relaxes the problem: classes do not compete for machines, tasks
// pack without waste, and the future is known. Classes may share a machine, so
// a task is charged by weighted shares of CPUs and GPUs; any weights give a
// valid bound, and the highest is taken. docs/limits.md explains the rest.
package main

import (
	"fmt"
	"io"
	"os"
)

// usageExitCode is the exit code for a wrong number of arguments.
const usageExitCode = 2

func main() {
	if len(os.Args) < 2 || len(os.Args) > 3 {
		fmt.Fprintln(os.Stderr, "usage: limits SITE.toml [REPORT.json]")
		os.Exit(usageExitCode)
	}
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "limits:", err)
		os.Exit(1)
	}
}

// weightSteps is the number of steps in which the weight of CPUs goes from 0 to
// 1 in the search for the highest bound.
const weightSteps = 10

// run writes the bounds for the site file args[0], and what the report args[1],
// if given, shows.
func run(args []string, w io.Writer) error {
	s, err := loadSite(args[0])
	if err != nil {
		return fmt.Errorf("site file %s: %w", args[0], err)
	}
	var highest *bounds
	for step := range weightSteps + 1 {
		b, err := s.bounds(float64(step) / weightSteps)
		if err != nil {
			return fmt.Errorf("site file %s: %w", args[0], err)
		}
		if highest == nil || b.cost() > highest.cost() {
			highest = b
		}
	}
	fmt.Fprint(w, highest.text.String())
	if len(args) < 2 {
		return nil
	}
	if err := printReport(args[1], w); err != nil {
		return fmt.Errorf("report %s: %w", args[1], err)
	}
	return nil
}
