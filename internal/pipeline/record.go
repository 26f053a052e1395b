package pipeline

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Keys of the state service that belong to this slice.
const (
	JobKey   = "j" // j/<id>: the vertex, written once at submission
	RunKey   = "r" // r/<id>/<chunk>: what may run where, what is done
	FinalKey = "f" // f/<id>: the final mark, created once, never changed
)

// jobRecord is a job record's stored form.
type jobRecord struct {
	Class        string    `json:"c"`
	Team         string    `json:"t"`
	Shape        Shape     `json:"s"`
	Priority     Priority  `json:"k"`
	N            int       `json:"n"`
	Need         []float64 `json:"u"` // cores, cards, ram
	Image        string    `json:"b"`
	ImageGB      float64   `json:"g"`
	MachineTypes []string  `json:"f,omitempty"`
	Zone         string    `json:"z,omitempty"`
	Flags        int       `json:"x,omitempty"`
	Times        []float64 `json:"e"` // expected, save interval, save time, due
	Owner        string    `json:"o"`
	Up           []string  `json:"up,omitempty"`
	Ready        bool      `json:"r,omitempty"`
	// The production version before chained jobs ignores these.
	Submitted int64  `json:"at,omitempty"` // unix ms
	ReadyAt   int64  `json:"ra,omitempty"` // unix ms, if not at submission
	Parts     int    `json:"un,omitempty"` // keys that hold the upstream ids
	Attempt   uint64 `json:"us,omitempty"` // stamp of the first of them
}

const (
	flagSamePlace = 1 << iota
	flagScatter
	flagAllowSpot
)

// Encode returns the stored form of a job.
func Encode(n *Names, j *Job) []byte {
	r := jobRecord{Class: n.Classes.Name(j.Class), Team: n.Teams.Name(j.Team), Shape: j.Shape, Priority: j.Priority, N: j.TaskCount,
		Need: []float64{j.CPUs, j.GPUs, j.Memory}, Image: n.Images.Name(j.Image), ImageGB: j.ImageGB,
		Times: []float64{j.EstimatedRuntime, j.CheckpointInterval, j.CheckpointDuration, j.Deadline}, Owner: j.Owner, Up: j.Upstream, Ready: j.Ready, Submitted: j.Submitted, Parts: j.UpstreamParts, Attempt: j.SubmissionVersion}
	if j.Ready && j.ReadyAt != j.Submitted {
		r.ReadyAt = j.ReadyAt
	}
	for _, f := range j.MachineTypes {
		r.MachineTypes = append(r.MachineTypes, n.MachineTypes.Name(f))
	}
	if j.Zone >= 0 {
		r.Zone = n.Zones.Name(j.Zone)
	}
	for i, on := range []bool{j.SamePlace, j.Scatter, j.AllowSpot} {
		if on {
			r.Flags |= 1 << i
		}
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // the API admits finite numbers only
	}
	return b
}

func decode(n *Names, data []byte, j *Job) bool {
	var r jobRecord
	if json.Unmarshal(data, &r) != nil || len(r.Need) != 3 || len(r.Times) != 4 || r.N < 1 {
		return false
	}
	j.Spec = Spec{Class: n.Classes.Index(r.Class), Team: n.Teams.Index(r.Team), Shape: r.Shape, Priority: r.Priority, TaskCount: r.N,
		CPUs: r.Need[0], GPUs: r.Need[1], Memory: r.Need[2], Image: n.Images.Index(r.Image), ImageGB: r.ImageGB,
		Zone: -1, SamePlace: r.Flags&flagSamePlace != 0, Scatter: r.Flags&flagScatter != 0, AllowSpot: r.Flags&flagAllowSpot != 0,
		EstimatedRuntime: r.Times[0], CheckpointInterval: r.Times[1], CheckpointDuration: r.Times[2], Deadline: r.Times[3]}
	for _, f := range r.MachineTypes {
		j.MachineTypes = append(j.MachineTypes, n.MachineTypes.Index(f))
	}
	if r.Zone != "" {
		j.Zone = n.Zones.Index(r.Zone)
	}
	j.Owner, j.Upstream, j.UpstreamParts, j.SubmissionVersion, j.Ready = r.Owner, r.Up, r.Parts, r.Attempt, r.Ready
	j.Submitted, j.ReadyAt = r.Submitted, r.ReadyAt
	if r.Ready && r.ReadyAt == 0 {
		j.ReadyAt = r.Submitted
	}
	return true
}

