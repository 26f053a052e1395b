// Package config reads and checks the platform's settings file (JSON) and the
// operators' own settings (TOML).
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/BurntSushi/toml"
)

// Seed is another controller.
type Seed struct {
	Label    string `json:"label"`
	Site     string `json:"site"`
	Endpoint string `json:"endpoint"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective restates one aim, for a class of jobs or for all.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"` // of the deadline
}

// StateLimits are the state service's.
type StateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	// Next are those it will have from some moment on; absent: the same.
	Next *struct {
		RPS      *float64 `json:"rps"`
		WriteRPS *float64 `json:"write_rps"`
		ValueKB  *float64 `json:"value_kb"`
		TxnOps   *int     `json:"txn_ops"`
	} `json:"next"`
}

// Lasting are the limits that hold before and after they change: the smaller
// ones of each kind. Those on sizes count for all that is written from the start,
// as the change comes without notice; those on rates from the first 429 on.
func (s StateLimits) Lasting() StateLimits {
	if n := s.Next; n != nil {
		lower(&s.RPS, n.RPS)
		lower(&s.WriteRPS, n.WriteRPS)
		lower(&s.ValueKB, n.ValueKB)
		lower(&s.TxnOps, n.TxnOps)
	}
	s.Next = nil
	return s
}

func lower[T int | float64](v, next *T) {
	if next != nil {
		*v = min(*v, *next)
	}
}

// Known tells whether we know what the objective asks for. One of another
// kind is from a later platform and ignored.
func (o *Objective) Known() bool {
	switch o.Kind {
	case "wait", "finished", "deadline", "guarantee", "makespan":
		return true
	}
	return false
}

func (o *Objective) good() bool {
	return o.WithinS >= 0 && o.Share >= 0 && o.Share <= 1 && o.Times >= 0
}

