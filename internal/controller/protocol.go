package controller

import (
	"encoding/json"

	"lugward/internal/worker"
)

// The HTTP paths and methods that this package serves. The paths of the user API belong
// to package api.
const (
	pathHealth          = "/healthz"
	pathWorkerHeartbeat = "/hello"
	methodPost          = "POST"
)

// retryAfterSeconds is the Retry-After value of replies with status 503.
const retryAfterSeconds = 1

// heartbeatResponse is the body of the response to a worker's heartbeat.
type heartbeatResponse struct {
	FencingToken uint64           `json:"fence"`
	Commands     []worker.Command `json:"orders"`
}

// redirectResponse is the body of a redirect. It names the controller to which the
// worker should send its heartbeats.
type redirectResponse struct {
	Controller string `json:"steward"`
}

// encode returns a response body as JSON. The response types above can always be
// encoded; if encoding fails nevertheless, the error is logged and the body is empty.
func (c *Controller) encode(response any) []byte {
	body, err := json.Marshal(response)
	if err != nil {
		c.log.Error("failed to encode response body", "error", err)
		return nil
	}
	return body
}
