package config

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Seed is another controller.
type Seed struct {
	Label    string `json:"label"`
	Site     string `json:"site"`
	Endpoint string `json:"endpoint"`
}

// Team is a team's guarantee (CPUs, GPUs) and limit (CPUsMax, GPUsMax); 0 means
// none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is one of the platform's aims, for a class of jobs or for all.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"` // of the deadline
}

// Known reports whether this version knows the objective's kind. One of another
// kind is from a later platform and is ignored.
func (o *Objective) Known() bool {
	switch o.Kind {
	case "wait", "finished", "deadline", "guarantee", "makespan":
		return true
	}
	return false
}

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	// Next holds the limits that will apply from some moment on, without notice.
	// What is absent stays as it is.
	Next *NextStateLimits `json:"next"`
}

// NextStateLimits are announced limits of the state service; nil means unchanged.
type NextStateLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Lasting returns the limits that hold both before and after the announced
// change: the smaller one of each kind. Limits on sizes have to be kept in this
// form from the start, as the change comes without notice; rates may be used in
// full until the first 429.
func (s StateLimits) Lasting() StateLimits {
	if next := s.Next; next != nil {
		lower(&s.RPS, next.RPS)
		lower(&s.WriteRPS, next.WriteRPS)
		lower(&s.ValueKB, next.ValueKB)
		lower(&s.TxnOps, next.TxnOps)
	}
	s.Next = nil
	return s
}

// lower sets a limit to the announced one if that is smaller.
func lower[T int | float64](limit, next *T) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// Platform is the settings file that the platform hands over. Unknown fields
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

// Parse reads and checks the platform's JSON. The operators' settings are the
// defaults.
func Parse(raw []byte) (*Platform, error) {
	p := &Platform{Operator: DefaultOperator()}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, describeJSONError(err)
	}
	if err := p.check(); err != nil {
		return nil, err
	}
	return p, nil
}

// describeJSONError names the key and what was expected there, or the place
// where the text is not JSON.
func describeJSONError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		key := wrongType.Field
		if key == "" {
			key = "the file"
		}
		return fmt.Errorf("%s: expected %s, found %s", key, jsonKind(wrongType), wrongType.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Errorf("not JSON, at byte %d: %w", syntax.Offset, err)
	}
	return err
}
