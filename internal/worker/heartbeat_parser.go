package worker

import (
	"bytes"
	"slices"
	"strconv"
)

// maxCachedHeartbeats limits the cache of a parser, which malformed heartbeats could
// otherwise fill without bound.
const maxCachedHeartbeats = 1 << 14

// HeartbeatParser parses heartbeats. Most heartbeats differ from the last one of their
// machine only in the sequence. Their text is compared with the last one instead of being
// decoded again. The zero value is ready to use.
type HeartbeatParser struct {
	cached    map[string]*cachedHeartbeat // last heartbeats, by the text before the sequence's digits
	cacheKeys map[string]string           // keys of cached, by machine

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

// Parse parses and checks a heartbeat. The result shares its list of tasks with other
// heartbeats of the same content. Parse returns an error of package json or a
// MissingFieldError.
func (p *HeartbeatParser) Parse(body []byte) (*Heartbeat, error) {
	text, ok := splitSequence(body)
	if ok {
		last := p.cached[string(text.before)]
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
	if ok && heartbeat.Sequence == text.sequence && text.splitAtOwnField() {
		p.cache(heartbeat, text)
	}
	return heartbeat, nil
}

// cache caches a heartbeat in place of the last one of its machine.
func (p *HeartbeatParser) cache(heartbeat *Heartbeat, text heartbeatText) {
	if p.cached == nil || len(p.cached) >= maxCachedHeartbeats {
		p.cached = map[string]*cachedHeartbeat{}
		p.cacheKeys = map[string]string{}
	}
	delete(p.cached, p.cacheKeys[heartbeat.Machine])
	heartbeat.Tasks = slices.Concat(heartbeat.Tasks) // without the unused capacity of the decoder's list
	key := string(text.before)
	p.cacheKeys[heartbeat.Machine] = key
	p.cached[key] = &cachedHeartbeat{*heartbeat, bytes.Clone(text.after)}
}

// Retain removes the cached heartbeats of all machines for which keep returns false.
func (p *HeartbeatParser) Retain(keep func(machine string) bool) {
	for machine, key := range p.cacheKeys {
		if !keep(machine) {
			delete(p.cached, key)
			delete(p.cacheKeys, machine)
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

// splitSequence splits the text of a heartbeat at its sequence. ok is false if the sequence
// cannot be located without decoding the text.
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

// splitAtOwnField reports whether the text, which must be valid JSON, is certainly split at
// the sequence of the heartbeat itself. It is not if the field belongs to an object within a
// field that this version does not know, or if escapes may hide a field of the same name.
func (t *heartbeatText) splitAtOwnField() bool {
	if bytes.IndexByte(t.before, '\\') >= 0 || bytes.IndexByte(t.after, '\\') >= 0 {
		return false
	}
	depth, inString := 0, false
	for _, char := range t.before {
		switch {
		case char == '"':
			inString = !inString
		case inString:
		case char == '{':
			depth++
		case char == '}':
			depth--
		}
	}
	return depth == 1
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

// endsNumber reports whether a character can follow an integer in a JSON object. A fraction
// or an exponent would continue the number.
func endsNumber(char byte) bool { return char == ',' || char == '}' }

// hasLeadingZero reports whether digits have a leading zero, which JSON does not allow in a
// number.
func hasLeadingZero(digits []byte) bool { return len(digits) > 1 && digits[0] == '0' }
