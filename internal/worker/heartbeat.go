package worker

import (
	"fmt"

	"lugward/internal/jsonwire"
	"lugward/internal/pipeline"
)

// parseHeartbeat decodes a heartbeat and checks its required fields. It returns an error of
// package json or a MissingFieldError.
func parseHeartbeat(body []byte) (*Heartbeat, error) {
	heartbeat := &Heartbeat{}
	if err := jsonwire.Unmarshal(body, heartbeat); err != nil {
		return nil, fmt.Errorf("decode heartbeat: %w", err)
	}
	if field := heartbeat.missingField(); field != "" {
		return nil, &MissingFieldError{Field: field}
	}
	return heartbeat, nil
}

// missingField returns the name of the first required field without a value, or "" if there
// is none.
func (h *Heartbeat) missingField() string {
	switch {
	case h.Machine == "":
		return fieldMachine
	case h.MachineType == "":
		return fieldMachineType
	case h.Zone == "":
		return fieldZone
	case h.Incarnation == 0:
		return fieldIncarnation
	default:
		return ""
	}
}

// listedTasks returns the names of the tasks that a heartbeat lists.
func (h *Heartbeat) listedTasks() map[string]bool {
	listed := make(map[string]bool, len(h.Tasks))
	for i := range h.Tasks {
		listed[h.Tasks[i].Task] = true
	}
	return listed
}

// completed reports whether the task has exited because it has completed.
func (t *TaskStatus) completed() bool { return t.exited() && t.Cause == causeCompleted }

// exited reports whether the task has exited.
func (t *TaskStatus) exited() bool { return pipeline.TaskPhase(t.Phase) == pipeline.TaskExited }
