package record

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// compactBase is the numeral base of the compact format. It is the largest base that
// strconv supports, which keeps the numbers short.
const compactBase = 36

// maxSpanTasks bounds the number of tasks in a span, so that a corrupted record cannot cause a
// larger allocation than a segment of the largest size.
const maxSpanTasks = 1 << 10

// attemptRule computes the attempt of each task of a record or a span.
type attemptRule struct {
	kind ruleKind
	base int64
}

// ruleKind selects how the attempt of a task is computed from a rule's base.
type ruleKind byte

const (
	// sameAttempt means that the base is the attempt of all tasks, as in a gang.
	sameAttempt ruleKind = '@'
	// countingUp means that the attempt of a task is its number plus the base, as in an
	// array whose tasks were placed in order.
	countingUp ruleKind = '+'
	// commonRule means that a span follows the rule of the whole record.
	commonRule ruleKind = 0
)

const ruleKinds = string(sameAttempt) + string(countingUp)

func (r attemptRule) attempt(task int64) int64 {
	if r.kind == countingUp {
		return r.base + task
	}
	return r.base
}

func (r attemptRule) matches(assignment *Assignment) bool {
	return r.attempt(int64(assignment.Task)) == int64(assignment.Attempt)
}

// compact encodes assignments, which must be sorted by task, as one string: the rule
// that matches most attempts, the common prefix of all machine names, and for each
// machine the spans of its tasks and the rest of its name:
//
//	text  = rule " " prefix { " " span { "," span } ":" rest }
//	rule  = "@" attempt             the same for all tasks
//	      | "+" difference          of a task's attempt and its number
//	span  = task [ "-" task ] [ "@" attempt | "+" attempt ]
//
// A span's own attempt is that of all its tasks (@), or that of its first task and
// increases by one with each further task (+). Numbers have base 36. A version that does
// not know this format expects a JSON list and finds a string, so it rejects the record
// instead of reading it as empty.
func compact(active []Assignment) string {
	common := mostCommonRule(active)
	prefix := commonPrefix(active)
	text := []byte{byte(common.kind)}
	text = strconv.AppendInt(text, common.base, compactBase)
	text = append(text, ' ')
	text = append(text, prefix...)
	machines, byMachine := groupByMachine(active)
	for _, machine := range machines {
		separator := byte(' ')
		for rest := byMachine[machine]; len(rest) > 0; separator = ',' {
			length, kind := common.nextSpan(rest)
			text = append(text, separator)
			text = appendSpan(text, rest[:length], kind)
			rest = rest[length:]
		}
		text = append(text, ':')
		text = append(text, machine[len(prefix):]...)
	}
	return string(text)
}

// mostCommonRule returns the rule that matches most assignments.
func mostCommonRule(active []Assignment) attemptRule {
	attempts := map[int64]int{}
	differences := map[int64]int{}
	for _, assignment := range active {
		attempts[int64(assignment.Attempt)]++
		differences[int64(assignment.Attempt)-int64(assignment.Task)]++
	}
	attempt := mostCommon(attempts)
	difference := mostCommon(differences)
	if differences[difference] > attempts[attempt] {
		return attemptRule{countingUp, difference}
	}
	return attemptRule{sameAttempt, attempt}
}

// mostCommon returns the value with the highest count. On a tie it returns the smallest
// of the values.
func mostCommon(counts map[int64]int) (best int64) {
	most := 0
	for value, count := range counts {
		if count > most || (count == most && value < best) {
			best = value
			most = count
		}
	}
	return best
}

// commonPrefix returns the longest common prefix of all machine names that does not split
// a character: the JSON encoder replaces invalid UTF-8.
func commonPrefix(active []Assignment) string {
	prefix := active[0].Machine
	for _, assignment := range active {
		for !strings.HasPrefix(assignment.Machine, prefix) || !utf8.ValidString(prefix) {
			prefix = prefix[:len(prefix)-1]
		}
	}
	return prefix
}

// groupByMachine returns the machines, ordered by their first tasks, and the assignments
// of each machine.
func groupByMachine(active []Assignment) (machines []string, byMachine map[string][]Assignment) {
	byMachine = map[string][]Assignment{}
	for _, assignment := range active {
		if byMachine[assignment.Machine] == nil {
			machines = append(machines, assignment.Machine)
		}
		byMachine[assignment.Machine] = append(byMachine[assignment.Machine], assignment)
	}
	return machines, byMachine
}

// nextSpan returns the number of assignments in the span at the start of a list, and the kind
// of the span's rule. r is the rule of the whole record.
func (r attemptRule) nextSpan(list []Assignment) (length int, kind ruleKind) {
	kind = sameAttempt // for a span of a single task
	if r.matches(&list[0]) {
		kind = commonRule
	}
	for length = 1; length < len(list); length++ {
		next, ok := r.continuationKind(&list[length-1], &list[length])
		if !ok || (length > 1 && next != kind) {
			break
		}
		kind = next
	}
	return length, kind
}

