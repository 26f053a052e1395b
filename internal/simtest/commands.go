package simtest

import (
	"fmt"
	"maps"
	"slices"
)

// runner carries out a command and returns its output.
type runner func(w *World, a Args, input string) (string, error)

// command is what a scenario may ask for: usage and arguments document it.
type command struct {
	usage     string
	arguments []argument
	run       runner
}

// commands are all that scenarios may use but "world", which begins each of them.
var commands = mergeCommands(siteCommands, jobCommands, pipelineCommands, controllerCommands, machineCommands, networkCommands, raceCommands, inspectionCommands)

func mergeCommands(groups ...map[string]command) map[string]command {
	all := map[string]command{}
	for _, group := range groups {
		maps.Copy(all, group)
	}
	return all
}

// Do checks and carries out one command of a scenario and returns its output.
func (w *World) Do(name string, a Args, input string) (string, error) {
	c, ok := commands[name]
	if !ok {
		return "", fmt.Errorf("unknown command %s", name)
	}
	if err := a.check(w, c.arguments); err != nil {
		return "", err
	}
	return c.run(w, a, input)
}

// act makes a runner of what prints nothing but "ok".
func act(do func(w *World, a Args)) runner {
	return func(w *World, a Args, _ string) (string, error) {
		do(w, a)
		return "ok", nil
	}
}

// show makes a runner of what prints something and cannot fail.
func show(print func(w *World, a Args) string) runner {
	return func(w *World, a Args, _ string) (string, error) { return print(w, a), nil }
}

// withArguments is a list of arguments and more of them.
func withArguments(list []argument, more ...argument) []argument {
	return append(slices.Clone(list), more...)
}

var worldArguments = []argument{
	number("nodes", "controllers"),
	number("seed", "of all random draws"),
	number("report", "seconds between a worker's reports"),
	number("lease", "seconds that a worker's lease lasts"),
	number("cancel", "seconds that a cancellation may take"),
	number("cloudrps", "the cloud's limit of requests per second"),
	number("maxgpus", "the first team's limit of GPUs"),
	number("rps", "the state service's limit of requests per second"),
	number("writes", "the state service's limit of writes per second"),
	number("nextrps", "announced limit of requests per second"),
	number("nextwrites", "announced limit of writes per second"),
	number("nextvalue", "announced limit of a value's size in KiB"),
	number("nextops", "announced limit of writes per transaction"),
}
