package api

import (
	"encoding/json"
	"regexp"

	"lugward/internal/pipeline"
)

// This file holds all external names of the users' HTTP API: the paths, the JSON
// fields of requests and responses, and the names of shapes, priorities and phases.
// The rest of the package uses standard scheduler terms.

// The endpoints:
//
//	POST /submissions             submits a job
//	GET  /submissions/ID          returns the job's status
//	POST /submissions/ID/cancel   cancels the job
const (
	submissionsPath = "/submissions"
	cancelAction    = "cancel"

	methodGet  = "GET"
	methodPost = "POST"
)

// maxTasks is the maximum number of tasks in a job.
const maxTasks = 100_000

// jobIDPattern matches valid job IDs, which users choose.
var jobIDPattern = regexp.MustCompile(`^req-[0-9]{1,19}$`)

// The JSON field names of a submission, used in errors.
const (
	fieldID                 = "name_id"
	fieldClass              = "jobclass"
	fieldTeam               = "owner"
	fieldShape              = "shape"
	fieldPriority           = "rank"
	fieldTasks              = "shards"
	fieldCPUs               = "cores"
	fieldGPUs               = "cards"
	fieldMemory             = "ram_gb"
	fieldImage              = "bundle"
	fieldImageSize          = "image_gb"
	fieldMachineTypes       = "flavors"
	fieldZone               = "yard"
	fieldSameZone           = "same_place"
	fieldSpreadZones        = "scatter"
	fieldAllowSpot          = "loaners"
	fieldEstimatedRuntime   = "expect_s"
	fieldCheckpointInterval = "snapshot_every_s"
	fieldCheckpointDuration = "snapshot_s"
	fieldDeadline           = "due_s"
	fieldUpstream           = "awaits"
)

// submission is the request body of a submission. Fields are pointers so that a
// missing field can be distinguished from a zero value.
type submission struct {
	identity
	amounts
	placement
	// Upstream is decoded separately by upstreamJobs. A repeat of an accepted
	// submission is recognized by its ID, even if its list is malformed.
	Upstream json.RawMessage `json:"awaits"`
}

// identity holds the job ID and the other required names of a submission.
type identity struct {
	ID       *string `json:"name_id"`
	Class    *string `json:"jobclass"`
	Team     *string `json:"owner"`
	Shape    *string `json:"shape"`
	Priority *string `json:"rank"`
	Image    *string `json:"bundle"`
}

// amounts holds the numeric fields of a submission. CPUs, GPUs, memory and image size
// are per task.
type amounts struct {
	Tasks              *int     `json:"shards"`
	CPUs               *float64 `json:"cores"`
	GPUs               *float64 `json:"cards"`
	MemoryGB           *float64 `json:"ram_gb"`
	ImageGB            *float64 `json:"image_gb"`
	EstimatedRuntime   *float64 `json:"expect_s"`         // seconds
	CheckpointInterval *float64 `json:"snapshot_every_s"` // seconds
	CheckpointDuration *float64 `json:"snapshot_s"`       // seconds
	Deadline           *float64 `json:"due_s"`            // seconds; nil means no deadline
}

// placement holds the constraints on where the job's tasks may run.
type placement struct {
	MachineTypes []*string `json:"flavors"` // nil means any
	Zone         *string   `json:"yard"`    // nil means any
	SameZone     *bool     `json:"same_place"`
	SpreadZones  *bool     `json:"scatter"`
	AllowSpot    *bool     `json:"loaners"`
}

// shapes maps the API names of job shapes to their values.
var shapes = map[string]pipeline.Shape{
	"array":  pipeline.Array,
	"gang":   pipeline.Gang,
	"daemon": pipeline.Daemon,
}

// priorities maps the API names of job priorities to their values.
var priorities = map[string]pipeline.Priority{
	"production": pipeline.Production,
	"high":       pipeline.High,
	"normal":     pipeline.Normal,
	"idle":       pipeline.Idle,
}

// phaseNames holds the API names of job phases.
var phaseNames = [...]string{
	pipeline.Queued:    "queued",
	pipeline.Running:   "running",
	pipeline.Done:      "done",
	pipeline.Cancelled: "cancelled",
}

// jobStatus is the response body that reports the status of a job.
type jobStatus struct {
	ID      string `json:"name_id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`    // number of tasks
	Running int    `json:"running"` // number of tasks
}

func (s jobStatus) encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // cannot happen: strings and integers always encode
	}
	return b
}
