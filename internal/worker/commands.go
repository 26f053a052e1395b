package worker

import (
	"lugward/internal/event"
	"lugward/internal/pipeline"
)

func startCommand(assignment *pipeline.Assignment) Command {
	return Command{Verb: verbStart, Task: taskName(assignment), Attempt: assignment.Attempt}
}

// terminateCommand ends a task, which gets some seconds to save a checkpoint.
func terminateCommand(task string, attempt uint64, gracePeriod float64) Command {
	return Command{Verb: verbTerminate, Task: task, Attempt: attempt, GracePeriod: &gracePeriod}
}

func reapCommand(task *TaskStatus) Command {
	return Command{Verb: verbReap, Task: task.Task, Attempt: task.Attempt}
}

// response is the response to a heartbeat while it is put together.
type response struct {
	machine        *Machine
	heartbeat      *Heartbeat
	tokenConfirmed bool // the heartbeat carries our fencing token: it proves what it does not list
	mayStart       bool
	listed         map[*pipeline.Assignment]bool // in the heartbeat

	reaps        []Command
	terminations []Command
	starts       []Command
}

// commands lists the commands, reaps first: a start is refused while another attempt
// is listed.
func (r *response) commands() []Command {
	return append(append(r.reaps, r.terminations...), r.starts...)
}

// Commands returns the commands for the response to a heartbeat that was taken, as
// things stand now.
func (r *Registry) Commands(heartbeat *Heartbeat, now event.Time, leadership Leadership) []Command {
	response := &response{
		machine:        r.Add(heartbeat.Machine, now),
		heartbeat:      heartbeat,
		tokenConfirmed: heartbeat.FencingToken == leadership.FencingToken(),
		mayStart:       leadership.IsLeader(now),
		listed:         map[*pipeline.Assignment]bool{},
	}
	response.machine.unknownTasks = 0
	for i := range heartbeat.Tasks {
		r.respondToTask(response, r.find(response.machine, &heartbeat.Tasks[i]))
	}
	for _, assignment := range r.sortedAssignments(response.machine) {
		if !response.listed[assignment] && assignment.Stored() {
			r.respondToUnlisted(response, assignment)
		}
	}
	response.machine.lastResponse = now
	return response.commands()
}

// respondToTask decides what to do with a task that the heartbeat lists.
func (r *Registry) respondToTask(response *response, task reportedTask) {
	if task.assignment == nil {
		respondToUnknown(response, task)
		return
	}
	response.listed[task.assignment] = true
	if task.exited() {
		return
	}
	// A cancelled job's task is terminated whatever write is pending: one that was
	// taken to have terminated may hang and go on.
	cancelled := task.assignment.Job.TerminalPhase == pipeline.Cancelled
	if task.assignment.Pending() != pipeline.NoPendingWrite && !cancelled {
		return
	}
	if termination := terminationOf(task.assignment); termination.required {
		response.terminations = append(response.terminations, terminateCommand(task.Task, task.Attempt, termination.gracePeriod))
	}
}

// respondToUnknown decides what to do with a listed task that no assignment explains.
func respondToUnknown(response *response, task reportedTask) {
	switch {
	case task.newCompletion(): // reaped once it is stored
	case task.exited():
		response.reaps = append(response.reaps, reapCommand(task.TaskStatus))
	default:
		response.machine.unknownTasks++
		response.terminations = append(response.terminations, terminateCommand(task.Task, task.Attempt, 0))
	}
}

// respondToUnlisted decides what to do with a stored assignment that the heartbeat
// lacks.
func (r *Registry) respondToUnlisted(response *response, assignment *pipeline.Assignment) {
	if terminationOf(assignment).required {
		// A worker has one heartbeat in flight and carries out no late response: a
		// start that this heartbeat does not show will not happen.
		if response.tokenConfirmed {
			r.jobs.RecordTermination(assignment)
		}
		return
	}
	lost := assignment.Phase() >= pipeline.TaskWaitingForGang && response.tokenConfirmed
	switch {
	case lost && assignment.Job.IsGang():
		// The rest of the gang cannot go on.
		r.terminateGang(assignment.Job)
		r.jobs.RecordTermination(assignment)
	case response.mayStart:
		response.start(assignment)
	}
}

// start adds the start of a task. One that was seen on the machine before was lost with
// the worker's incarnation.
func (r *response) start(assignment *pipeline.Assignment) {
	r.starts = append(r.starts, startCommand(assignment))
	assignment.RecordStartCommand(r.heartbeat.Sequence)
	r.machine.images[assignment.Job.Image] = true
}
