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
	JobKey   = "j" // j/<id>: the vertex, written once at intake
	RunKey   = "r" // r/<id>/<chunk>: what may run where, what is done
	FinalKey = "f" // f/<id>: the final mark, created once, never changed
)

// jobRecord is a job record's stored form.
type jobRecord struct {
	Class   string    `json:"c"`
	Team    string    `json:"t"`
	Shape   Shape     `json:"s"`
	Rank    Rank      `json:"k"`
	N       int       `json:"n"`
	Need    []float64 `json:"u"` // cores, cards, ram
	Bundle  string    `json:"b"`
	ImageGB float64   `json:"g"`
	Flavors []string  `json:"f,omitempty"`
	Zone    string    `json:"z,omitempty"`
	Flags   int       `json:"x,omitempty"`
	Times   []float64 `json:"e"` // expected, save interval, save time, due
	Owner   string    `json:"o"`
	Up      []string  `json:"up,omitempty"`
	Ready   bool      `json:"r,omitempty"`
	// The production version before chained jobs ignores these.
	Submitted int64  `json:"at,omitempty"` // unix ms
	ReadyAt   int64  `json:"ra,omitempty"` // unix ms, if not at submission
	Parts     int    `json:"un,omitempty"` // keys that hold the upstream ids
	Attempt   uint64 `json:"us,omitempty"` // stamp of the first of them
}

const (
	flagSamePlace = 1 << iota
	flagScatter
	flagLoaners
)

// Encode returns the stored form of a job.
func Encode(n *Names, j *Job) []byte {
	r := jobRecord{Class: n.Classes.Name(j.Class), Team: n.Teams.Name(j.Team), Shape: j.Shape, Rank: j.Rank, N: j.N,
		Need: []float64{j.Cores, j.Cards, j.RAM}, Bundle: n.Bundles.Name(j.Bundle), ImageGB: j.ImageGB,
		Times: []float64{j.Expect, j.SnapEvery, j.SnapCost, j.Due}, Owner: j.Owner, Up: j.Up, Ready: j.Ready, Submitted: j.Submitted, Parts: j.Parts, Attempt: j.Attempt}
	if j.Ready && j.ReadyAt != j.Submitted {
		r.ReadyAt = j.ReadyAt
	}
	for _, f := range j.Flavors {
		r.Flavors = append(r.Flavors, n.Flavors.Name(f))
	}
	if j.Zone >= 0 {
		r.Zone = n.Zones.Name(j.Zone)
	}
	for i, on := range []bool{j.SamePlace, j.Scatter, j.Loaners} {
		if on {
			r.Flags |= 1 << i
		}
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // intake admits finite numbers only
	}
	return b
}

func decode(n *Names, data []byte, j *Job) bool {
	var r jobRecord
	if json.Unmarshal(data, &r) != nil || len(r.Need) != 3 || len(r.Times) != 4 || r.N < 1 {
		return false
	}
	j.Spec = Spec{Class: n.Classes.Index(r.Class), Team: n.Teams.Index(r.Team), Shape: r.Shape, Rank: r.Rank, N: r.N,
		Cores: r.Need[0], Cards: r.Need[1], RAM: r.Need[2], Bundle: n.Bundles.Index(r.Bundle), ImageGB: r.ImageGB,
		Zone: -1, SamePlace: r.Flags&flagSamePlace != 0, Scatter: r.Flags&flagScatter != 0, Loaners: r.Flags&flagLoaners != 0,
		Expect: r.Times[0], SnapEvery: r.Times[1], SnapCost: r.Times[2], Due: r.Times[3]}
	for _, f := range r.Flavors {
		j.Flavors = append(j.Flavors, n.Flavors.Index(f))
	}
	if r.Zone != "" {
		j.Zone = n.Zones.Index(r.Zone)
	}
	j.Owner, j.Up, j.Parts, j.Attempt, j.Ready = r.Owner, r.Up, r.Parts, r.Attempt, r.Ready
	j.Submitted, j.ReadyAt = r.Submitted, r.ReadyAt
	if r.Ready && r.ReadyAt == 0 {
		j.ReadyAt = r.Submitted
	}
	return true
}

// runRecord is a chunk's stored form. An active task is [task, try, host] in a
// list, or part of a text (compact) that holds many in less room.
type runRecord struct {
	Try    uint64 `json:"t"`
	Done   string `json:"d,omitempty"` // little-endian bitmap, base64, zero tail cut
	Active any    `json:"a,omitempty"`
}

