package worker

import (
	"bytes"
	"strconv"
)

// maxCachedHeartbeats bounds what malformed reports can make a parser keep.
const maxCachedHeartbeats = 1 << 14

// HeartbeatParser reads reports. Most say what the last one of their machine said, but for
// the sequence: their text is compared, not decoded again.
type HeartbeatParser struct {
	last map[string]*cachedHeartbeat // by the text before the sequence's digits
	keys map[string]string           // in last, by machine

	// Decoded counts the bytes that were decoded.
	Decoded int
	// Unchanged counts the bytes that were only compared.
	Unchanged int
}

// cachedHeartbeat is the last report of a machine.
type cachedHeartbeat struct {
	report Heartbeat
	after  []byte // the text after the sequence's digits
}

// Parse reads and checks a report. What it returns shares its list of tasks with
// other reports that say the same.
func (p *HeartbeatParser) Parse(body []byte) (*Heartbeat, error) {
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
	report, err := parseHeartbeat(body)
	if err != nil {
		return nil, err
	}
	if ok && report.Sequence == text.sequence {
		p.remember(report, text)
	}
	return report, nil
}

// remember keeps a report in place of the last one of its machine.
func (p *HeartbeatParser) remember(report *Heartbeat, text heartbeatText) {
	if p.last == nil || len(p.last) >= maxCachedHeartbeats {
		p.last = map[string]*cachedHeartbeat{}
		p.keys = map[string]string{}
	}
	delete(p.last, p.keys[report.Machine])
	key := string(text.before)
	p.keys[report.Machine] = key
	p.last[key] = &cachedHeartbeat{*report, bytes.Clone(text.after)}
}

// Retain forgets the last reports of all machines but those that keep names.
func (p *HeartbeatParser) Retain(keep func(machine string) bool) {
	for machine, key := range p.keys {
		if !keep(machine) {
			delete(p.last, key)
			delete(p.keys, machine)
		}
	}
}

// heartbeatText is a report's text around the digits of its sequence.
type heartbeatText struct {
	before   []byte
	sequence uint64
	after    []byte
}

var sequenceName = []byte(`"tick":`)

// splitSequence splits a report's text. ok is false where the sequence can't be
// found without decoding the text.
func splitSequence(body []byte) (text heartbeatText, ok bool) {
	name := bytes.Index(body, sequenceName)
	if name < 0 || bytes.Contains(body[name+1:], sequenceName) {
		return heartbeatText{}, false
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
		return heartbeatText{}, false
	}
	sequence, err := strconv.ParseUint(string(body[from:to]), 10, 64)
	return heartbeatText{body[:from], sequence, body[to:]}, err == nil
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

// endsNumber tells whether a number in an object may end before a character. A
// fraction or an exponent goes on.
func endsNumber(char byte) bool { return char == ',' || char == '}' }

// hasLeadingZero tells whether digits are no number in JSON.
func hasLeadingZero(digits []byte) bool { return len(digits) > 1 && digits[0] == '0' }