// continuationKind returns the kind of the rule under which next extends a span that ends with
// last. It reports false if next cannot be in the same span.
func (r attemptRule) continuationKind(last, next *Assignment) (kind ruleKind, ok bool) {
	if next.Task != last.Task+1 || r.matches(last) != r.matches(next) {
		return 0, false
	}
	switch {
	case r.matches(next):
		return commonRule, true
	case next.Attempt == last.Attempt:
		return sameAttempt, true
	case next.Attempt == last.Attempt+1:
		return countingUp, true
	}
	return 0, false
}

func appendSpan(text []byte, span []Assignment, kind ruleKind) []byte {
	first, last := span[0], span[len(span)-1]
	text = strconv.AppendInt(text, int64(first.Task), compactBase)
	if len(span) > 1 {
		text = append(text, '-')
		text = strconv.AppendInt(text, int64(last.Task), compactBase)
	}
	if kind != commonRule {
		text = append(text, byte(kind))
		text = strconv.AppendUint(text, first.Attempt, compactBase)
	}
	return text
}

// expand decodes the output of compact. An error wraps ErrCompactText.
func expand(text string) (active []Assignment, err error) {
	groups := strings.Split(text, " ")
	if len(groups) < 2 {
		return nil, compactError(text)
	}
	common, err := parseRule(groups[0])
	if err != nil {
		return nil, err
	}
	prefix := groups[1]
	for _, group := range groups[2:] {
		spans, rest, found := strings.Cut(group, ":")
		machine := prefix + rest
		if !found || machine == "" {
			return nil, compactError(group)
		}
		for _, span := range strings.Split(spans, ",") {
			assignments, err := expandSpan(span, common, machine)
			if err != nil {
				return nil, err
			}
			active = append(active, assignments...)
		}
	}
	return active, nil
}

// maxQuotedBytes limits how much of a compact list an error quotes. A corrupted list may be
// as long as the largest value that the state service stores.
const maxQuotedBytes = 64

// compactError returns an error that quotes the first bytes of the part of a compact list
// that violates the grammar.
func compactError(part string) error {
	return fmt.Errorf("%w: %q", ErrCompactText, part[:min(len(part), maxQuotedBytes)])
}

// parseRule parses the rule of a whole record.
func parseRule(text string) (attemptRule, error) {
	if text == "" || strings.IndexByte(ruleKinds, text[0]) < 0 {
		return attemptRule{}, compactError(text)
	}
	base, err := strconv.ParseInt(text[1:], compactBase, 64)
	if err != nil {
		return attemptRule{}, compactError(text)
	}
	return attemptRule{ruleKind(text[0]), base}, nil
}

// expandSpan decodes a span of tasks on a machine.
func expandSpan(text string, common attemptRule, machine string) (assignments []Assignment, err error) {
	tasks, ownRule := text, ""
	if i := strings.IndexAny(text, ruleKinds); i >= 0 {
		tasks, ownRule = text[:i], text[i:]
	}
	first, last, err := parseTasks(tasks)
	if err != nil {
		return nil, err
	}
	rule := common
	if ownRule != "" {
		if rule, err = parseSpanRule(ownRule, first); err != nil {
			return nil, err
		}
	}
	for task := first; task <= last; task++ {
		attempt := rule.attempt(task)
		if attempt < 0 {
			return nil, compactError(text)
		}
		assignments = append(assignments, Assignment{int(task), uint64(attempt), machine})
	}
	return assignments, nil
}

// parseTasks parses the first and the last task of a span.
func parseTasks(text string) (first, last int64, err error) {
	from, to, isSpan := strings.Cut(text, "-")
	if !isSpan {
		to = from
	}
	low, errLow := strconv.ParseUint(from, compactBase, 32)
	high, errHigh := strconv.ParseUint(to, compactBase, 32)
	if errLow != nil || errHigh != nil || high < low || high-low >= maxSpanTasks {
		return 0, 0, compactError(text)
	}
	return int64(low), int64(high), nil
}

// parseSpanRule parses a span's own rule, which gives the attempt of the span's first
// task.
func parseSpanRule(text string, first int64) (attemptRule, error) {
	attempt, err := strconv.ParseUint(text[1:], compactBase, 63)
	if err != nil {
		return attemptRule{}, compactError(text)
	}
	rule := attemptRule{ruleKind(text[0]), int64(attempt)}
	if rule.kind == countingUp {
		rule.base -= first
	}
	return rule, nil
}
