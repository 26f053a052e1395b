package record

import "fmt"

// Job is a job's record: the submitted job, and whether it is ready.
type Job struct {
	Class              string
	Team               string
	Shape              uint8
	Priority           uint8
	TaskCount          int
	CPUs, GPUs, Memory float64 // per task
	Image              string
	ImageGB            float64
	MachineTypes       []string // nil means any
	Zone               string   // empty means any
	SameZone           bool
	SpreadZones        bool
	AllowSpot          bool
	EstimatedRuntime   float64 // seconds
	CheckpointInterval float64 // seconds
	CheckpointDuration float64 // seconds
	Deadline           float64 // seconds after submission, zero if there is no deadline

	Owner              string   // label of the controller that writes the job's readiness and cancellation
	Upstream           []string // IDs of upstream jobs, empty if they are stored in pages
	UpstreamPages      int      // number of pages that store the IDs, zero if Upstream has them
	SubmissionRevision uint64   // revision of page 0 (see UpstreamPageKey)

	Ready       bool  // all upstream jobs are done
	SubmittedAt int64 // Unix ms, zero if unknown
	ReadyAt     int64 // Unix ms, zero if unknown

	Unknown Fields // added by a later version
}

// storedJob is the stored form of a job record.
type storedJob struct {
	Class        string    `json:"c"`
	Team         string    `json:"t"`
	Shape        uint8     `json:"s"`
	Priority     uint8     `json:"k"`
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
	// The first version ignores the following fields.
	SubmittedAt        int64  `json:"at,omitempty"`
	ReadyAt            int64  `json:"ra,omitempty"` // omitted if the job is not ready or if equal to SubmittedAt
	UpstreamPages      int    `json:"un,omitempty"`
	SubmissionRevision uint64 `json:"us,omitempty"`
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

// Encode returns the stored form of a job record. All numbers must be finite.
func (j *Job) Encode() []byte {
	stored := storedJob{
		Class:              j.Class,
		Team:               j.Team,
		Shape:              j.Shape,
		Priority:           j.Priority,
		TaskCount:          j.TaskCount,
		Resources:          []float64{j.CPUs, j.GPUs, j.Memory},
		Image:              j.Image,
		ImageGB:            j.ImageGB,
		MachineTypes:       j.MachineTypes,
		Zone:               j.Zone,
		Flags:              j.flags(),
		Times:              []float64{j.EstimatedRuntime, j.CheckpointInterval, j.CheckpointDuration, j.Deadline},
		Owner:              j.Owner,
		Upstream:           j.Upstream,
		Ready:              j.Ready,
		SubmittedAt:        j.SubmittedAt,
		UpstreamPages:      j.UpstreamPages,
		SubmissionRevision: j.SubmissionRevision,
	}
	if j.Ready && j.ReadyAt != j.SubmittedAt {
		stored.ReadyAt = j.ReadyAt
	}
	return j.Unknown.appendTo(marshal(stored))
}

func (j *Job) flags() (flags int) {
	if j.SameZone {
		flags |= flagSameZone
	}
	if j.SpreadZones {
		flags |= flagSpreadZones
	}
	if j.AllowSpot {
		flags |= flagAllowSpot
	}
	return flags
}

// DecodeJob decodes a job record. An error is a *DecodeError.
func DecodeJob(data []byte) (Job, error) {
	var stored storedJob
	if err := unmarshal(KindJob, "", data, &stored); err != nil {
		return Job{}, err
	}
	if err := stored.validate(); err != nil {
		return Job{}, err
	}
	job := stored.job()
	job.Unknown = unknownFields(data, jobFields)
	return job, nil
}

// validate returns an error unless the lists of a record have the right lengths and the job
// has at least one task.
func (s *storedJob) validate() error {
	if len(s.Resources) != resourceCount {
		return &DecodeError{KindJob, "u", fmt.Errorf("%w: found %d elements, expected %d", ErrLength, len(s.Resources), resourceCount)}
	}
	if len(s.Times) != timeCount {
		return &DecodeError{KindJob, "e", fmt.Errorf("%w: found %d elements, expected %d", ErrLength, len(s.Times), timeCount)}
	}
	if s.TaskCount < 1 {
		return &DecodeError{KindJob, "n", fmt.Errorf("%w: found %d tasks, expected at least 1", ErrOutOfRange, s.TaskCount)}
	}
	return nil
}

func (s *storedJob) job() Job {
	job := Job{
		Class:              s.Class,
		Team:               s.Team,
		Shape:              s.Shape,
		Priority:           s.Priority,
		TaskCount:          s.TaskCount,
		CPUs:               s.Resources[0],
		GPUs:               s.Resources[1],
		Memory:             s.Resources[2],
		Image:              s.Image,
		ImageGB:            s.ImageGB,
		MachineTypes:       s.MachineTypes,
		Zone:               s.Zone,
		SameZone:           s.Flags&flagSameZone != 0,
		SpreadZones:        s.Flags&flagSpreadZones != 0,
		AllowSpot:          s.Flags&flagAllowSpot != 0,
		EstimatedRuntime:   s.Times[0],
		CheckpointInterval: s.Times[1],
		CheckpointDuration: s.Times[2],
		Deadline:           s.Times[3],
		Owner:              s.Owner,
		Upstream:           s.Upstream,
		UpstreamPages:      s.UpstreamPages,
		SubmissionRevision: s.SubmissionRevision,
		Ready:              s.Ready,
		SubmittedAt:        s.SubmittedAt,
		ReadyAt:            s.ReadyAt,
	}
	if job.Ready && job.ReadyAt == 0 {
		job.ReadyAt = job.SubmittedAt
	}
	return job
}
