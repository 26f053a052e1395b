package simtest

import (
	"fmt"
	"maps"
	"slices"
)

// commandFunc runs a command and returns its output.
type commandFunc func(world *World, arguments Arguments, input string) (string, error)

// command is a command that scenarios can run. usage and parameters document it.
type command struct {
	usage      string
	parameters []parameter
	run        commandFunc
}

// commands are the commands that scenarios can use, except "world", which starts every scenario.
var commands = mergeCommands(
	serviceCommands,
	jobCommands,
	pollCommands,
	pipelineCommands,
	controllerCommands,
	machineCommands,
	networkCommands,
	raceCommands,
	inspectionCommands,
)

// mergeCommands merges groups of commands into one map.
func mergeCommands(groups ...map[string]command) map[string]command {
	all := map[string]command{}
	for _, group := range groups {
		maps.Copy(all, group)
	}
	return all
}

// RunCommand checks the arguments of one scenario command, runs it and returns its output.
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

// actionCommand returns a commandFunc that runs action and prints "ok".
func actionCommand(action func(world *World, arguments Arguments)) commandFunc {
	return func(world *World, arguments Arguments, _ string) (string, error) {
		action(world, arguments)
		return "ok", nil
	}
}

// printCommand returns a commandFunc that prints what output returns and never fails.
func printCommand(output func(world *World, arguments Arguments) string) commandFunc {
	return func(world *World, arguments Arguments, _ string) (string, error) {
		return output(world, arguments), nil
	}
}

// withParameters returns a copy of list with more parameters appended.
func withParameters(list []parameter, more ...parameter) []parameter {
	return append(slices.Clone(list), more...)
}

// worldParameters are the parameters of the command "world".
var worldParameters = []parameter{
	numberParameter("controllers", "number of controllers"),
	numberParameter("seed", "seed of the random number generator"),
	numberParameter("heartbeat", "seconds between a worker's heartbeats"),
	numberParameter("lease", "seconds that a worker's lease lasts"),
	numberParameter("cancel", "seconds within which the tasks of a cancelled job must stop"),
	numberParameter("cloud_rps", "the cloud's limit of requests per second"),
	numberParameter("max_gpus", "the first team's limit of GPUs"),
	numberParameter("rps", "the state service's limit of requests per second"),
	numberParameter("writes", "the state service's limit of writes per second"),
	numberParameter("nextrps", "announced next limit of requests per second"),
	numberParameter("nextwrites", "announced next limit of writes per second"),
	numberParameter("nextvalue", "announced next limit of a value's size in KiB"),
	numberParameter("nextops", "announced next limit of writes per transaction"),
}
