package api

import (
	"encoding/json"
	"regexp"

	"lugward/internal/pipeline"
)

// This file holds the words of the users' HTTP API: the paths, the fields of
// submissions and answers, and the names of shapes, priorities and phases. The rest
// of the package uses the field's terms.

// The endpoints, below submissionsPath:
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

// maxTasks is the largest number of tasks of a job.
const maxTasks = 100_000

// jobIDPattern is the form of the IDs that users give their jobs.
var jobIDPattern = regexp.MustCompile(`^req-[0-9]{1,19}$`)

// The names of the fields of a submission.
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

// submission is the body of a submission. Pointers tell what is missing from
// what is zero.
type submission struct {
	identity
	amounts
	placement
	// Upstream is decoded by upstreamJobs, not with the rest: a repeat of an
	// accepted submission is recognized by its ID, whatever its list says.
	Upstream json.RawMessage `json:"awaits"`
}

// identity is what a submission names: the job and what it is made of.
type identity struct {
	ID       *string `json:"name_id"`
	Class    *string `json:"jobclass"`
	Team     *string `json:"owner"`
	Shape    *string `json:"shape"`
	Priority *string `json:"rank"`
	Image    *string `json:"bundle"`
}

// amounts are what the job needs. CPUs, GPUs, memory and image are per task.
type amounts struct {
	Tasks              *int     `json:"shards"`
	CPUs               *float64 `json:"cores"`
	GPUs               *float64 `json:"cards"`
	MemoryGB           *float64 `json:"ram_gb"`
	ImageGB            *float64 `json:"image_gb"`
	EstimatedRuntime   *float64 `json:"expect_s"`         // seconds
	CheckpointInterval *float64 `json:"snapshot_every_s"` // seconds
	CheckpointDuration *float64 `json:"snapshot_s"`       // seconds
	Deadline           *float64 `json:"due_s"`            // seconds; absent: none
}

// placement says where the job's tasks may run.
type placement struct {
	MachineTypes []*string `json:"flavors"` // absent: any
	Zone         *string   `json:"yard"`    // absent: any
	SameZone     *bool     `json:"same_place"`
	SpreadZones  *bool     `json:"scatter"`
	AllowSpot    *bool     `json:"loaners"`
}

// shapes are the shapes of jobs by their names in the API.
var shapes = map[string]pipeline.Shape{
	"array":  pipeline.Array,
	"gang":   pipeline.Gang,
	"daemon": pipeline.Daemon,
}

// priorities are the priorities of jobs by their names in the API.
var priorities = map[string]pipeline.Priority{
	"production": pipeline.Production,
	"high":       pipeline.High,
	"normal":     pipeline.Normal,
	"idle":       pipeline.Idle,
}

// phaseNames are the names of the phases of jobs in the API.
var phaseNames = [...]string{
	pipeline.Queued:    "queued",
	pipeline.Running:   "running",
	pipeline.Done:      "done",
	pipeline.Cancelled: "cancelled",
}

// jobStatus is the body of an answer: the status of a job.
type jobStatus struct {
	ID      string `json:"name_id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`    // tasks
	Running int    `json:"running"` // tasks
}

func (s jobStatus) encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	return b
}
