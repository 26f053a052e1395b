package simtest

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Arguments are the arguments of a scenario command. RunCommand checks them before
// the command runs. A malformed number or duration in the methods below is
// therefore a programming error in a Go caller, and they panic.
type Arguments map[string]string

// text returns the value of an argument, or def if the argument is absent.
func (arguments Arguments) text(key, def string) string {
	if value, ok := arguments[key]; ok {
		return value
	}
	return def
}

// number returns the value of an argument as a number, or def if the argument is absent.
func (arguments Arguments) number(key, def string) float64 {
	value, err := strconv.ParseFloat(arguments.text(key, def), 64)
	if err != nil {
		panic(fmt.Sprintf("%s=%s is not a number", key, arguments[key]))
	}
	return value
}

// duration returns the value of an argument as a duration, or def if the argument is absent.
func (arguments Arguments) duration(key, def string) time.Duration {
	value, err := time.ParseDuration(arguments.text(key, def))
	if err != nil {
		panic(err)
	}
	return value
}

// has reports whether an argument is present.
func (arguments Arguments) has(key string) bool { _, ok := arguments[key]; return ok }

// parameter documents a parameter of a command and checks its values.
type parameter struct {
	name     string
	usage    string
	required bool
	check    func(world *World, value string) error
}

// check validates the arguments of a command against its parameters.
func (arguments Arguments) check(world *World, parameters []parameter) error {
	for name := range arguments {
		if !slices.ContainsFunc(parameters, func(param parameter) bool { return param.name == name }) {
			return fmt.Errorf("unknown argument %s", name)
		}
	}
	for _, param := range parameters {
		value, given := arguments[param.name]
		if !given {
			if param.required {
				return fmt.Errorf("argument %s is missing", param.name)
			}
			continue
		}
		if err := param.check(world, value); err != nil {
			return fmt.Errorf("%s=%s: %w", param.name, value, err)
		}
	}
	return nil
}

// required returns a copy of a parameter that must be given.
func required(param parameter) parameter {
	param.required = true
	return param
}

// textParameter returns a parameter that accepts any value.
func textParameter(name, usage string) parameter {
	return parameter{name: name, usage: usage, check: func(*World, string) error { return nil }}
}

// numberParameter returns a parameter that accepts a decimal number.
func numberParameter(name, usage string) parameter {
	return parameter{name: name, usage: usage, check: func(_ *World, value string) error {
		if _, err := strconv.ParseFloat(value, 64); err != nil {
			return errors.New("not a number")
		}
		return nil
	}}
}

// durationParameter returns a parameter that accepts a duration such as 1m30s.
func durationParameter(name, usage string) parameter {
	return parameter{name: name, usage: usage, check: func(_ *World, value string) error {
		if _, err := time.ParseDuration(value); err != nil {
			return errors.New("not a duration")
		}
		return nil
	}}
}

// flagParameter returns a parameter without a value: it is present or absent.
func flagParameter(name, usage string) parameter {
	return parameter{name: name, usage: usage, check: func(_ *World, value string) error {
		if value != "" {
			return errors.New("a flag takes no value")
		}
		return nil
	}}
}

// choiceParameter returns a parameter that accepts one of several values.
func choiceParameter(name, usage string, choices ...string) parameter {
	return parameter{name: name, usage: usage + ": " + strings.Join(choices, ", "), check: func(_ *World, value string) error {
		if !slices.Contains(choices, value) {
			return fmt.Errorf("not one of %s", strings.Join(choices, ", "))
		}
		return nil
	}}
}

// controllerParameter returns a parameter that accepts a controller (n0, n1, ...), "leader"
// or "all".
func controllerParameter(usage string) parameter {
	return parameter{name: "controller", usage: usage, check: func(world *World, value string) error {
		if value == "all" || value == "leader" || world.controller(value) != nil {
			return nil
		}
		return errors.New("no such controller")
	}}
}

// jobIDsParameter returns a parameter that accepts job IDs in the syntax of parseJobIDs.
func jobIDsParameter(name, usage string) parameter {
	return parameter{name: name, usage: usage, check: func(_ *World, value string) error {
		_, err := parseJobIDs(value)
		return err
	}}
}

// machineTypeParameter returns a parameter that accepts the name of a machine type that the cloud
// offers.
func machineTypeParameter(usage string) parameter {
	return parameter{name: "type", usage: usage, check: func(_ *World, value string) error {
		if !slices.Contains(offeredTypeNames, value) {
			return errors.New("no such machine type")
		}
		return nil
	}}
}

// parseJobIDs parses job IDs joined by "+". req-000100*3000 means 3000 consecutive IDs from
// req-000100 on.
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
			return nil, fmt.Errorf("%s is not a job ID of the form req-N", id)
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