func encodeRun(n *Names, try uint64, done []uint64, active []*Entry, small bool) []byte {
	r := runRecord{Try: try}
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
			list[i] = [3]any{e.Task, e.Try, n.Hosts.Name(e.Host)}
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

// compact writes entries as one text: what all their machines' names begin
// with and the attempt that most of them have, then for each machine and attempt
// the tasks, the rest of the name and the attempt if it is another. A version that does not know it takes no text for a list, so it
// refuses the record instead of reading it as empty.
func compact(n *Names, active []*Entry) string {
	type group struct {
		host string
		try  uint64
	}
	var order []group
	count, most := map[uint64]int{}, active[0].Try
	tasks := map[group][]int{}
	prefix := n.Hosts.Name(active[0].Host)
	for _, e := range active { // in order of tasks
		g := group{n.Hosts.Name(e.Host), e.Try}
		for !strings.HasPrefix(g.host, prefix) || !utf8.ValidString(prefix) {
			prefix = prefix[:len(prefix)-1]
		}
		if count[e.Try]++; count[e.Try] > count[most] {
			most = e.Try
		}
		if tasks[g] == nil {
			order = append(order, g)
		}
		tasks[g] = append(tasks[g], e.Task)
	}
	text := strconv.AppendUint(append([]byte(prefix), '@'), most, compactBase)
	for _, g := range order {
		sep := byte(' ')
		for list := tasks[g]; len(list) > 0; {
			to := 0
			for to+1 < len(list) && list[to+1] == list[to]+1 {
				to++
			}
			text = strconv.AppendInt(append(text, sep), int64(list[0]), compactBase)
			if to > 0 {
				text = strconv.AppendInt(append(text, '-'), int64(list[to]), compactBase)
			}
			list, sep = list[to+1:], ','
		}
		text = append(append(text, '@'), g.host[len(prefix):]...)
		if g.try != most {
			text = strconv.AppendUint(append(text, '@'), g.try, compactBase)
		}
	}
	return string(text)
}

// mostRange bounds what a damaged record can make of a range of tasks.
const mostRange = 1 << 10

func expand(text string) (active []runEntry, ok bool) {
	groups := strings.Split(text, " ")
	prefix, most, _ := strings.Cut(groups[0], "@")
	for _, g := range groups[1:] {
		tasks, rest, found := strings.Cut(g, "@")
		host, attempt, other := strings.Cut(rest, "@")
		if !other {
			attempt = most
		}
		try, err := strconv.ParseUint(attempt, compactBase, 64)
		if !found || err != nil || prefix+host == "" {
			return nil, false
		}
		for _, span := range strings.Split(tasks, ",") {
			a, b, isSpan := strings.Cut(span, "-")
			if !isSpan {
				b = a
			}
			from, err1 := strconv.ParseUint(a, compactBase, 32)
			to, err2 := strconv.ParseUint(b, compactBase, 32)
			if err1 != nil || err2 != nil || to < from || to-from >= mostRange {
				return nil, false
			}
			for task := from; task <= to; task++ {
				active = append(active, runEntry{int(task), try, prefix + host})
			}
		}
	}
	return active, true
}

type runEntry struct {
	task int
	try  uint64
	host string
}

func decodeRun(data []byte, words int) (try uint64, done []uint64, active []runEntry, ok bool) {
	var r struct {
		Try    uint64          `json:"t"`
		Done   string          `json:"d"`
		Active json.RawMessage `json:"a"`
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
		return r.Try, done, active, ok
	}
	var list [][3]json.RawMessage
	if len(r.Active) > 0 && json.Unmarshal(r.Active, &list) != nil {
		return
	}
	for _, a := range list {
		var e runEntry
		if json.Unmarshal(a[0], &e.task) != nil || json.Unmarshal(a[1], &e.try) != nil || json.Unmarshal(a[2], &e.host) != nil {
			return
		}
		active = append(active, e)
	}
	return r.Try, done, active, true
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
	r := finalRecord{Phase: markDone, N: j.N, Daemon: j.Shape == Daemon}
	if p == Cancelled {
		r.Phase = markCancelled
	}
	b, _ := json.Marshal(r)
	return b
}
