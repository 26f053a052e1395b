package record

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// compactBase is the base of the numbers in the compact format: the largest one
// that strconv has, so that numbers are short.
const compactBase = 36

// maxSpan bounds the tasks of a span, so that a damaged record cannot ask for more
// memory than a segment of the largest size.
const maxSpan = 1 << 10

// attemptRule says which attempts the tasks of a record or a span are in.
type attemptRule struct {
	kind ruleKind
	base int64
}

// ruleKind is how the attempts of tasks follow from a rule's base.
type ruleKind byte

const (
	// sameAttempt: all tasks are in the attempt that the base names, as those of a
	// gang are.
	sameAttempt ruleKind = '@'
	// countingUp: the attempts grow with the tasks' numbers, as those of an array
	// that was placed in order do; the base is their difference.
	countingUp ruleKind = '+'
	// commonRule, for a span: the rule of the whole record holds.
	commonRule ruleKind = 0
)

const ruleKinds = string(sameAttempt) + string(countingUp)

func (r attemptRule) attempt(task int64) int64 {
	if r.kind == countingUp {
		return r.base + task
	}
	return r.base
}

func (r attemptRule) holdsFor(assignment *Assignment) bool {
	return r.attempt(int64(assignment.Task)) == int64(assignment.Attempt)
}

// compact writes assignments, which are in the order of tasks, as one text: the rule
// that the attempts of most follow, what the names of all their machines begin
// with, and for each machine the spans of tasks on it and the rest of its name:
//
//	text  = rule " " prefix { " " span { "," span } ":" rest }
//	rule  = "@" attempt             the same for all tasks
//	      | "+" difference          of a task's attempt and its number
//	span  = task [ "-" task ] [ "@" attempt | "+" attempt ]
//
// A span's own attempt is that of all its tasks (@) or of its first, counting up
// (+). Numbers have base 36. A version that does not know this format takes no text
// for a list, so it refuses the record instead of reading it as empty.
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
			length, kind := common.span(rest)
			text = append(text, separator)
			text = appendSpan(text, rest[:length], kind)
			rest = rest[length:]
		}
		text = append(text, ':')
		text = append(text, machine[len(prefix):]...)
	}
	return string(text)
}

// mostCommonRule is the rule that holds for most assignments.
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

// mostCommon returns the value with the greatest count, of equals the least.
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

// commonPrefix is what the names of all machines begin with. It ends between two
// characters, as JSON would replace half of one.
func commonPrefix(active []Assignment) string {
	prefix := active[0].Machine
	for _, assignment := range active {
		for !strings.HasPrefix(assignment.Machine, prefix) || !utf8.ValidString(prefix) {
			prefix = prefix[:len(prefix)-1]
		}
	}
	return prefix
}

// groupByMachine returns the machines in the order of their first tasks, and the
// assignments of each.
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

// span returns how many assignments at the start of a list make a span, and which rule
// holds for it, where r is the one of the whole record.
func (r attemptRule) span(list []Assignment) (length int, kind ruleKind) {
	kind = sameAttempt // of a single task
	if r.holdsFor(&list[0]) {
		kind = commonRule
	}
	for length = 1; length < len(list); length++ {
		next, ok := r.continues(&list[length-1], &list[length])
		if !ok || (length > 1 && next != kind) {
			break
		}
		kind = next
	}
	return length, kind
}

// continues returns the rule by which a span that ends with one assignment goes on
// with the next; not ok: the span ends there.
func (r attemptRule) continues(last, next *Assignment) (kind ruleKind, ok bool) {
	if next.Task != last.Task+1 || r.holdsFor(last) != r.holdsFor(next) {
		return 0, false
	}
	switch {
	case r.holdsFor(next):
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

// expand reads what compact writes. An error wraps ErrCompactText.
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

// maxQuotedBytes bounds what an error quotes of a compact list: a damaged one may be as
// long as a value of the store.
const maxQuotedBytes = 64

// compactError names the part of a compact list that breaks the grammar, by its first
// bytes.
func compactError(part string) error {
	return fmt.Errorf("%w: %q", ErrCompactText, part[:min(len(part), maxQuotedBytes)])
}

// parseRule reads the rule of a whole record.
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

// expandSpan reads a span of tasks on a machine.
func expandSpan(text string, common attemptRule, machine string) (assignments []Assignment, err error) {
	tasks, own := text, ""
	if i := strings.IndexAny(text, ruleKinds); i >= 0 {
		tasks, own = text[:i], text[i:]
	}
	first, last, err := parseTasks(tasks)
	if err != nil {
		return nil, err
	}
	rule := common
	if own != "" {
		if rule, err = parseSpanRule(own, first); err != nil {
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

// parseTasks reads the first and the last task of a span.
func parseTasks(text string) (first, last int64, err error) {
	from, to, isSpan := strings.Cut(text, "-")
	if !isSpan {
		to = from
	}
	low, errLow := strconv.ParseUint(from, compactBase, 32)
	high, errHigh := strconv.ParseUint(to, compactBase, 32)
	if errLow != nil || errHigh != nil || high < low || high-low >= maxSpan {
		return 0, 0, compactError(text)
	}
	return int64(low), int64(high), nil
}

// parseSpanRule reads a span's own rule, which names the attempt of its first task.
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
