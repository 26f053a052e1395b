package controller

import (
	"encoding/json"

	"lugward/internal/worker"
)

// The HTTP paths and methods that the controller serves itself. The paths of the
// API for users belong to package api.
const (
	pathHealth          = "/healthz"
	pathWorkerHeartbeat = "/hello"
	methodPost          = "POST"
)

// retryAfterSeconds is when a client that we cannot serve should come back.
const retryAfterSeconds = 1

// heartbeatResponse is the body of the answer to a worker's heartbeat.
type heartbeatResponse struct {
	FencingToken uint64           `json:"fence"`
	Commands     []worker.Command `json:"orders"`
}

// redirectResponse tells a worker which controller to send its heartbeats to.
type redirectResponse struct {
	Controller string `json:"steward"`
}

// encode returns the JSON of the body of a response. The types above cannot fail to
// encode; should one ever do, the failure is logged and the body is empty.
func (c *Controller) encode(response any) []byte {
	body, err := json.Marshal(response)
	if err != nil {
		c.log.Error("response cannot be encoded", "error", err)
		return nil
	}
	return body
}
