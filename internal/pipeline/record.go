package pipeline

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"sort"
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
		Times: []float64{j.Expect, j.SnapEvery, j.SnapCost, j.Due}, Owner: j.Owner, Up: j.Up, Ready: j.Ready}
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
	j.Owner, j.Up, j.Ready = r.Owner, r.Up, r.Ready
	return true
}

// runRecord is a chunk's stored form. An active task is [task, try, host].
type runRecord struct {
	Try    uint64   `json:"t"`
	Done   string   `json:"d,omitempty"` // little-endian bitmap, base64, zero tail cut
	Active [][3]any `json:"a,omitempty"`
}

func encodeRun(n *Names, try uint64, done []uint64, active []*Entry) []byte {
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
	for _, e := range active {
		r.Active = append(r.Active, [3]any{e.Task, e.Try, n.Hosts.Name(e.Host)})
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b
}

type runEntry struct {
	task int
	try  uint64
	host string
}

func decodeRun(data []byte, words int) (try uint64, done []uint64, active []runEntry, ok bool) {
	var r struct {
		Try    uint64               `json:"t"`
		Done   string               `json:"d"`
		Active [][3]json.RawMessage `json:"a"`
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
	for _, a := range r.Active {
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
	Phase string `json:"p"`
	N     int    `json:"n"`
}

const (
	markDone      = "done"
	markCancelled = "cancelled"
)

// EncodeFinal returns the stored form of a final mark.
func EncodeFinal(p Phase, n int) []byte {
	r := finalRecord{Phase: markDone, N: n}
	if p == Cancelled {
		r.Phase = markCancelled
	}
	b, _ := json.Marshal(r)
	return b
}
