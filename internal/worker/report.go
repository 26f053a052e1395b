package worker

import (
	"encoding/json"
	"errors"
)

// Report is a worker's report. Those of a machine are ordered by session and
// sequence.
type Report struct {
	Machine      string       `json:"host"`
	Addr         string       `json:"addr"`
	MachineType  string       `json:"flavor"`
	Zone         string       `json:"yard"`
	Spot         bool         `json:"loaners"`
	Session      uint64       `json:"tenure"`
	Sequence     uint64       `json:"tick"`
	FencingToken uint64       `json:"fence"`
	ReclaimIn    *float64     `json:"recall_s"`
	Tasks        []TaskReport `json:"shards"`
}

// TaskReport is one task in a report.
type TaskReport struct {
	Task    string `json:"shard"`
	Attempt uint64 `json:"try"`
	Phase   string `json:"phase"`
	Cause   string `json:"cause"`
	Stored  bool   `json:"stored"`
}

// Order is a command to a worker.
type Order struct {
	Verb        string   `json:"verb"`
	Task        string   `json:"shard"`
	Attempt     uint64   `json:"try"`
	GracePeriod *float64 `json:"wind_down_s,omitempty"`
}

// errIncomplete is returned for a report that lacks a field which identifies its
// machine or session.
var errIncomplete = errors.New("report lacks a field")

// complete tells whether the fields are there that every report has.
func (r *Report) complete() bool {
	described := r.MachineType != "" && r.Zone != ""
	return described && r.Machine != "" && r.Session != 0
}

// parseReport decodes and checks a report.
func parseReport(body []byte) (*Report, error) {
	report := &Report{}
	if err := json.Unmarshal(body, report); err != nil {
		return nil, err
	}
	if !report.complete() {
		return nil, errIncomplete
	}
	return report, nil
}
