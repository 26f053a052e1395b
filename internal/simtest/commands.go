package simtest

import (
	"fmt"
	"maps"
	"slices"
)

// commandFunc carries out a command and returns its output.
type commandFunc func(world *World, arguments Arguments, input string) (string, error)

// command is what a scenario may ask for: usage and arguments document it.
type command struct {
	usage      string
	parameters []parameter
	run        commandFunc
}

// commands are all that scenarios may use but "world", which begins each of them.
var commands = mergeCommands(
	serviceCommands,
	jobCommands,
	watchingCommands,
	pipelineCommands,
	controllerCommands,
	machineCommands,
	networkCommands,
	raceCommands,
	inspectionCommands,
)

// mergeCommands puts groups of commands together.
func mergeCommands(groups ...map[string]command) map[string]command {
	all := map[string]command{}
	for _, group := range groups {
		maps.Copy(all, group)
	}
	return all
}

// RunCommand checks and carries out one command of a scenario and returns its output.
func (world *World) RunCommand(name string, arguments Arguments, input string) (string, error) {
	command, ok := commands[name]
	if !ok {
		return "", fmt.Errorf("unknown command %s", name)
	}
	if err := arguments.check(world, command.parameters); err != nil {
		return "", err
	}
	return command.run(world, arguments, input)
}

// acting makes a commandFunc of what prints nothing but "ok".
func acting(action func(world *World, arguments Arguments)) commandFunc {
	return func(world *World, arguments Arguments, _ string) (string, error) {
		action(world, arguments)
		return "ok", nil
	}
}

// printing makes a commandFunc of what prints something and cannot fail.
func printing(output func(world *World, arguments Arguments) string) commandFunc {
	return func(world *World, arguments Arguments, _ string) (string, error) {
		return output(world, arguments), nil
	}
}

// withParameters is a list of arguments and more of them.
func withParameters(list []parameter, more ...parameter) []parameter {
	return append(slices.Clone(list), more...)
}

// worldParameters are those of the command "world".
var worldParameters = []parameter{
	numberParameter("nodes", "controllers"),
	numberParameter("seed", "of all random draws"),
	numberParameter("report", "seconds between a worker's heartbeats"),
	numberParameter("lease", "seconds that a worker's lease lasts"),
	numberParameter("cancel", "seconds that a cancellation may take"),
	numberParameter("cloudrps", "the cloud's limit of requests per second"),
	numberParameter("maxgpus", "the first team's limit of GPUs"),
	numberParameter("rps", "the state service's limit of requests per second"),
	numberParameter("writes", "the state service's limit of writes per second"),
	numberParameter("nextrps", "announced limit of requests per second"),
	numberParameter("nextwrites", "announced limit of writes per second"),
	numberParameter("nextvalue", "announced limit of a value's size in KiB"),
	numberParameter("nextops", "announced limit of writes per transaction"),
}
