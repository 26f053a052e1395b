package worker

import (
	"encoding/json"
	"errors"
	"slices"
)

// errIncomplete is returned for a heartbeat that lacks a field which identifies its
// machine or incarnation.
var errIncomplete = errors.New("heartbeat lacks a field")

// parseHeartbeat decodes and checks a heartbeat.
func parseHeartbeat(body []byte) (*Heartbeat, error) {
	heartbeat := &Heartbeat{}
	if err := json.Unmarshal(body, heartbeat); err != nil {
		return nil, err
	}
	if !heartbeat.complete() {
		return nil, errIncomplete
	}
	return heartbeat, nil
}

// complete tells whether the fields are there that every heartbeat has.
func (h *Heartbeat) complete() bool {
	described := h.MachineType != "" && h.Zone != ""
	return described && h.Machine != "" && h.Incarnation != 0
}

// lists tells whether a heartbeat shows a task.
func (h *Heartbeat) lists(task string) bool {
	return slices.ContainsFunc(h.Tasks, func(status TaskStatus) bool { return status.Task == task })
}

// exited tells whether the task has exited.
func (t *TaskStatus) exited() bool { return t.Phase == phaseExited }
