package worker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// Report is a worker's report.
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

// Parser reads reports. Most say what the last one of their machine said, but
// for the tick: their text is compared, not decoded again.
type Parser struct {
	last map[string]*lastReport // by the text before the tick's digits
	key  map[string]string      // of a machine's, in last

	// Decoded counts the bytes that were decoded, Same those that were not.
	Decoded, Unchanged int
}

type lastReport struct {
	report Report
	rest   []byte // the text behind the digits
}

// maxCachedReports bounds what garbage can make a parser keep.
const maxCachedReports = 1 << 14

// Parse reads and checks a report. What it returns shares its list of tasks
// with other reports that say the same.
func (p *Parser) Parse(body []byte) (*Report, error) {
	before, sequence, rest, ok := splitSequence(body)
	if ok {
		if l := p.last[string(before)]; l != nil && bytes.Equal(l.rest, rest) {
			p.Unchanged += len(body)
			r := l.report
			r.Sequence = sequence
			return &r, nil
		}
	}
	p.Decoded += len(body)
	r, err := parseReport(body)
	if err != nil || !ok || r.Sequence != sequence {
		return r, err
	}
	if p.last == nil || len(p.last) >= maxCachedReports {
		p.last, p.key = map[string]*lastReport{}, map[string]string{}
	}
	delete(p.last, p.key[r.Machine])
	key := string(before)
	p.key[r.Machine] = key
	p.last[key] = &lastReport{*r, bytes.Clone(rest)}
	return r, nil
}

var sequenceName = []byte(`"tick":`)

// splitSequence cuts a report's text around the digits of its tick. ok is false
// where that can't be told without decoding it.
func splitSequence(body []byte) (before []byte, sequence uint64, rest []byte, ok bool) {
	i := bytes.Index(body, sequenceName)
	if i < 0 || bytes.Contains(body[i+1:], sequenceName) {
		return nil, 0, nil, false
	}
	from := i + len(sequenceName)
	for from < len(body) && body[from] == ' ' {
		from++
	}
	to := from
	for to < len(body) && body[to] >= '0' && body[to] <= '9' {
		to++
	}
	if to == len(body) || (body[to] != ',' && body[to] != '}') || (body[from] == '0' && to > from+1) {
		return nil, 0, nil, false
	}
	sequence, err := strconv.ParseUint(string(body[from:to]), 10, 64)
	return body[:from], sequence, body[to:], err == nil
}

func parseReport(body []byte) (*Report, error) {
	r := &Report{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, err
	}
	if r.Machine == "" || r.MachineType == "" || r.Zone == "" || r.Session == 0 {
		return nil, fmt.Errorf("report lacks a field")
	}
	return r, nil
}
