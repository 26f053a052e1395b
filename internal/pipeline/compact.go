package pipeline

import (
	"strconv"
	"strings"
	"unicode/utf8"
)

const compactBase = 36

// compact writes entries as one text: how the attempts of most follow, what all
// their machines' names begin with, and for each machine the spans of tasks on it
// and the rest of its name:
//
//	text  = rule " " prefix { " " span { "," span } ":" rest }
//	rule  = "@" attempt             the same for all tasks
//	      | "+" difference          of a task's attempt and its number
//	span  = task [ "-" task ] [ "@" attempt | "+" attempt ]
//
// A span's own attempt is that of all its tasks (@) or of its first, counting up
// (+). Numbers have base 36. A version that does not know this takes no text for
// a list, so it refuses the record instead of reading it as empty.
func compact(n *Names, active []*Entry) string {
	same, counted := map[int64]int{}, map[int64]int{}
	prefix := n.Machines.Name(active[0].Machine)
	var order []int
	byMachine := map[int][]*Entry{}
	for _, e := range active { // in order of tasks
		for name := n.Machines.Name(e.Machine); !strings.HasPrefix(name, prefix) || !utf8.ValidString(prefix); {
			prefix = prefix[:len(prefix)-1]
		}
		if byMachine[e.Machine] == nil {
			order = append(order, e.Machine)
		}
		byMachine[e.Machine] = append(byMachine[e.Machine], e)
		same[int64(e.Attempt)]++
		counted[int64(e.Attempt)-int64(e.Task)]++
	}
	rule, base := byte('@'), most(same)
	if c := most(counted); counted[c] > same[base] {
		rule, base = '+', c
	}
	follows := func(e *Entry) bool {
		if rule == '@' {
			return int64(e.Attempt) == base
		}
		return int64(e.Attempt)-int64(e.Task) == base
	}
	text := strconv.AppendInt([]byte{rule}, base, compactBase)
	text = append(append(text, ' '), prefix...)
	for _, machine := range order {
		sep := byte(' ')
		for list := byMachine[machine]; len(list) > 0; sep = ',' {
			first, to, kind := list[0], 1, byte(0)
			for ; to < len(list) && list[to].Task == list[to-1].Task+1; to++ {
				k := byte(0)
				switch {
				case follows(first) && follows(list[to]):
				case follows(first) || follows(list[to]):
					k = 'x'
				case list[to].Attempt == list[to-1].Attempt:
					k = '@'
				case list[to].Attempt == list[to-1].Attempt+1:
					k = '+'
				default:
					k = 'x'
				}
				if k == 'x' || (to > 1 && k != kind) {
					break
				}
				kind = k
			}
			text = strconv.AppendInt(append(text, sep), int64(first.Task), compactBase)
			if to > 1 {
				text = strconv.AppendInt(append(text, '-'), int64(list[to-1].Task), compactBase)
			}
			if !follows(first) {
				if kind == 0 {
					kind = '@'
				}
				text = strconv.AppendUint(append(text, kind), first.Attempt, compactBase)
			}
			list = list[to:]
		}
		text = append(append(text, ':'), n.Machines.Name(machine)[len(prefix):]...)
	}
	return string(text)
}

// most returns what counts most, of equals the least.
func most(count map[int64]int) (best int64) {
	n := 0
	for v, c := range count {
		if c > n || (c == n && v < best) {
			best, n = v, c
		}
	}
	return best
}

// maxSpan bounds what a damaged record can make of a span of tasks.
const maxSpan = 1 << 10

func expand(text string) (active []runEntry, ok bool) {
	groups := strings.Split(text, " ")
	if len(groups) < 2 || groups[0] == "" || strings.IndexByte("@+", groups[0][0]) < 0 {
		return nil, false
	}
	base, err := strconv.ParseInt(groups[0][1:], compactBase, 64)
	if err != nil {
		return nil, false
	}
	for _, g := range groups[2:] {
		spans, machine, found := strings.Cut(g, ":")
		if !found || groups[1]+machine == "" {
			return nil, false
		}
		for _, span := range strings.Split(spans, ",") {
			rule, from := groups[0][0], base
			if i := strings.IndexAny(span, "@+"); i >= 0 {
				own, err := strconv.ParseUint(span[i+1:], compactBase, 63)
				if err != nil {
					return nil, false
				}
				rule, from = span[i], int64(own)
				span = span[:i]
				if a, _, _ := strings.Cut(span, "-"); rule == '+' {
					first, err := strconv.ParseUint(a, compactBase, 32)
					if err != nil {
						return nil, false
					}
					from -= int64(first)
				}
			}
			a, b, isSpan := strings.Cut(span, "-")
			if !isSpan {
				b = a
			}
			first, err1 := strconv.ParseUint(a, compactBase, 32)
			last, err2 := strconv.ParseUint(b, compactBase, 32)
			if err1 != nil || err2 != nil || last < first || last-first >= maxSpan {
				return nil, false
			}
			for task := int64(first); task <= int64(last); task++ {
				attempt := from
				if rule == '+' {
					attempt += task
				}
				if attempt < 0 {
					return nil, false
				}
				active = append(active, runEntry{int(task), uint64(attempt), groups[1] + machine})
			}
		}
	}
	return active, true
}
