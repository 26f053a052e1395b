package simtest

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Args are the arguments of a scenario's command. Those of a scenario are
// checked before the command runs, so a malformed number or duration in the
// methods below is a fault of a Go caller, and they panic.
type Args map[string]string

func (a Args) or(key, def string) string {
	if v, ok := a[key]; ok {
		return v
	}
	return def
}

func (a Args) num(key, def string) float64 {
	v, err := strconv.ParseFloat(a.or(key, def), 64)
	if err != nil {
		panic(fmt.Sprintf("%s=%s is not a number", key, a[key]))
	}
	return v
}

func (a Args) dur(key, def string) time.Duration {
	v, err := time.ParseDuration(a.or(key, def))
	if err != nil {
		panic(err)
	}
	return v
}

func (a Args) flag(key string) bool { _, ok := a[key]; return ok }

// argument documents an argument of a command and checks its values.
type argument struct {
	name     string
	usage    string
	required bool
	check    func(w *World, value string) error
}

// check tells what is wrong with the arguments of a command, nil if nothing is.
func (a Args) check(w *World, known []argument) error {
	for name := range a {
		if !slices.ContainsFunc(known, func(arg argument) bool { return arg.name == name }) {
			return fmt.Errorf("unknown argument %s", name)
		}
	}
	for _, arg := range known {
		value, given := a[arg.name]
		if !given {
			if arg.required {
				return fmt.Errorf("argument %s is missing", arg.name)
			}
			continue
		}
		if err := arg.check(w, value); err != nil {
			return fmt.Errorf("%s=%s: %w", arg.name, value, err)
		}
	}
	return nil
}

// need makes an argument one that must be given.
func need(arg argument) argument {
	arg.required = true
	return arg
}

func text(name, usage string) argument {
	return argument{name: name, usage: usage, check: func(*World, string) error { return nil }}
}

func number(name, usage string) argument {
	return argument{name: name, usage: usage, check: func(_ *World, value string) error {
		if _, err := strconv.ParseFloat(value, 64); err != nil {
			return errors.New("not a number")
		}
		return nil
	}}
}

func duration(name, usage string) argument {
	return argument{name: name, usage: usage, check: func(_ *World, value string) error {
		if _, err := time.ParseDuration(value); err != nil {
			return errors.New("not a duration")
		}
		return nil
	}}
}

func boolean(name, usage string) argument {
	return argument{name: name, usage: usage, check: func(_ *World, value string) error {
		if value != "" {
			return errors.New("a flag has no value")
		}
		return nil
	}}
}

func oneOf(name, usage string, choices ...string) argument {
	return argument{name: name, usage: usage + ": " + strings.Join(choices, ", "), check: func(_ *World, value string) error {
		if !slices.Contains(choices, value) {
			return fmt.Errorf("not one of %s", strings.Join(choices, ", "))
		}
		return nil
	}}
}

// controllers is an argument that names one controller (n0, n1, ...), the leader
// or all.
func controllers(usage string) argument {
	return argument{name: "node", usage: usage, check: func(w *World, value string) error {
		if value == "all" || value == "leader" || w.controller(value) != nil {
			return nil
		}
		return errors.New("no such controller")
	}}
}

func jobIDs(name, usage string) argument {
	return argument{name: name, usage: usage, check: func(_ *World, value string) error {
		_, err := parseJobIDs(value)
		return err
	}}
}

func machineTypeName(usage string) argument {
	return argument{name: "type", usage: usage, check: func(_ *World, value string) error {
		if !slices.Contains(offeredNames, value) {
			return errors.New("no such machine type")
		}
		return nil
	}}
}
