package config

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Duration is a positive duration, written in TOML as a string such as "1.5s".
type Duration time.Duration

// UnmarshalTOML parses a string in the format of time.ParseDuration.
func (d *Duration) UnmarshalTOML(value any) error {
	text, ok := value.(string)
	if !ok {
		return fmt.Errorf("expected a duration in quotes such as \"1.5s\", found %v", value)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("expected a duration such as \"1.5s\", found %q", text)
	}
	if v <= 0 {
		return fmt.Errorf("expected a positive duration, found %q", text)
	}
	*d = Duration(v)
	return nil
}

// Operator holds the settings of the operators' TOML file. docs/lugward.sample.toml
// documents the keys.
type Operator struct {
	Term       TermSettings       `toml:"term"`
	Scheduler  SchedulerSettings  `toml:"place"`
	Autoscaler AutoscalerSettings `toml:"rental"`
	API        APISettings        `toml:"intake"`
}

// TermSettings configure the leader's term.
type TermSettings struct {
	LeaseDuration Duration `toml:"life"` // duration of the leader's lease, at least minLeaseDuration
}

// SchedulerSettings configure the scheduler's placement rounds.
type SchedulerSettings struct {
	RoundInterval Duration `toml:"round"`  // interval between two rounds
	RoundBudget   Duration `toml:"budget"` // maximum duration of one round
}

// AutoscalerSettings configure the release of machines.
type AutoscalerSettings struct {
	IdleTimeout  Duration `toml:"idle_keep"` // time until an idle machine is released
	ReleaseDelay Duration `toml:"settle"`    // time from the start of a term until machines may be released
}

// APISettings configure the users' HTTP API.
type APISettings struct {
	RequestTimeout Duration `toml:"answer"` // a request that takes longer gets status 503
}

// minLeaseDuration is the minimum duration of the leader's lease. The leader renews its
// lease several times within that duration. A shorter lease could expire while a
// response of the state service is slow.
const minLeaseDuration = time.Second

// DefaultOperator returns the default settings, which apply to all keys that the TOML
// file omits.
func DefaultOperator() Operator {
	return Operator{
		Term: TermSettings{LeaseDuration: Duration(4 * time.Second)},
		Scheduler: SchedulerSettings{
			RoundInterval: Duration(200 * time.Millisecond),
			RoundBudget:   Duration(5 * time.Millisecond),
		},
		Autoscaler: AutoscalerSettings{
			IdleTimeout:  Duration(20 * time.Second),
			ReleaseDelay: Duration(20 * time.Second),
		},
		API: APISettings{RequestTimeout: Duration(1500 * time.Millisecond)},
	}
}

// ParseOperator parses the TOML text and applies it on top of the defaults. An unknown
// key is an error, since a misspelt key would otherwise be ignored silently. Errors are
// of type *Error, with an empty File.
func ParseOperator(text string) (Operator, error) {
	o := DefaultOperator()
	meta, err := toml.Decode(text, &o)
	if err != nil {
		return o, tomlError(err)
	}
	if key := unknownOperatorKey(meta); key != "" {
		return o, newError(Error{Key: key, Expected: "a key of docs/lugward.sample.toml"}, "unknown key %s: expected a key of docs/lugward.sample.toml", key)
	}
	if duration := time.Duration(o.Term.LeaseDuration); duration < minLeaseDuration {
		return o, newError(Error{Key: "term.life", Expected: fmt.Sprintf("at least %v", minLeaseDuration), Found: duration.String()},
			"term.life: expected at least %v, found %v", minLeaseDuration, duration)
	}
	return o, nil
}

// unknownOperatorKey returns the first key of a document that is not a key of Operator, or
// "" if there is none. Names are compared exactly: the decoder would also take a key that
// differs in case.
func unknownOperatorKey(meta toml.MetaData) string {
	for _, key := range meta.Keys() {
		if !hasTOMLKey(reflect.TypeFor[Operator](), key) {
			return strings.Join(key, ".")
		}
	}
	return ""
}

// hasTOMLKey reports whether a struct has a field for a key, whose parts name nested structs.
func hasTOMLKey(structType reflect.Type, key toml.Key) bool {
	for i := range structType.NumField() {
		field := structType.Field(i)
		if field.Tag.Get("toml") != key[0] {
			continue
		}
		return len(key) == 1 || (field.Type.Kind() == reflect.Struct && hasTOMLKey(field.Type, key[1:]))
	}
	return false
}
