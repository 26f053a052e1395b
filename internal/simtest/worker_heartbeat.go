package simtest

import (
	"encoding/json"
	"net/http"
	"time"

	"lugward/internal/jsonwire"
)

// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
const heartbeatTimeout = 4 * time.Second

// maxMessageBytes is the limit of the protocol on the body of a request and on a line of a
// response to a worker.
const maxMessageBytes = 64 << 10

// heartbeatDue reports whether a heartbeat is due: after the interval, or early if the status
// has changed.
func (worker *fakeWorker) heartbeatDue() bool {
	if worker.world.now >= worker.nextHeartbeat {
		return true
	}
	return worker.statusChanged && worker.world.now-worker.lastHeartbeat >= minHeartbeatInterval
}

// buildHeartbeat returns a heartbeat with the current status and the next sequence number.
func (worker *fakeWorker) buildHeartbeat() heartbeat {
	worker.sequence++
	message := heartbeat{
		Machine:      worker.name,
		Addr:         worker.addr,
		MachineType:  worker.machineType,
		Zone:         worker.zone,
		Spot:         worker.spot,
		Incarnation:  worker.incarnation,
		Sequence:     worker.sequence,
		FencingToken: worker.fencingToken,
		Tasks:        []taskStatus{},
	}
	if worker.reclaimAt != 0 {
		remaining := (worker.reclaimAt - worker.world.now).Seconds()
		message.ReclaimIn = &remaining
	}
	for _, assignment := range worker.sortedAssignments() {
		status := taskStatus{Task: assignment.name, Attempt: assignment.attempt, Phase: assignment.phase}
		if assignment.phase == taskExited {
			status.Cause, status.CheckpointStored = assignment.cause, assignment.checkpointStored
		}
		message.Tasks = append(message.Tasks, status)
	}
	return message
}

// sendHeartbeat sends a heartbeat and schedules the next one.
func (worker *fakeWorker) sendHeartbeat() {
	worker.heartbeatInFlight, worker.statusChanged = true, false
	worker.lastHeartbeat = worker.world.now
	interval := seconds(worker.world.config.Settings.Workers.HeartbeatS)
	jitter := time.Duration(worker.world.random.Int64N(int64(interval / 2)))
	worker.nextHeartbeat = worker.world.now + interval*3/4 + jitter
	body, _ := json.Marshal(worker.buildHeartbeat())
	if len(body) > maxMessageBytes {
		worker.world.reportLimitViolation("%s has to report %d tasks in %d bytes", worker.name, len(worker.assignments), len(body))
	}
	sent, incarnation := worker.world.now, worker.incarnation
	if worker.heartbeatsBlocked {
		// The connection fails after a random time.
		delay := time.Duration(worker.world.random.Int64N(int64(heartbeatTimeout)))
		worker.world.schedule(delay, func() {
			worker.whenResumed(func() { worker.handleHeartbeatResponse(sent, incarnation, 0, nil) })
		})
		return
	}
	request := httpRequest{from: worker.name, method: "POST", path: heartbeatPath, body: body, timeout: heartbeatTimeout}
	worker.world.network.request(worker.world.controllers[worker.targetController], request, func(status int, body []byte) {
		worker.whenResumed(func() {
			if worker.world.now-sent >= heartbeatTimeout {
				status, body = 0, nil // the response timed out while the machine hung
			}
			worker.handleHeartbeatResponse(sent, incarnation, status, body)
		})
	})
}

// handleHeartbeatResponse handles the response to a heartbeat that was sent at the given time
// and in the given incarnation. Status 0 means that there was no response.
func (worker *fakeWorker) handleHeartbeatResponse(sent time.Duration, incarnation uint64, status int, body []byte) {
	worker.heartbeatInFlight = false
	if !worker.up {
		return
	}
	if len(body) > maxMessageBytes {
		worker.world.reportLimitViolation("%s got a response with %d bytes", worker.name, len(body))
	}
	if status == 0 {
		worker.world.checker.unansweredHeartbeats++
	}
	var answer heartbeatResponse
	_ = jsonwire.Unmarshal(body, &answer)
	if status == http.StatusMisdirectedRequest && worker.redirect(answer.Leader) {
		return
	}
	if status != http.StatusOK {
		worker.targetController = (worker.targetController + 1) % len(worker.world.controllers)
		worker.nextHeartbeat = worker.world.now + time.Second
		return
	}
	if answer.FencingToken < worker.fencingToken || answer.FencingToken == 0 || incarnation != worker.incarnation {
		return
	}
	worker.recordFencingToken(answer.FencingToken)
	worker.leaseStart = max(worker.leaseStart, sent)
	worker.executeCommands(answer.Commands)
}

// redirect makes the leader the target of heartbeats and lets the next heartbeat be sent soon.
// It returns false and changes nothing if the leader is unknown or already the target.
func (worker *fakeWorker) redirect(leader string) bool {
	for i, process := range worker.world.controllers {
		if leader != "" && process.name == leader && i != worker.targetController {
			worker.targetController = i
			worker.statusChanged = true
			worker.lastHeartbeat = worker.world.now - minHeartbeatInterval + workerTickInterval
			return true
		}
	}
	return false
}

// recordFencingToken records a fencing token that a controller sent. A higher token causes an
// early heartbeat, at most twice per lease duration.
func (worker *fakeWorker) recordFencingToken(token uint64) {
	if token <= worker.fencingToken {
		return
	}
	worker.fencingToken = token
	if worker.world.now-worker.fencingTokenReportedAt > seconds(worker.world.config.Settings.Workers.LeaseS/2) || worker.fencingTokenReportedAt == 0 {
		worker.statusChanged, worker.fencingTokenReportedAt = true, worker.world.now
	}
}

// expireLease kills the tasks and begins a new incarnation if the lease has expired.
func (worker *fakeWorker) expireLease() {
	if !worker.leaseExpired() {
		return
	}
	worker.killTasks()
	worker.incarnation++
	worker.leaseStart = worker.world.now
	worker.statusChanged = true
}

// leaseExpired reports whether the lease has expired. It is counted from the time at which the
// last answered heartbeat was sent.
func (worker *fakeWorker) leaseExpired() bool {
	return worker.world.now-worker.leaseStart > seconds(worker.world.config.Settings.Workers.LeaseS)
}
