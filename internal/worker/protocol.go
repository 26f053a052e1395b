package worker

import (
	"strconv"
	"strings"

	"lugward/internal/pipeline"
)

// The protocol between controllers and workers. Its names for things stand only in
// this file.

// Heartbeat is what a worker sends of itself, its machine and its tasks. The heartbeats
// of a machine are ordered by incarnation and sequence.
type Heartbeat struct {
	Machine      string       `json:"host"`
	Addr         string       `json:"addr"`
	MachineType  string       `json:"flavor"`
	Zone         string       `json:"yard"`
	Spot         bool         `json:"loaners"`
	Incarnation  uint64       `json:"tenure"`
	Sequence     uint64       `json:"tick"`
	FencingToken uint64       `json:"fence"`    // the highest that the worker has seen
	ReclaimIn    *float64     `json:"recall_s"` // seconds until the cloud reclaims the machine, nil: no notice
	Tasks        []TaskStatus `json:"shards"`
}

// TaskStatus is a task in a heartbeat.
type TaskStatus struct {
	Task             string `json:"shard"`
	Attempt          uint64 `json:"try"`
	Phase            string `json:"phase"`
	Cause            string `json:"cause"` // of its end, "" before
	CheckpointStored bool   `json:"stored"`
}

// Command is a command to a worker.
type Command struct {
	Verb        string   `json:"verb"`
	Task        string   `json:"shard"`
	Attempt     uint64   `json:"try"`
	GracePeriod *float64 `json:"wind_down_s,omitempty"` // of a termination, in seconds
}

// directCommand is the body of a request with commands to a worker.
type directCommand struct {
	FencingToken uint64    `json:"fence"`
	Incarnation  uint64    `json:"tenure"`
	Commands     []Command `json:"orders"`
}

// pathDirectCommand is the path of a worker that takes direct commands.
const pathDirectCommand = "/do"

// Fields of a heartbeat that every heartbeat has.
const (
	fieldMachine     = "host"
	fieldMachineType = "flavor"
	fieldZone        = "yard"
	fieldIncarnation = "tenure"
)

// sequenceField precedes the digits of the sequence in the text of a heartbeat.
const sequenceField = `"tick":`

// Verbs of commands.
const (
	verbStart     = "start"
	verbTerminate = "stop"
	verbReap      = "reap" // forget a task that has exited
)

// Causes of a task's end.
const (
	causeCompleted    = "done"
	causeFailed       = "error"
	causeNoCapacity   = "full"    // the worker has no capacity
	causeTaskConflict = "in_use"  // another attempt is on the worker
	causeUnknownImage = "unknown" // nobody has uploaded the image
)

// phaseExited is the phase of a task that has exited.
const phaseExited = "exited"

// phases maps the phases of tasks.
var phases = map[string]pipeline.TaskPhase{
	"pulling":   pipeline.TaskPulling,
	"waiting":   pipeline.TaskWaitingForGang,
	"running":   pipeline.TaskRunning,
	"saving":    pipeline.TaskCheckpointing,
	phaseExited: pipeline.TaskExited,
}

// ParseTaskName splits a task's name into its job and its number. ok is false for
// text that is no task's name.
func ParseTaskName(name string) (job string, task int, ok bool) {
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return "", 0, false
	}
	task, err := strconv.Atoi(name[slash+1:])
	return name[:slash], task, err == nil && task >= 0
}

// taskName is the name of a task.
func taskName(assignment *pipeline.Assignment) string {
	return assignment.Job.ID + "/" + strconv.Itoa(assignment.Task)
}
