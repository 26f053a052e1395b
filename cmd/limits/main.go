// Command limits computes bounds on what any scheduler could reach on a site: the
// price, the useful part of it, the share of jobs that begin in time, the makespan
// and the length of pipelines. It reads a site file of the bench and, if given, the
// report of a run of the bench, and prints what the run reached behind the bounds.
//
//	go run ./cmd/limits SITE.toml [REPORT.json]
//
// Every bound relaxes the problem: classes do not compete for machines, tasks
// pack without waste, and the future is known. Classes may share a machine, so
// a task is charged by weighted shares of CPUs and GPUs; any weights give a
// valid bound, and the highest is taken. docs/limits.md explains the rest.
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

Prints bounds that no scheduler could pass on a site, one line each:

  CLASS: N tasks run on average    load of a class of jobs, its least price an hour,
                                   and its price on the cheapest machine type alone
  wait: at most S of N jobs        highest share of jobs that begin in time
  pipeline P: done after S s       shortest time from the first submission to the end
  makespan: at least S s           shortest time to the given share of the work
  price: at least R                least price, as a multiple of the cheapest types' price
  useful: at most S                highest share of the price that is spent on tasks

SITE.toml is a site file of the bench. With the REPORT.json of a run of the bench, what
the run reached follows. docs/limits.md explains the method.
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

// arguments are the paths of the command line.
type arguments struct {
	site   string
	report string // empty: none
}

// parseArguments returns flag.ErrHelp if the arguments ask for help.
func parseArguments(args []string) (arguments, error) {
	flags := flag.NewFlagSet("limits", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	if err := flags.Parse(args); err != nil {
		return arguments{}, err
	}
	named := !slices.Contains(flags.Args(), "") // an unset variable of a shell is no path
	if n := flags.NArg(); named && (n == 1 || n == 2) {
		return arguments{site: flags.Arg(0), report: flags.Arg(1)}, nil
	}
	return arguments{}, errors.New("usage: limits SITE.toml [REPORT.json]")
}

// run writes the bounds for the site file, and what the report shows, if one is given.
func run(paths arguments, w io.Writer) error {
	s, err := loadSite(paths.site)
	if err != nil {
		return fmt.Errorf("site file %s: %w", paths.site, err)
	}
	highest, err := s.highestBounds()
	if err != nil {
		return fmt.Errorf("site file %s: %w", paths.site, err)
	}
	if err := writeLines(w, highest.lines); err != nil || paths.report == "" {
		return err
	}
	reached, err := reportLines(paths.report)
	if err != nil {
		return fmt.Errorf("report %s: %w", paths.report, err)
	}
	return writeLines(w, reached)
}

func writeLines(w io.Writer, lines []string) error {
	if len(lines) == 0 {
		return nil
	}
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}
