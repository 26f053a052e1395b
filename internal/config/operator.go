package config

import (
	"fmt"
	"time"

	"github.com/BurntSushi/toml"
)

// Duration is a positive duration, written in TOML as text such as "1.5s".
type Duration time.Duration

// UnmarshalTOML takes text in Go's notation of durations.
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
		return fmt.Errorf("duration %q must be positive", text)
	}
	*d = Duration(v)
	return nil
}

// Operator is the operators' TOML file. docs/lugward.sample.toml describes the keys.
type Operator struct {
	Term       TermSettings       `toml:"term"`
	Scheduler  SchedulerSettings  `toml:"place"`
	Autoscaler AutoscalerSettings `toml:"rental"`
	API        APISettings        `toml:"intake"`
}

// TermSettings are about the leader's term of office.
type TermSettings struct {
	Life Duration `toml:"life"` // of the leader's lease, at least minTermLife
}

// SchedulerSettings are about the rounds that place tasks.
type SchedulerSettings struct {
	Round  Duration `toml:"round"`  // between two rounds
	Budget Duration `toml:"budget"` // the longest that one round may take
}

// AutoscalerSettings are about the release of machines.
type AutoscalerSettings struct {
	IdleKeep Duration `toml:"idle_keep"` // how long an idle machine is kept
	Settle   Duration `toml:"settle"`    // from the beginning of a term until machines may be released
}

// APISettings are about the users' HTTP API.
type APISettings struct {
	Answer Duration `toml:"answer"` // a request that is not decided by then gets 503
}

// minTermLife is the shortest lease of a term. The leader renews its lease
// several times within it, and a shorter one would not outlast a slow answer.
const minTermLife = time.Second

// DefaultOperator returns the values of all keys that the TOML file leaves out.
func DefaultOperator() Operator {
	return Operator{
		Term: TermSettings{Life: Duration(4 * time.Second)},
		Scheduler: SchedulerSettings{
			Round:  Duration(200 * time.Millisecond),
			Budget: Duration(5 * time.Millisecond),
		},
		Autoscaler: AutoscalerSettings{
			IdleKeep: Duration(20 * time.Second),
			Settle:   Duration(20 * time.Second),
		},
		API: APISettings{Answer: Duration(1500 * time.Millisecond)},
	}
}

// ParseOperator reads the TOML text over the defaults. An unknown key is an
// error: it would else be a misspelt key that changes nothing. Its errors are *Error,
// without a file.
func ParseOperator(text string) (Operator, error) {
	o := DefaultOperator()
	meta, err := toml.Decode(text, &o)
	if err != nil {
		return o, tomlError(err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		key := unknown[0].String()
		return o, problem(Error{Key: key, Expected: "a key of docs/lugward.sample.toml"}, "unknown key %s", key)
	}
	if life := time.Duration(o.Term.Life); life < minTermLife {
		return o, problem(Error{Key: "term.life", Expected: fmt.Sprintf("at least %v", minTermLife), Found: life.String()},
			"term.life must be at least %v", minTermLife)
	}
	return o, nil
}
