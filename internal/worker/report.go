package worker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// Report is a worker's report.
type Report struct {
	Machine string   `json:"host"`
	Addr    string   `json:"addr"`
	Flavor  string   `json:"flavor"`
	Yard    string   `json:"yard"`
	Spot    bool     `json:"loaners"`
	Tenure  uint64   `json:"tenure"`
	Tick    uint64   `json:"tick"`
	Fence   uint64   `json:"fence"`
	Recall  *float64 `json:"recall_s"`
	Shards  []Shard  `json:"shards"`
}

// Shard is one task in a report.
type Shard struct {
	Shard  string `json:"shard"`
	Try    uint64 `json:"try"`
	Phase  string `json:"phase"`
	Cause  string `json:"cause"`
	Stored bool   `json:"stored"`
}

// Order is a command to a worker.
type Order struct {
	Verb  string   `json:"verb"`
	Shard string   `json:"shard"`
	Try   uint64   `json:"try"`
	Wind  *float64 `json:"wind_down_s,omitempty"`
}

// Parser reads reports. Most say what the last one of their machine said, but
// for the tick: their text is compared, not decoded again.
type Parser struct {
	last map[string]*lastReport // by the text before the tick's digits
	key  map[string]string      // of a machine's, in last

	// Decoded counts the bytes that were decoded, Same those that were not.
	Decoded, Same int
}

type lastReport struct {
	report Report
	rest   []byte // the text behind the digits
}

// mostKept bounds what garbage can make a parser keep.
const mostKept = 1 << 14

// Parse reads and checks a report. What it returns shares its list of tasks
// with other reports that say the same.
func (p *Parser) Parse(body []byte) (*Report, error) {
	before, tick, rest, ok := splitTick(body)
	if ok {
		if l := p.last[string(before)]; l != nil && bytes.Equal(l.rest, rest) {
			p.Same += len(body)
			r := l.report
			r.Tick = tick
			return &r, nil
		}
	}
	p.Decoded += len(body)
	r, err := parseReport(body)
	if err != nil || !ok || r.Tick != tick {
		return r, err
	}
	if p.last == nil || len(p.last) >= mostKept {
		p.last, p.key = map[string]*lastReport{}, map[string]string{}
	}
	delete(p.last, p.key[r.Machine])
	key := string(before)
	p.key[r.Machine] = key
	p.last[key] = &lastReport{*r, bytes.Clone(rest)}
	return r, nil
}

var tickName = []byte(`"tick":`)

// splitTick cuts a report's text around the digits of its tick. ok is false
// where that can't be told without decoding it.
func splitTick(body []byte) (before []byte, tick uint64, rest []byte, ok bool) {
	i := bytes.Index(body, tickName)
	if i < 0 || bytes.Contains(body[i+1:], tickName) {
		return nil, 0, nil, false
	}
	from := i + len(tickName)
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
	tick, err := strconv.ParseUint(string(body[from:to]), 10, 64)
	return body[:from], tick, body[to:], err == nil
}

func parseReport(body []byte) (*Report, error) {
	r := &Report{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, err
	}
	if r.Machine == "" || r.Flavor == "" || r.Yard == "" || r.Tenure == 0 {
		return nil, fmt.Errorf("report lacks a field")
	}
	return r, nil
}
