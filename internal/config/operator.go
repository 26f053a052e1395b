package config

import (
	"errors"
	"fmt"
	"strings"
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
	Term struct {
		Life Duration `toml:"life"`
	} `toml:"term"`
	Scheduler struct {
		Round  Duration `toml:"round"`
		Budget Duration `toml:"budget"`
	} `toml:"place"`
	Autoscaler struct {
		IdleKeep Duration `toml:"idle_keep"`
		Settle   Duration `toml:"settle"`
	} `toml:"rental"`
	API struct {
		Answer Duration `toml:"answer"`
	} `toml:"intake"`
}

// minTermLife is the shortest lease of a term. The leader renews its lease
// several times within it, and a shorter one would not outlast a slow answer.
const minTermLife = time.Second

// DefaultOperator returns the values of all keys that the TOML file leaves out.
func DefaultOperator() Operator {
	var o Operator
	o.Term.Life = Duration(4 * time.Second)
	o.Scheduler.Round = Duration(200 * time.Millisecond)
	o.Scheduler.Budget = Duration(5 * time.Millisecond)
	o.Autoscaler.IdleKeep = Duration(20 * time.Second)
	o.Autoscaler.Settle = Duration(20 * time.Second)
	o.API.Answer = Duration(1500 * time.Millisecond)
	return o
}

// ParseOperator reads the TOML text over the defaults. An unknown key is an
// error: it would else be a misspelt key that changes nothing.
func ParseOperator(text string) (Operator, error) {
	o := DefaultOperator()
	meta, err := toml.Decode(text, &o)
	if err != nil {
		return o, describeTOMLError(err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return o, fmt.Errorf("unknown key %s", unknown[0])
	}
	if time.Duration(o.Term.Life) < minTermLife {
		return o, fmt.Errorf("term.life must be at least %v", minTermLife)
	}
	return o, nil
}

// describeTOMLError replaces Go's type names in the decoder's error for a value
// in place of a table. Other errors name the line and the key in plain words.
func describeTOMLError(err error) error {
	position, _, found := strings.Cut(err.Error(), "type mismatch for struct")
	if found {
		return errors.New(position + "expected a table")
	}
	return err
}
