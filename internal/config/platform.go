package config

import (
	"time"

	"lugward/internal/jsonwire"
)

const msPerSecond = 1000

// Seed is another controller.
type Seed struct {
	Label    string `json:"label"`
	Site     string `json:"site"`
	Endpoint string `json:"endpoint"` // address and port for peer connections
}

// Team holds a team's quota (CPUs, GPUs), which is its guaranteed use, and its limit
// (CPUsMax, GPUsMax), which is its maximum use. Zero means that there is no quota or
// no limit.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is one of the platform's service-level objectives, for one class of jobs
// or for all jobs. Its kind determines which fields are used.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`    // empty for all classes
	WithinS float64 `json:"within_s"` // seconds
	Share   float64 `json:"share"`    // share of the jobs, 0 to 1
	Times   float64 `json:"times"`    // multiple of the deadline
}

// Known reports whether this version supports the objective's kind. Objectives of
// other kinds come from a later version of the platform and are ignored.
func (o *Objective) Known() bool {
	switch o.Kind {
	case "wait", "finished", "deadline", "guarantee", "makespan":
		return true
	}
	return false
}

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS      float64 `json:"rps"`       // requests per second
	WriteRPS float64 `json:"write_rps"` // writes per second
	ValueKB  float64 `json:"value_kb"`  // maximum size of a value, in KiB
	TxnOps   int     `json:"txn_ops"`   // maximum number of writes in one transaction
	// Next holds limits that will take effect at an unknown time, without notice. A
	// limit that is absent does not change.
	Next *NextStateLimits `json:"next"`
}

// NextStateLimits are announced limits of the state service, in the units of
// StateLimits. A nil field means that the limit does not change.
type NextStateLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// Strictest returns limits that are valid both before and after the announced change:
// the smaller value of each limit. The size limits must be respected in this form from
// the start, since the change takes effect without notice. The current rate limits may
// be used in full until the first response with status 429.
func (s StateLimits) Strictest() StateLimits {
	if next := s.Next; next != nil {
		lower(&s.RPS, next.RPS)
		lower(&s.WriteRPS, next.WriteRPS)
		lower(&s.ValueKB, next.ValueKB)
		lower(&s.TxnOps, next.TxnOps)
	}
	s.Next = nil
	return s
}

// lower lowers limit to next if next is set and smaller.
func lower[T int | float64](limit, next *T) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// WorkerSettings are the intervals and timeouts of the workers, in seconds.
type WorkerSettings struct {
	HeartbeatS float64 `json:"report_s"`    // interval between two heartbeats
	LeaseS     float64 `json:"lease_s"`     // a worker without a response for this long stops its tasks
	GangWaitS  float64 `json:"gang_wait_s"` // only validated, not used by the controller
	GangPeerS  float64 `json:"gang_peer_s"` // only validated, not used by the controller
	CancelS    float64 `json:"cancel_s"`    // maximum time from a cancellation until all tasks of the job have ended
}

// CloudLimits are the limits and guarantees of the cloud's API.
type CloudLimits struct {
	RPS      float64 `json:"rps"`        // requests per second
	ListLagS float64 `json:"list_lag_s"` // maximum delay of the list of machines, in seconds
}

// Resources are the resources that a controller may use.
type Resources struct {
	CPUShare       float64 `json:"core_share"`      // share of one core
	MemoryMB       float64 `json:"ram_mb"`          // MiB
	MaxConnections int     `json:"max_connections"` // open sockets
}

// Settings are the platform's settings for the site.
type Settings struct {
	Count      int            `json:"count"`
	Zones      []string       `json:"zones"`
	Teams      []Team         `json:"teams"`
	Objectives []Objective    `json:"objectives"`
	Workers    WorkerSettings `json:"workers"`
	State      StateLimits    `json:"state"`
	Cloud      CloudLimits    `json:"cloud"`
	Resources  Resources      `json:"resources"`
	SkewMS     float64        `json:"skew_ms"` // greatest difference between a clock's time of day and true time
}

// ClockSkew returns the greatest difference between the time of day of a controller's clock
// and true time.
func (s *Settings) ClockSkew() time.Duration { return Seconds(s.SkewMS / msPerSecond) }

// Services holds the addresses and ports of the services that a controller calls.
type Services struct {
	Cloud string `json:"cloud"`
	State string `json:"state"` // the state service
}

// Platform is the settings file that the platform provides. Unknown fields are
// ignored.
type Platform struct {
	Label    string   `json:"label"` // label of this controller
	Site     string   `json:"site"`
	Bind     string   `json:"bind"`      // address and port for users and workers
	PeerBind string   `json:"peer_bind"` // address and port for other controllers
	Seeds    []Seed   `json:"seeds"`
	Services Services `json:"services"`
	Settings Settings `json:"settings"`

	// Operator holds the settings of the operators' file.
	Operator Operator `json:"-"`
}

// Parse parses and validates the platform's JSON. Operator is set to the defaults.
// Errors are of type *Error, with an empty File.
func Parse(raw []byte) (*Platform, error) {
	p := &Platform{Operator: DefaultOperator()}
	if err := jsonwire.Unmarshal(raw, p); err != nil {
		return nil, jsonError(err)
	}
	if err := p.check(); err != nil {
		return nil, err
	}
	return p, nil
}
