package pipeline

import (
	"encoding/json"
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
