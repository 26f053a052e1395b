package simtest

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Arguments are the arguments of a scenario's command. Those of a scenario are
// checked before the command runs, so a malformed number or duration in the
// methods below is a fault of a Go caller, and they panic.
type Arguments map[string]string

// text is the value of an argument, or a default if it is absent.
func (arguments Arguments) text(key, def string) string {
	if value, ok := arguments[key]; ok {
		return value
	}
	return def
}

// number is text as a number.
func (arguments Arguments) number(key, def string) float64 {
	value, err := strconv.ParseFloat(arguments.text(key, def), 64)
	if err != nil {
		panic(fmt.Sprintf("%s=%s is not a number", key, arguments[key]))
	}
	return value
}

// duration is text as a duration.
func (arguments Arguments) duration(key, def string) time.Duration {
	value, err := time.ParseDuration(arguments.text(key, def))
	if err != nil {
		panic(err)
	}
	return value
}

// has reports whether an argument is given.
func (arguments Arguments) has(key string) bool { _, ok := arguments[key]; return ok }

// parameter documents an argument of a command and checks its values.
type parameter struct {
	name     string
	usage    string
	required bool
	check    func(world *World, value string) error
}

// check tells what is wrong with the arguments of a command, nil if nothing is.
func (arguments Arguments) check(world *World, known []parameter) error {
	for name := range arguments {
		if !slices.ContainsFunc(known, func(arg parameter) bool { return arg.name == name }) {
			return fmt.Errorf("unknown argument %s", name)
		}
	}
	for _, arg := range known {
		value, given := arguments[arg.name]
		if !given {
			if arg.required {
				return fmt.Errorf("argument %s is missing", arg.name)
			}
			continue
		}
		if err := arg.check(world, value); err != nil {
			return fmt.Errorf("%s=%s: %w", arg.name, value, err)
		}
	}
	return nil
}

// required makes an argument one that must be given.
func required(arg parameter) parameter {
	arg.required = true
	return arg
}

// textParameter takes any value.
func textParameter(name, usage string) parameter {
	return parameter{name: name, usage: usage, check: func(*World, string) error { return nil }}
}

// numberParameter takes a decimal number.
func numberParameter(name, usage string) parameter {
	return parameter{name: name, usage: usage, check: func(_ *World, value string) error {
		if _, err := strconv.ParseFloat(value, 64); err != nil {
			return errors.New("not a number")
		}
		return nil
	}}
}

// durationParameter takes a duration such as 1m30s.
func durationParameter(name, usage string) parameter {
	return parameter{name: name, usage: usage, check: func(_ *World, value string) error {
		if _, err := time.ParseDuration(value); err != nil {
			return errors.New("not a duration")
		}
		return nil
	}}
}

// flagParameter takes no value: it is given or not.
func flagParameter(name, usage string) parameter {
	return parameter{name: name, usage: usage, check: func(_ *World, value string) error {
		if value != "" {
			return errors.New("a flag has no value")
		}
		return nil
	}}
}

// choiceParameter takes one of several values.
func choiceParameter(name, usage string, choices ...string) parameter {
	return parameter{name: name, usage: usage + ": " + strings.Join(choices, ", "), check: func(_ *World, value string) error {
		if !slices.Contains(choices, value) {
			return fmt.Errorf("not one of %s", strings.Join(choices, ", "))
		}
		return nil
	}}
}

// controllerParameter is an argument that names one controller (n0, n1, ...), the leader
// or all.
func controllerParameter(usage string) parameter {
	return parameter{name: "node", usage: usage, check: func(world *World, value string) error {
		if value == "all" || value == "leader" || world.controller(value) != nil {
			return nil
		}
		return errors.New("no such controller")
	}}
}

// jobIDsParameter takes what parseJobIDs reads.
func jobIDsParameter(name, usage string) parameter {
	return parameter{name: name, usage: usage, check: func(_ *World, value string) error {
		_, err := parseJobIDs(value)
		return err
	}}
}

// machineTypeParameter takes the name of a machine type that the cloud offers.
func machineTypeParameter(usage string) parameter {
	return parameter{name: "type", usage: usage, check: func(_ *World, value string) error {
		if !slices.Contains(offeredTypeNames, value) {
			return errors.New("no such machine type")
		}
		return nil
	}}
}

// parseJobIDs reads job IDs joined by "+", where req-000100*3000 stands for that
// many, counted up.
func parseJobIDs(text string) ([]string, error) {
	var ids []string
	for _, part := range strings.Split(text, "+") {
		id, count, many := strings.Cut(part, "*")
		if !many {
			ids = append(ids, id)
			continue
		}
		first, err := strconv.Atoi(strings.TrimPrefix(id, "req-"))
		if err != nil {
			return nil, fmt.Errorf("%s is not req- and a number", id)
		}
		number, err := strconv.Atoi(count)
		if err != nil {
			return nil, fmt.Errorf("%s is not a number of jobs", count)
		}
		for i := range number {
			ids = append(ids, jobID(first+i))
		}
	}
	return ids, nil
}
