package worker

import (
	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// startCommand returns the command to start the task of an assignment.
func startCommand(assignment *pipeline.Assignment) Command {
	return Command{Verb: verbStart, Task: taskName(assignment), Attempt: assignment.Attempt}
}

// IsStart reports whether the command starts a task.
func (c *Command) IsStart() bool { return c.Verb == verbStart }

// terminateCommand returns the command to terminate a task. The task has gracePeriod
// seconds to save a checkpoint.
func terminateCommand(task string, attempt uint64, gracePeriod float64) Command {
	return Command{Verb: verbTerminate, Task: task, Attempt: attempt, GracePeriod: &gracePeriod}
}

// reapCommand returns the command to forget a task that has exited.
func reapCommand(task *TaskStatus) Command {
	return Command{Verb: verbReap, Task: task.Task, Attempt: task.Attempt}
}

// response collects the commands of the response to a heartbeat.
type response struct {
	machine   *Machine
	heartbeat *Heartbeat
	// tokenConfirmed reports whether the heartbeat carries the fencing token of this term.
	// Only then does it prove that a task that it does not list is not on the machine.
	tokenConfirmed bool
	mayStart       bool                          // whether tasks may be started now
	listed         map[*pipeline.Assignment]bool // assignments that the heartbeat lists

	// bytesLeft is the size of the commands that still fit in the response. Commands that do
	// not fit follow in later responses, as their causes remain.
	bytesLeft    int
	reaps        []Command
	terminations []Command
	starts       []Command
}

// commands returns the commands of the response. Reaps come first, because a worker
// refuses to start a task while it lists another attempt of it.
func (r *response) commands() []Command {
	return append(append(r.reaps, r.terminations...), r.starts...)
}

// limitToMessage drops the commands for listed tasks that do not fit in the response.
// Terminations take precedence, since users wait for the end of cancelled jobs.
func (r *response) limitToMessage() {
	r.terminations, r.bytesLeft = limitCommands(r.terminations, maxCommandsBytes)
	r.reaps, r.bytesLeft = limitCommands(r.reaps, r.bytesLeft)
}

// Commands returns the commands for the response to a heartbeat that HandleHeartbeat has
// accepted, according to the current state of the assignments.
func (r *Registry) Commands(heartbeat *Heartbeat, now event.Time, leadership Leadership) []Command {
	response := &response{
		machine:        r.Add(heartbeat.Machine, now),
		heartbeat:      heartbeat,
		tokenConfirmed: heartbeat.FencingToken == leadership.FencingToken(),
		mayStart:       leadership.MayStartTasks(now),
		listed:         map[*pipeline.Assignment]bool{},
	}
	response.machine.unknownTasks = 0
	for i := range heartbeat.Tasks {
		r.respondToTask(response, r.resolveTask(response.machine, &heartbeat.Tasks[i]))
	}
	response.limitToMessage()
	for _, assignment := range r.sortedAssignments(response.machine) {
		if !response.listed[assignment] && assignment.FullyPersisted() {
			r.respondToUnlisted(response, assignment)
		}
	}
	response.machine.lastResponse = now
	return response.commands()
}

// respondToTask adds the command, if any, for a task that the heartbeat lists.
func (r *Registry) respondToTask(response *response, task reportedTask) {
	if task.assignment == nil {
		respondToUnknown(response, task)
		return
	}
	response.listed[task.assignment] = true
	if task.exited() {
		return
	}
	// A task of a cancelled job is terminated even if a write is pending. The task may
	// have been recorded as terminated although its machine only hung and then continued.
	cancelled := task.assignment.Job.TerminalPhase == pipeline.Cancelled
	if task.assignment.Pending() != pipeline.NoPendingWrite && !cancelled {
		return
	}
	if termination := terminationOf(task.assignment); termination.required {
		response.terminations = append(response.terminations, terminateCommand(task.Task, task.Attempt, termination.gracePeriod))
	}
}

// respondToUnknown adds the command, if any, for a listed task without an assignment.
func respondToUnknown(response *response, task reportedTask) {
	switch {
	case task.newCompletion(): // reaped once the completion is committed
	case task.exited():
		response.reaps = append(response.reaps, reapCommand(task.TaskStatus))
	default:
		response.machine.unknownTasks++
		response.terminations = append(response.terminations, terminateCommand(task.Task, task.Attempt, 0))
	}
}

// respondToUnlisted starts the task of a persisted assignment that the heartbeat does
// not list, or records that the task has terminated.
func (r *Registry) respondToUnlisted(response *response, assignment *pipeline.Assignment) {
	if terminationOf(assignment).required {
		// A worker has one heartbeat in flight and ignores late responses. A start
		// command that has had no effect by this heartbeat will therefore never be
		// carried out.
		if response.tokenConfirmed {
			r.jobs.RecordTermination(assignment)
		}
		return
	}
	lost := assignment.Phase() >= pipeline.TaskWaitingForGang && response.tokenConfirmed
	switch {
	case lost && assignment.Job.IsGang():
		// The other tasks of the gang cannot continue.
		r.evictGang(assignment.Job)
		r.jobs.RecordTermination(assignment)
	case response.mayStart:
		response.addStart(assignment)
	}
}

// addStart adds the command to start the task of an assignment. A task that an earlier
// heartbeat listed was lost with the previous incarnation of the worker.
func (r *response) addStart(assignment *pipeline.Assignment) {
	command := startCommand(assignment)
	size := command.encodedBytes()
	if size > r.bytesLeft {
		return
	}
	r.bytesLeft -= size
	r.starts = append(r.starts, command)
	assignment.RecordStartCommand(r.heartbeat.Sequence)
	r.machine.images[assignment.Job.Image] = true
}
