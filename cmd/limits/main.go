// Command limits computes bounds on what any scheduler can achieve on a site: the
// price, the share of the price spent on tasks, the share of jobs that start in time,
// the makespan and the duration of pipelines. It reads a site file of the bench and,
// optionally, the report of a bench run, and prints the run's results after the bounds.
//
//	go run ./cmd/limits SITE.toml [REPORT.json]
//
// Every bound is computed on a relaxed problem: classes do not compete for machines,
// tasks pack without waste, and all future arrivals are known. Classes may share a
// machine, so a task is charged for a weighted share of the machine's CPUs and GPUs. Any
// weights give a valid bound; the highest bound is reported. See docs/limits.md for the
// method.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// Exit codes of the command.
const (
	exitError = 1
	exitUsage = 2
)

const help = `usage: limits SITE.toml [REPORT.json]

Prints bounds that no scheduler can exceed on a site, one per line:

  CLASS: N tasks run on average    load of a job class, its minimum price per hour,
                                   and its price on the cheapest machine type alone
  wait: at most S of N jobs        maximum share of jobs that start in time
  pipeline P: at least S s         minimum time from the first submission to the end
  makespan: at least S s           minimum time to complete the given share of the work
  price: at least R                minimum price, as a multiple of the price with every
                                   class on its cheapest machine type alone
  useful: at most S                maximum share of the price that is spent on tasks

SITE.toml is a site file of the bench. If the REPORT.json of a bench run is given, its
results are printed after the bounds. See docs/limits.md for the method.
`

func main() {
	paths, err := parseArguments(os.Args[1:])
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Print(help)
		return
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if err := run(paths, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "limits:", err)
		os.Exit(exitError)
	}
}

// arguments holds the paths given on the command line.
type arguments struct {
	site   string
	report string // empty if not given
}

// parseArguments parses the command line. It returns flag.ErrHelp if help is requested.
func parseArguments(args []string) (arguments, error) {
	flags := flag.NewFlagSet("limits", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	if err := flags.Parse(args); err != nil {
		return arguments{}, err
	}
	nonEmpty := !slices.Contains(flags.Args(), "") // an unset shell variable gives an empty path
	if n := flags.NArg(); nonEmpty && (n == 1 || n == 2) {
		return arguments{site: flags.Arg(0), report: flags.Arg(1)}, nil
	}
	return arguments{}, errors.New("usage: limits SITE.toml [REPORT.json]")
}

// run writes the bounds for the site file, then the results in the report if one is given.
func run(paths arguments, w io.Writer) error {
	s, err := loadSite(paths.site)
	if err != nil {
		return fmt.Errorf("site file %s: %w", paths.site, err)
	}
	tightest, err := s.tightestBounds()
	if err != nil {
		return fmt.Errorf("site file %s: %w", paths.site, err)
	}
	if err := writeLines(w, tightest.lines); err != nil || paths.report == "" {
		return err
	}
	results, err := reportLines(paths.report)
	if err != nil {
		return fmt.Errorf("report %s: %w", paths.report, err)
	}
	return writeLines(w, results)
}

func writeLines(w io.Writer, lines []string) error {
	if len(lines) == 0 {
		return nil
	}
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}
