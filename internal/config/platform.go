package config

import "encoding/json"

// Seed is another controller.
type Seed struct {
	Label    string `json:"label"`
	Site     string `json:"site"`
	Endpoint string `json:"endpoint"` // address and port for peers
}

// Team is a team's quota (CPUs, GPUs), which it is guaranteed, and its limit
// (CPUsMax, GPUsMax); 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is one of the platform's service-level objectives, for a class of jobs or
// for all. Which fields count depends on its kind.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`    // empty: all
	WithinS float64 `json:"within_s"` // seconds
	Share   float64 `json:"share"`    // of the jobs, 0 to 1
	Times   float64 `json:"times"`    // multiple of the deadline
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

// StateLimits are the limits of the key-value store.
type StateLimits struct {
	RPS      float64 `json:"rps"`       // requests per second
	WriteRPS float64 `json:"write_rps"` // writes per second
	ValueKB  float64 `json:"value_kb"`  // largest value, in KiB
	TxnOps   int     `json:"txn_ops"`   // most writes in one transaction
	// Next holds the limits that will apply from some moment on, without notice.
	// What is absent stays as it is.
	Next *NextStateLimits `json:"next"`
}

// NextStateLimits are announced limits of the key-value store, in the units of
// StateLimits; nil means unchanged.
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

// WorkerSettings are the times that workers keep, in seconds.
type WorkerSettings struct {
	HeartbeatS float64 `json:"report_s"`    // between two heartbeats
	LeaseS     float64 `json:"lease_s"`     // a worker without an answer for this long stops its tasks
	GangWaitS  float64 `json:"gang_wait_s"` // only checked: nothing in the controller depends on it
	GangPeerS  float64 `json:"gang_peer_s"` // only checked, as GangWaitS
	CancelS    float64 `json:"cancel_s"`    // from a cancellation until all of the job's tasks have ended
}

// CloudLimits are what the cloud's API bears and promises.
type CloudLimits struct {
	RPS      float64 `json:"rps"`        // requests per second
	ListLagS float64 `json:"list_lag_s"` // seconds that the list of machines may be behind
}

// Resources are what a controller may use.
type Resources struct {
	CPUShare       float64 `json:"core_share"`      // of one core
	MemoryMB       float64 `json:"ram_mb"`          // MiB
	MaxConnections int     `json:"max_connections"` // open sockets
}

// Settings are the platform's settings of the site.
type Settings struct {
	Count      int            `json:"count"`
	Zones      []string       `json:"zones"`
	Teams      []Team         `json:"teams"`
	Objectives []Objective    `json:"objectives"`
	Workers    WorkerSettings `json:"workers"`
	State      StateLimits    `json:"state"`
	Cloud      CloudLimits    `json:"cloud"`
	Resources  Resources      `json:"resources"`
	SkewMS     float64        `json:"skew_ms"`
}

// Services are the addresses and ports of the services that a controller calls.
type Services struct {
	Cloud string `json:"cloud"`
	State string `json:"state"` // the key-value store
}

// Platform is the settings file that the platform hands over. Unknown fields
// are ignored.
type Platform struct {
	Label    string   `json:"label"` // of this controller
	Site     string   `json:"site"`
	Bind     string   `json:"bind"`      // address and port for users and workers
	PeerBind string   `json:"peer_bind"` // address and port for other controllers
	Seeds    []Seed   `json:"seeds"`
	Services Services `json:"services"`
	Settings Settings `json:"settings"`

	// Operator holds the operators' own settings.
	Operator Operator `json:"-"`
}

// Parse reads and checks the platform's JSON. The operators' settings are the
// defaults. Its errors are *Error, without a file.
func Parse(raw []byte) (*Platform, error) {
	p := &Platform{Operator: DefaultOperator()}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, jsonError(err)
	}
	if err := p.check(); err != nil {
		return nil, err
	}
	return p, nil
}
