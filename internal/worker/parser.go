package worker

import (
	"bytes"
	"strconv"
)

// maxCachedReports bounds what malformed reports can make a parser keep.
const maxCachedReports = 1 << 14

// Parser reads reports. Most say what the last one of their machine said, but for
// the sequence: their text is compared, not decoded again.
type Parser struct {
	last map[string]*lastReport // by the text before the sequence's digits
	keys map[string]string      // in last, by machine

	// Decoded counts the bytes that were decoded.
	Decoded int
	// Unchanged counts the bytes that were only compared.
	Unchanged int
}

// lastReport is the last report of a machine.
type lastReport struct {
	report Report
	after  []byte // the text after the sequence's digits
}

// Parse reads and checks a report. What it returns shares its list of tasks with
// other reports that say the same.
func (p *Parser) Parse(body []byte) (*Report, error) {
	text, ok := splitSequence(body)
	if ok {
		last := p.last[string(text.before)]
		if last != nil && bytes.Equal(last.after, text.after) {
			p.Unchanged += len(body)
			report := last.report
			report.Sequence = text.sequence
			return &report, nil
		}
	}
	p.Decoded += len(body)
	report, err := parseReport(body)
	if err != nil {
		return nil, err
	}
	if ok && report.Sequence == text.sequence {
		p.remember(report, text)
	}
	return report, nil
}

// remember keeps a report in place of the last one of its machine.
func (p *Parser) remember(report *Report, text reportText) {
	if p.last == nil || len(p.last) >= maxCachedReports {
		p.last = map[string]*lastReport{}
		p.keys = map[string]string{}
	}
	delete(p.last, p.keys[report.Machine])
	key := string(text.before)
	p.keys[report.Machine] = key
	p.last[key] = &lastReport{*report, bytes.Clone(text.after)}
}

// Retain forgets the last reports of all machines but those that keep names.
func (p *Parser) Retain(keep func(machine string) bool) {
	for machine, key := range p.keys {
		if !keep(machine) {
			delete(p.last, key)
			delete(p.keys, machine)
		}
	}
}

// reportText is a report's text around the digits of its sequence.
type reportText struct {
	before   []byte
	sequence uint64
	after    []byte
}

var sequenceName = []byte(`"tick":`)

// splitSequence splits a report's text. ok is false where the sequence can't be
// found without decoding the text.
func splitSequence(body []byte) (text reportText, ok bool) {
	name := bytes.Index(body, sequenceName)
	if name < 0 || bytes.Contains(body[name+1:], sequenceName) {
		return reportText{}, false
	}
	from := name + len(sequenceName)
	for from < len(body) && body[from] == ' ' {
		from++
	}
	to := from
	for to < len(body) && isDigit(body[to]) {
		to++
	}
	if to == len(body) || !endsNumber(body[to]) || hasLeadingZero(body[from:to]) {
		return reportText{}, false
	}
	sequence, err := strconv.ParseUint(string(body[from:to]), 10, 64)
	return reportText{body[:from], sequence, body[to:]}, err == nil
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

// endsNumber tells whether a number in an object may end before a character. A
// fraction or an exponent goes on.
func endsNumber(char byte) bool { return char == ',' || char == '}' }

// hasLeadingZero tells whether digits are no number in JSON.
func hasLeadingZero(digits []byte) bool { return len(digits) > 1 && digits[0] == '0' }