// Platform is the settings file handed over by the platform. Unknown fields
// are ignored.
type Platform struct {
	Label    string `json:"label"`
	Site     string `json:"site"`
	Bind     string `json:"bind"`
	PeerBind string `json:"peer_bind"`
	Seeds    []Seed `json:"seeds"`
	Services struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"services"`
	Settings struct {
		Count      int         `json:"count"`
		Zones      []string    `json:"zones"`
		Teams      []Team      `json:"teams"`
		Objectives []Objective `json:"objectives"`
		Workers    struct {
			ReportS   float64 `json:"report_s"`
			LeaseS    float64 `json:"lease_s"`
			GangWaitS float64 `json:"gang_wait_s"`
			GangPeerS float64 `json:"gang_peer_s"`
			CancelS   float64 `json:"cancel_s"`
		} `json:"workers"`
		State StateLimits `json:"state"`
		Cloud struct {
			RPS      float64 `json:"rps"`
			ListLagS float64 `json:"list_lag_s"`
		} `json:"cloud"`
		Resources struct {
			CPUShare       float64 `json:"core_share"`
			MemoryMB       float64 `json:"ram_mb"`
			MaxConnections int     `json:"max_connections"`
		} `json:"resources"`
		SkewMS float64 `json:"skew_ms"`
	} `json:"settings"`

	// Operator holds the operators' own settings.
	Operator Operator `json:"-"`
}

// Duration is a TOML duration such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a Go duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	if v <= 0 {
		return fmt.Errorf("duration %q must be positive", text)
	}
	*d = Duration(v)
	return nil
}

// Operator is the operators' TOML file. See docs/lugward.sample.toml.
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

// DefaultOperator returns the values used where the TOML file says nothing.
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

// Load reads the platform file and, if tomlPath is not empty, the operators'
// file, and checks both.
func Load(path, tomlPath string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	if tomlPath != "" {
		raw, err := os.ReadFile(tomlPath)
		if err != nil {
			return nil, fmt.Errorf("operator settings: %w", err)
		}
		if p.Operator, err = ParseOperator(string(raw)); err != nil {
			return nil, fmt.Errorf("operator settings %s: %w", tomlPath, err)
		}
	}
	return p, nil
}

// ParseOperator reads the TOML text over the defaults. Unknown keys are
// errors that name the key.
func ParseOperator(text string) (Operator, error) {
	o := DefaultOperator()
	md, err := toml.Decode(text, &o)
	if err != nil {
		return o, err
	}
	if un := md.Undecoded(); len(un) > 0 {
		return o, fmt.Errorf("unknown key %s", un[0])
	}
	if time.Duration(o.Term.Life) < time.Second {
		return o, fmt.Errorf("term.life must be at least 1s")
	}
	return o, nil
}

// Parse reads and checks the platform's JSON.
func Parse(raw []byte) (*Platform, error) {
	p := &Platform{Operator: DefaultOperator()}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, err
	}
	return p, p.check()
}

func (p *Platform) check() error {
	if p.Label == "" {
		return fmt.Errorf("label is missing")
	}
	addrs := [][2]string{{"bind", p.Bind}, {"peer_bind", p.PeerBind}, {"services.cloud", p.Services.Cloud}, {"services.state", p.Services.State}}
	for _, s := range p.Seeds {
		if s.Label == "" || s.Label == p.Label {
			return fmt.Errorf("seeds: label %q is empty or our own", s.Label)
		}
		addrs = append(addrs, [2]string{"seeds." + s.Label + ".endpoint", s.Endpoint})
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a[1]); err != nil {
			return fmt.Errorf("%s: %q is not an address and port", a[0], a[1])
		}
	}
	s := &p.Settings
	for _, v := range []struct {
		name string
		v    float64
	}{
		{"workers.report_s", s.Workers.ReportS}, {"workers.lease_s", s.Workers.LeaseS},
		{"workers.gang_wait_s", s.Workers.GangWaitS}, {"workers.gang_peer_s", s.Workers.GangPeerS},
		{"workers.cancel_s", s.Workers.CancelS}, {"state.rps", s.State.RPS}, {"state.write_rps", s.State.WriteRPS},
		{"state.value_kb", s.State.ValueKB}, {"state.txn_ops", float64(s.State.TxnOps)},
		{"cloud.rps", s.Cloud.RPS}, {"resources.core_share", s.Resources.CPUShare},
		{"resources.ram_mb", s.Resources.MemoryMB}, {"resources.max_connections", float64(s.Resources.MaxConnections)},
	} {
		if !(v.v > 0) {
			return fmt.Errorf("settings.%s must be positive", v.name)
		}
	}
	if n := s.State.Next; n != nil {
		for _, v := range []struct {
			name string
			bad  bool
		}{
			{"rps", n.RPS != nil && !(*n.RPS > 0)}, {"write_rps", n.WriteRPS != nil && !(*n.WriteRPS > 0)},
			{"value_kb", n.ValueKB != nil && !(*n.ValueKB > 0)}, {"txn_ops", n.TxnOps != nil && *n.TxnOps <= 0},
		} {
			if v.bad {
				return fmt.Errorf("settings.state.next.%s must be positive", v.name)
			}
		}
	}
	if s.Cloud.ListLagS < 0 {
		return fmt.Errorf("settings.cloud.list_lag_s must not be negative")
	}
	// A cancelled job must be gone within cancel_s even when the node that
	// answers its worker has lost the state service: lease_s of that has to
	// remain for the worker's own clean-up.
	if s.Workers.CancelS <= s.Workers.LeaseS {
		return fmt.Errorf("settings.workers.cancel_s must exceed lease_s")
	}
	for _, o := range s.Objectives {
		if o.Known() && !o.good() {
			return fmt.Errorf("settings.objectives: %s of class %q has a negative amount or a share beyond 1", o.Kind, o.Class)
		}
	}
	for _, t := range s.Teams {
		if t.Name == "" || t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return fmt.Errorf("settings.teams: team %q has no name or a negative amount", t.Name)
		}
	}
	return nil
}

// Seconds turns a settings value into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
