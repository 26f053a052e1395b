package simtest

import (
	"net/http"

	"lugward/internal/jsonwire"
)

// serve handles a request of a controller: a direct command or an inspection.
func (worker *fakeWorker) serve(path string, body []byte, answer answerFunc) {
	if !worker.up {
		return
	}
	if worker.hung {
		// The request is handled when the machine resumes.
		worker.whenResumed(func() { worker.serve(path, body, answer) })
		return
	}
	if path == directCommandPath {
		var request commandRequest
		if jsonwire.Unmarshal(body, &request) != nil || request.FencingToken == nil || request.Incarnation == nil {
			worker.world.reportLimitViolation("worker got an invalid direct command %.200s", body)
			answer(http.StatusBadRequest, nil)
			return
		}
		if *request.FencingToken < worker.fencingToken || *request.Incarnation != worker.incarnation {
			answer(http.StatusConflict, worker.buildHeartbeat())
			return
		}
		worker.recordFencingToken(*request.FencingToken)
		worker.world.checker.checkDirectCommands(worker, request.Commands)
		worker.executeCommands(request.Commands)
	}
	answer(http.StatusOK, worker.buildHeartbeat())
}

// executeCommands executes commands. It is idempotent: a repeated command has no effect.
func (worker *fakeWorker) executeCommands(commands []taskCommand) {
	for _, command := range commands {
		assignment := worker.assignments[command.Task]
		known := assignment != nil && assignment.attempt == command.Attempt
		switch command.Verb {
		case "start":
			if !known {
				worker.world.checker.checkAssigned(worker, command)
				worker.startTask(command)
			}
		case "stop":
			if known && assignment.phase != taskExited {
				worker.world.checker.countStopCommand(assignment)
				worker.stopTask(assignment, seconds(command.GracePeriod))
			}
		case "reap":
			if known && assignment.phase == taskExited {
				delete(worker.assignments, command.Task)
				worker.statusChanged = true
			}
		default:
			worker.world.reportLimitViolation("worker got a command with unknown verb %q", command.Verb)
		}
	}
}