// runRecord is a chunk's stored form. An active task is [task, try, machine] in a
// list, or part of a text (compact) that holds many in less capacity.
type runRecord struct {
	Attempt uint64 `json:"t"`
	Done    string `json:"d,omitempty"` // little-endian bitmap, base64, zero tail cut
	Active  any    `json:"a,omitempty"`
}

func encodeRun(n *Names, attempt uint64, done []uint64, active []*Entry, small bool) []byte {
	r := runRecord{Attempt: attempt}
	last := len(done)
	for last > 0 && done[last-1] == 0 {
		last--
	}
	if last > 0 {
		var raw []byte
		for _, w := range done[:last] {
			raw = binary.LittleEndian.AppendUint64(raw, w)
		}
		for len(raw) > 0 && raw[len(raw)-1] == 0 {
			raw = raw[:len(raw)-1]
		}
		r.Done = base64.RawStdEncoding.EncodeToString(raw)
	}
	sort.Slice(active, func(a, b int) bool { return active[a].Task < active[b].Task })
	switch {
	case len(active) == 0:
	case small:
		r.Active = compact(n, active)
	default:
		list := make([][3]any, len(active))
		for i, e := range active {
			list[i] = [3]any{e.Task, e.Attempt, n.Machines.Name(e.Machine)}
		}
		r.Active = list
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b
}

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

type runEntry struct {
	task    int
	attempt uint64
	machine string
}

func decodeRun(data []byte, words int) (attempt uint64, done []uint64, active []runEntry, small, ok bool) {
	var r struct {
		Attempt uint64          `json:"t"`
		Done    string          `json:"d"`
		Active  json.RawMessage `json:"a"`
	}
	if json.Unmarshal(data, &r) != nil {
		return
	}
	raw, err := base64.RawStdEncoding.DecodeString(r.Done)
	if err != nil || len(raw) > words*8 {
		return
	}
	done = make([]uint64, words)
	for i, b := range raw {
		done[i/8] |= uint64(b) << (i % 8 * 8)
	}
	if len(r.Active) > 0 && r.Active[0] == '"' {
		var text string
		if json.Unmarshal(r.Active, &text) != nil {
			return
		}
		active, ok = expand(text)
		return r.Attempt, done, active, true, ok
	}
	var list [][3]json.RawMessage
	if len(r.Active) > 0 && json.Unmarshal(r.Active, &list) != nil {
		return
	}
	for _, a := range list {
		var e runEntry
		if json.Unmarshal(a[0], &e.task) != nil || json.Unmarshal(a[1], &e.attempt) != nil || json.Unmarshal(a[2], &e.machine) != nil {
			return
		}
		active = append(active, e)
	}
	return r.Attempt, done, active, false, true
}

// finalRecord is a final mark's stored form.
type finalRecord struct {
	Phase  string `json:"p"`
	N      int    `json:"n"`
	Daemon bool   `json:"s,omitempty"` // it was a service, which no job may await
}

const (
	markDone      = "done"
	markCancelled = "cancelled"
)

// EncodeFinal returns the stored form of a final mark.
func EncodeFinal(p Phase, j *Job) []byte {
	r := finalRecord{Phase: markDone, N: j.TaskCount, Daemon: j.Shape == Daemon}
	if p == Cancelled {
		r.Phase = markCancelled
	}
	b, _ := json.Marshal(r)
	return b
}
