package worker

import (
	"encoding/json"
	"errors"
)

// Heartbeat is a worker's report. Those of a machine are ordered by session and
// sequence.
type Heartbeat struct {
	Machine      string       `json:"host"`
	Addr         string       `json:"addr"`
	MachineType  string       `json:"flavor"`
	Zone         string       `json:"yard"`
	Spot         bool         `json:"loaners"`
	Incarnation  uint64       `json:"tenure"`
	Sequence     uint64       `json:"tick"`
	FencingToken uint64       `json:"fence"`
	ReclaimIn    *float64     `json:"recall_s"`
	Tasks        []TaskStatus `json:"shards"`
}

// TaskStatus is one task in a report.
type TaskStatus struct {
	Task             string `json:"shard"`
	Attempt          uint64 `json:"try"`
	Phase            string `json:"phase"`
	Cause            string `json:"cause"`
	CheckpointStored bool   `json:"stored"`
}

// Command is a command to a worker.
type Command struct {
	Verb        string   `json:"verb"`
	Task        string   `json:"shard"`
	Attempt     uint64   `json:"try"`
	GracePeriod *float64 `json:"wind_down_s,omitempty"`
}

// errIncomplete is returned for a report that lacks a field which identifies its
// machine or session.
var errIncomplete = errors.New("report lacks a field")

// complete tells whether the fields are there that every report has.
func (r *Heartbeat) complete() bool {
	described := r.MachineType != "" && r.Zone != ""
	return described && r.Machine != "" && r.Incarnation != 0
}

// parseHeartbeat decodes and checks a report.
func parseHeartbeat(body []byte) (*Heartbeat, error) {
	report := &Heartbeat{}
	if err := json.Unmarshal(body, report); err != nil {
		return nil, err
	}
	if !report.complete() {
		return nil, errIncomplete
	}
	return report, nil
}
