package worker

import (
	"strconv"
	"strings"

	"lugward/internal/pipeline"
)

// The protocol between controllers and workers. The field names and values of the protocol
// are defined only in this file.

// Heartbeat is the periodic message of a worker about itself, its machine and its tasks.
// The heartbeats of a machine are ordered by incarnation and sequence.
type Heartbeat struct {
	Machine      string       `json:"host"`
	Addr         string       `json:"addr"`
	MachineType  string       `json:"flavor"`
	Zone         string       `json:"yard"`
	Spot         bool         `json:"loaners"`
	Incarnation  uint64       `json:"tenure"`
	Sequence     uint64       `json:"tick"`
	FencingToken uint64       `json:"fence"`    // highest fencing token that the worker has seen
	ReclaimIn    *float64     `json:"recall_s"` // seconds until the cloud reclaims the machine, nil without a notice
	Tasks        []TaskStatus `json:"shards"`
}

// TaskStatus is the status of a task in a heartbeat. The leader keeps those of all tasks in the
// last heartbeats, so the struct is small.
type TaskStatus struct {
	Task             string    `json:"shard"`
	Attempt          uint64    `json:"try"`
	Phase            Phase     `json:"phase"`
	Cause            ExitCause `json:"cause"`
	CheckpointStored bool      `json:"stored"`
}

// Command is a command to a worker.
type Command struct {
	Verb        string   `json:"verb"`
	Task        string   `json:"shard"`
	Attempt     uint64   `json:"try"`
	GracePeriod *float64 `json:"wind_down_s,omitempty"` // grace period of a termination in seconds
}

// directCommand is the body of a request with commands to a worker.
type directCommand struct {
	FencingToken uint64    `json:"fence"`
	Incarnation  uint64    `json:"tenure"`
	Commands     []Command `json:"orders"`
}

// pathDirectCommand is the HTTP path at which a worker accepts direct commands.
const pathDirectCommand = "/do"

// Required fields of a heartbeat.
const (
	fieldMachine     = "host"
	fieldMachineType = "flavor"
	fieldZone        = "yard"
	fieldIncarnation = "tenure"
)

// sequenceField is the text that precedes the digits of the sequence in a heartbeat.
const sequenceField = `"tick":`

// Verbs of commands.
const (
	verbStart     = "start"
	verbTerminate = "stop"
	verbReap      = "reap" // forget a task that has exited
)

// Phase is the phase of a task in a heartbeat. An unknown one is TaskUnseen.
type Phase pipeline.TaskPhase

// phases maps the phases in heartbeats to task phases.
var phases = map[string]pipeline.TaskPhase{
	"pulling": pipeline.TaskPulling,
	"waiting": pipeline.TaskWaitingForGang,
	"running": pipeline.TaskRunning,
	"saving":  pipeline.TaskCheckpointing,
	"exited":  pipeline.TaskExited,
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Phase) UnmarshalText(text []byte) error {
	*p = Phase(phases[string(text)])
	return nil
}

// ExitCause is the cause of the exit of a task in a heartbeat.
type ExitCause uint8

// The causes that are treated differently. All others, and that of a task that has not
// exited, are otherCause.
const (
	otherCause ExitCause = iota
	causeCompleted
	causeFailed
	causeNoCapacity   // the worker lacks free capacity
	causeTaskConflict // another attempt of the task is on the worker
	causeUnknownImage // the image has not been uploaded
)

// causes maps the causes in heartbeats to exit causes.
var causes = map[string]ExitCause{
	"done":    causeCompleted,
	"error":   causeFailed,
	"full":    causeNoCapacity,
	"in_use":  causeTaskConflict,
	"unknown": causeUnknownImage,
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *ExitCause) UnmarshalText(text []byte) error {
	*c = causes[string(text)]
	return nil
}

// ParseTaskName splits the name of a task into the job ID and the task number. ok is false
// if name is not a valid task name.
func ParseTaskName(name string) (job string, task int, ok bool) {
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return "", 0, false
	}
	task, err := strconv.Atoi(name[slash+1:])
	return name[:slash], task, err == nil && task >= 0
}

// taskName returns the name of the task of an assignment.
func taskName(assignment *pipeline.Assignment) string {
	return assignment.Job.ID + "/" + strconv.Itoa(assignment.Task)
}
