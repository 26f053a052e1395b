package simtest

import (
	"encoding/json"
	"net/http"
	"time"
)

// heartbeatTimeout is how long a worker waits for the answer to a heartbeat.
const heartbeatTimeout = 4 * time.Second

// heartbeatDue reports whether it is time for a heartbeat.
func (worker *fakeWorker) heartbeatDue() bool {
	if worker.world.now >= worker.nextHeartbeat {
		return true
	}
	return worker.changed && worker.world.now-worker.lastHeartbeat >= minHeartbeatInterval
}

// buildHeartbeat is the heartbeat that the worker sends next.
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
		left := (worker.reclaimAt - worker.world.now).Seconds()
		message.ReclaimIn = &left
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

// sendHeartbeat sends a heartbeat and takes its answer.
func (worker *fakeWorker) sendHeartbeat() {
	worker.heartbeatInFlight, worker.changed = true, false
	worker.lastHeartbeat = worker.world.now
	interval := seconds(worker.world.config.Settings.Workers.HeartbeatS)
	jitter := time.Duration(worker.world.random.Int64N(int64(interval / 2)))
	worker.nextHeartbeat = worker.world.now + interval*3/4 + jitter
	body, _ := json.Marshal(worker.buildHeartbeat())
	sent, incarnation := worker.world.now, worker.incarnation
	if worker.heartbeatsBlocked {
		// No connection comes about, at once or after a while.
		delay := time.Duration(worker.world.random.Int64N(int64(heartbeatTimeout)))
		worker.world.schedule(delay, func() {
			worker.whenResumed(func() { worker.handleHeartbeatResponse(sent, incarnation, 0, nil) })
		})
		return
	}
	request := httpRequest{from: worker.name, method: "POST", path: heartbeatPath, body: body, timeout: heartbeatTimeout}
	worker.world.network.request(worker.world.controllers[worker.target], request, func(status int, body []byte) {
		worker.whenResumed(func() {
			if worker.world.now-sent >= heartbeatTimeout {
				status, body = 0, nil // it came while the machine hung
			}
			worker.handleHeartbeatResponse(sent, incarnation, status, body)
		})
	})
}

// handleHeartbeatResponse takes the answer to a heartbeat that was sent at that time in that
// incarnation, status 0 for none.
func (worker *fakeWorker) handleHeartbeatResponse(sent time.Duration, incarnation uint64, status int, body []byte) {
	worker.heartbeatInFlight = false
	if !worker.up {
		return
	}
	if status == 0 {
		worker.world.checker.unansweredHeartbeats++
	}
	var answer heartbeatResponse
	_ = json.Unmarshal(body, &answer)
	if status == http.StatusMisdirectedRequest && worker.redirect(answer.Leader) {
		return
	}
	if status != http.StatusOK {
		worker.target = (worker.target + 1) % len(worker.world.controllers)
		worker.nextHeartbeat = worker.world.now + time.Second
		return
	}
	if answer.FencingToken < worker.fencingToken || answer.FencingToken == 0 || incarnation != worker.incarnation {
		return
	}
	worker.learnFencingToken(answer.FencingToken)
	worker.leaseStart = max(worker.leaseStart, sent)
	worker.executeCommands(answer.Commands)
}

// redirect lets the next heartbeat go to the leader, soon. It reports whether that is
// another controller.
func (worker *fakeWorker) redirect(leader string) bool {
	for i, process := range worker.world.controllers {
		if leader != "" && process.name == leader && i != worker.target {
			worker.target = i
			worker.changed = true
			worker.lastHeartbeat = worker.world.now - minHeartbeatInterval + workerTickInterval
			return true
		}
	}
	return false
}

// learnFencingToken notes a fencing token that it was sent. If it is a higher one it is told
// in a heartbeat at once, twice in a lease at most.
func (worker *fakeWorker) learnFencingToken(token uint64) {
	if token <= worker.fencingToken {
		return
	}
	worker.fencingToken = token
	if worker.world.now-worker.fencingTokenSeenAt > seconds(worker.world.config.Settings.Workers.LeaseS/2) || worker.fencingTokenSeenAt == 0 {
		worker.changed, worker.fencingTokenSeenAt = true, worker.world.now
	}
}

// expireLease kills the tasks and begins an incarnation if the lease has run out.
func (worker *fakeWorker) expireLease() {
	if !worker.leaseExpired() {
		return
	}
	worker.killTasks()
	worker.incarnation++
	worker.leaseStart = worker.world.now
	worker.changed = true
}

// leaseExpired reports whether the last answered heartbeat was sent too long ago.
func (worker *fakeWorker) leaseExpired() bool {
	return worker.world.now-worker.leaseStart > seconds(worker.world.config.Settings.Workers.LeaseS)
}
