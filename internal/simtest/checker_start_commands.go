package simtest

import (
	"bytes"
	"net/http"
	"time"

	"lugward/internal/event"
	"lugward/internal/jsonwire"
	"lugward/internal/peer"
)

// startCommands holds the start commands that controllers have given and workers have executed.
type startCommands struct {
	startGivenAt   map[attemptKey]time.Duration // when a controller first gave the command to start an attempt
	executedStarts map[executedStart]bool
}

// executedStart identifies an attempt that a worker has started, by the incarnation of the
// worker and the number of times that the attempt had been assigned.
type executedStart struct {
	attemptKey
	machine       string
	incarnation   uint64
	assignedTimes int
}

func newStartCommands() startCommands {
	return startCommands{startGivenAt: map[attemptKey]time.Duration{}, executedStarts: map[executedStart]bool{}}
}

// startVerbField is the encoded verb of a start command.
var startVerbField = []byte(`"verb":"start"`)

// checkGivenStarts checks the start commands in the responses of one step of a controller, which
// may be responses to heartbeats that other controllers relay. From the acknowledgement of a
// cancellation on, no controller may give a command to start a task of the job. A command counts
// from the step that decides it: the rest of its way is in flight.
func (checker *Checker) checkGivenStarts(controller string, replies []event.Reply, frames []event.PeerFrame) {
	for _, reply := range replies {
		checker.checkStartsIn(controller, reply.Status, reply.Body)
	}
	for _, sent := range frames {
		if frame, err := peer.Decode(sent.Data); err == nil && frame.Kind == peer.RelayAck {
			checker.checkStartsIn(controller, int(frame.Status), frame.Body)
		}
	}
}

// checkStartsIn checks the start commands in one response of a controller.
func (checker *Checker) checkStartsIn(controller string, status int, body []byte) {
	if status != http.StatusOK || !bytes.Contains(body, startVerbField) {
		return
	}
	var response heartbeatResponse
	_ = jsonwire.Unmarshal(body, &response)
	for _, command := range response.Commands {
		if command.Verb == "start" {
			checker.checkGivenStart(controller, command)
		}
	}
}

// checkGivenStart checks one start command that a controller gives.
func (checker *Checker) checkGivenStart(controller string, command taskCommand) {
	key := attemptKey{command.Task, command.Attempt}
	if _, ok := checker.startGivenAt[key]; !ok {
		checker.startGivenAt[key] = checker.world.now
	}
	if since, ok := checker.cancelledSince(key.job()); ok {
		checker.startsGivenAfterCancellation++
		checker.reportViolation("start command after the cancellation: %s commands the start of task %s attempt %d %s after the acknowledged cancellation",
			controller, command.Task, command.Attempt, checker.world.now-since)
	}
}

// checkExecutedStart checks a start command that a worker executes. A worker drops a response
// after heartbeatTimeout, so no command that was in flight at the acknowledgement of a
// cancellation may be executed later than that. A worker that has started an attempt must not be
// made to start it again, by a late copy of the command or otherwise, unless the attempt has been
// assigned to it again.
func (checker *Checker) checkExecutedStart(worker *fakeWorker, command taskCommand) {
	attempt := attemptKey{command.Task, command.Attempt}
	if since, ok := checker.cancelledSince(attempt.job()); ok && checker.world.now-since > heartbeatTimeout {
		checker.reportViolation("start command executed after the cancellation: task %s attempt %d is started on %s %s after the acknowledged cancellation, want at most %s",
			command.Task, command.Attempt, worker.name, checker.world.now-since, heartbeatTimeout)
	}
	key := executedStart{attempt, worker.name, worker.incarnation, checker.assignedTimes[attempt]}
	if checker.executedStarts[key] {
		checker.reportViolation("start command executed twice: task %s attempt %d is started on %s, which has started it before in this incarnation",
			command.Task, command.Attempt, worker.name)
	}
	checker.executedStarts[key] = true
}

// checkDirectCommands checks that a direct command starts no task. Direct commands may be
// executed long after they were given, as long as token and session match, and a copy of one that
// starts a task could start it once more after it was reaped.
func (checker *Checker) checkDirectCommands(worker *fakeWorker, commands []taskCommand) {
	for _, command := range commands {
		if command.Verb == "start" {
			checker.reportViolation("start in a direct command: %s is commanded to start task %s attempt %d", worker.name, command.Task, command.Attempt)
		}
	}
}
