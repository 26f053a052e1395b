package pipeline

import "encoding/json"

// Kinds of the keys in the state service that belong to this package.
const (
	JobKey      = "j" // j/<id>: the job, written at submission and by its ready mark
	RunKey      = "r" // r/<id>/<chunk>: what may run where, what is done
	TerminalKey = "f" // f/<id>: the final mark, created once, never changed
)

// jobRecord is a job record's stored form.
type jobRecord struct {
	Class        string    `json:"c"`
	Team         string    `json:"t"`
	Shape        Shape     `json:"s"`
	Priority     Priority  `json:"k"`
	TaskCount    int       `json:"n"`
	Resources    []float64 `json:"u"` // CPUs, GPUs, memory
	Image        string    `json:"b"`
	ImageGB      float64   `json:"g"`
	MachineTypes []string  `json:"f,omitempty"`
	Zone         string    `json:"z,omitempty"`
	Flags        int       `json:"x,omitempty"`
	Times        []float64 `json:"e"` // estimated runtime, checkpoint interval and duration, deadline
	Owner        string    `json:"o"`
	Upstream     []string  `json:"up,omitempty"`
	Ready        bool      `json:"r,omitempty"`
	// The production version before chained jobs ignores these.
	Submitted          int64  `json:"at,omitempty"` // Unix ms
	ReadyAt            int64  `json:"ra,omitempty"` // Unix ms, if not at submission
	UpstreamPages      int    `json:"un,omitempty"` // number of keys that store the upstream IDs
	SubmissionRevision uint64 `json:"us,omitempty"` // version of the first of them
}

// Lengths of the lists in a job record.
const (
	resourceCount = 3
	timeCount     = 4
)

// Bits of a job record's flags.
const (
	flagSameZone = 1 << iota
	flagSpreadZones
	flagAllowSpot
)

// Encode returns the stored form of a job.
func Encode(n *Names, j *Job) []byte {
	r := jobRecord{
		Class:              n.Classes.Name(j.Class),
		Team:               n.Teams.Name(j.Team),
		Shape:              j.Shape,
		Priority:           j.Priority,
		TaskCount:          j.TaskCount,
		Resources:          []float64{j.CPUs, j.GPUs, j.Memory},
		Image:              n.Images.Name(j.Image),
		ImageGB:            j.ImageGB,
		Flags:              encodeFlags(&j.Spec),
		Times:              []float64{j.EstimatedRuntime, j.CheckpointInterval, j.CheckpointDuration, j.Deadline},
		Owner:              j.Owner,
		Upstream:           j.Upstream,
		Ready:              j.Ready,
		Submitted:          j.SubmittedAt,
		UpstreamPages:      j.UpstreamPages,
		SubmissionRevision: j.SubmissionRevision,
	}
	if j.Ready && j.ReadyAt != j.SubmittedAt {
		r.ReadyAt = j.ReadyAt
	}
	for _, machineType := range j.MachineTypes {
		r.MachineTypes = append(r.MachineTypes, n.MachineTypes.Name(machineType))
	}
	if j.Zone >= 0 {
		r.Zone = n.Zones.Name(j.Zone)
	}
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // the API admits finite numbers only
	}
	return j.unknown.appendTo(data)
}

func encodeFlags(s *Spec) (flags int) {
	if s.SameZone {
		flags |= flagSameZone
	}
	if s.SpreadZones {
		flags |= flagSpreadZones
	}
	if s.AllowSpot {
		flags |= flagAllowSpot
	}
	return flags
}

// decode reads a job's stored form into the job; false: it is damaged, and the job
// stays as it was.
func decode(n *Names, data []byte, j *Job) bool {
	var r jobRecord
	if json.Unmarshal(data, &r) != nil {
		return false
	}
	if len(r.Resources) != resourceCount || len(r.Times) != timeCount || r.TaskCount < 1 {
		return false
	}
	j.Spec = decodeSpec(n, &r)
	j.unknown = unknownFields(data, jobFields)
	j.Owner = r.Owner
	j.Upstream = r.Upstream
	j.UpstreamPages = r.UpstreamPages
	j.SubmissionRevision = r.SubmissionRevision
	j.Ready = r.Ready
	j.SubmittedAt = r.Submitted
	j.ReadyAt = r.ReadyAt
	if r.Ready && r.ReadyAt == 0 {
		j.ReadyAt = r.Submitted
	}
	return true
}

func decodeSpec(n *Names, r *jobRecord) Spec {
	s := Spec{
		Class:              n.Classes.Index(r.Class),
		Team:               n.Teams.Index(r.Team),
		Shape:              r.Shape,
		Priority:           r.Priority,
		TaskCount:          r.TaskCount,
		CPUs:               r.Resources[0],
		GPUs:               r.Resources[1],
		Memory:             r.Resources[2],
		Image:              n.Images.Index(r.Image),
		ImageGB:            r.ImageGB,
		Zone:               -1,
		SameZone:           r.Flags&flagSameZone != 0,
		SpreadZones:        r.Flags&flagSpreadZones != 0,
		AllowSpot:          r.Flags&flagAllowSpot != 0,
		EstimatedRuntime:   r.Times[0],
		CheckpointInterval: r.Times[1],
		CheckpointDuration: r.Times[2],
		Deadline:           r.Times[3],
	}
	for _, machineType := range r.MachineTypes {
		s.MachineTypes = append(s.MachineTypes, n.MachineTypes.Index(machineType))
	}
	if r.Zone != "" {
		s.Zone = n.Zones.Index(r.Zone)
	}
	return s
}

// terminalRecord is a final mark's stored form.
type terminalRecord struct {
	Phase     string `json:"p"`
	TaskCount int    `json:"n"`
	Daemon    bool   `json:"s,omitempty"` // no job may name one as its upstream job
}

// Phases in a final mark.
const (
	terminalDone      = "done"
	terminalCancelled = "cancelled"
)

// EncodeTerminal returns the stored form of a final mark.
func EncodeTerminal(p Phase, j *Job) []byte {
	r := terminalRecord{Phase: terminalDone, TaskCount: j.TaskCount, Daemon: j.Shape == Daemon}
	if p == Cancelled {
		r.Phase = terminalCancelled
	}
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // a text, a number and a truth value
	}
	return data
}
