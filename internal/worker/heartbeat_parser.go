package worker

import (
	"bytes"
	"strconv"
)

// maxCachedHeartbeats bounds what malformed heartbeats can make a parser keep.
const maxCachedHeartbeats = 1 << 14

// HeartbeatParser parses heartbeats. Most say what the last one of their machine said,
// but for the sequence: their text is compared, not decoded again. The zero value is
// ready for use.
type HeartbeatParser struct {
	last map[string]*cachedHeartbeat // by the text before the sequence's digits
	keys map[string]string           // in last, by machine

	// DecodedBytes counts the bytes that were decoded.
	DecodedBytes int
	// UnchangedBytes counts the bytes that were only compared.
	UnchangedBytes int
}

// cachedHeartbeat is the last heartbeat of a machine.
type cachedHeartbeat struct {
	heartbeat Heartbeat
	after     []byte // the text after the sequence's digits
}

// Parse parses and checks a heartbeat. What it returns shares its list of tasks with
// other heartbeats that say the same. Its errors are those of package json and
// MissingFieldError.
func (p *HeartbeatParser) Parse(body []byte) (*Heartbeat, error) {
	text, ok := splitSequence(body)
	if ok {
		last := p.last[string(text.before)]
		if last != nil && bytes.Equal(last.after, text.after) {
			p.UnchangedBytes += len(body)
			heartbeat := last.heartbeat
			heartbeat.Sequence = text.sequence
			return &heartbeat, nil
		}
	}
	p.DecodedBytes += len(body)
	heartbeat, err := parseHeartbeat(body)
	if err != nil {
		return nil, err
	}
	if ok && heartbeat.Sequence == text.sequence {
		p.remember(heartbeat, text)
	}
	return heartbeat, nil
}

// remember keeps a heartbeat in place of the last one of its machine.
func (p *HeartbeatParser) remember(heartbeat *Heartbeat, text heartbeatText) {
	if p.last == nil || len(p.last) >= maxCachedHeartbeats {
		p.last = map[string]*cachedHeartbeat{}
		p.keys = map[string]string{}
	}
	delete(p.last, p.keys[heartbeat.Machine])
	key := string(text.before)
	p.keys[heartbeat.Machine] = key
	p.last[key] = &cachedHeartbeat{*heartbeat, bytes.Clone(text.after)}
}

// Retain forgets the last heartbeats of all machines but those that keep names.
func (p *HeartbeatParser) Retain(keep func(machine string) bool) {
	for machine, key := range p.keys {
		if !keep(machine) {
			delete(p.last, key)
			delete(p.keys, machine)
		}
	}
}

// heartbeatText is the text of a heartbeat around the digits of its sequence.
type heartbeatText struct {
	before   []byte
	sequence uint64
	after    []byte
}

var sequenceFieldBytes = []byte(sequenceField)

// splitSequence splits the text of a heartbeat. ok is false where the sequence can't be
// found without decoding the text.
func splitSequence(body []byte) (text heartbeatText, ok bool) {
	field := bytes.Index(body, sequenceFieldBytes)
	if field < 0 || bytes.Contains(body[field+1:], sequenceFieldBytes) {
		return heartbeatText{}, false
	}
	from := field + len(sequenceFieldBytes)
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

// endsNumber reports whether a number in an object may end before a character. A
// fraction or an exponent continues it.
func endsNumber(char byte) bool { return char == ',' || char == '}' }

// hasLeadingZero reports whether digits are no number in JSON.
func hasLeadingZero(digits []byte) bool { return len(digits) > 1 && digits[0] == '0' }
