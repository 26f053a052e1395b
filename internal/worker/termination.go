package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// terminationInterval is the minimum time between two direct commands with terminations to
// the same worker.
const terminationInterval = time.Second

// termination describes whether a task must be terminated, and with which grace period.
type termination struct {
	required    bool
	gracePeriod float64 // seconds in which the task may save a checkpoint
}

// terminationOf reports whether the task of an assignment must be terminated: without a
// grace period if its job has ended, and with one if the task is being evicted.
func terminationOf(assignment *pipeline.Assignment) termination {
	if assignment.Job.TerminalPhase != pipeline.Queued {
		return termination{required: true}
	}
	return termination{required: assignment.Evicting(), gracePeriod: assignment.GracePeriod()}
}

// requestTermination requests a direct command that terminates the task of an assignment.
func (r *Registry) requestTermination(assignment *pipeline.Assignment) {
	r.pendingTerminations[assignment.Machine] = true
}

// sendTerminations sends direct commands with the required terminations to all workers, so
// that the terminations are not delayed until the next heartbeats.
func (r *Registry) sendTerminations(now event.Time, leadership Leadership, out *event.Effects) {
	for _, job := range r.jobs.DrainEndedJobs() {
		for assignment := range job.Assignments() {
			r.requestTermination(assignment)
		}
	}
	for _, index := range slices.Sorted(maps.Keys(r.pendingTerminations)) {
		machine := r.MachineAt(index)
		if machine == nil || !r.sendTerminationsTo(machine, now, leadership, out) {
			delete(r.pendingTerminations, index)
		}
	}
}

// sendTerminationsTo sends a worker a direct command with the required terminations. It is
// safe if the worker executes the command late, because a termination names an attempt and
// attempt numbers are not reused. It reports whether a task on the machine must still be
// terminated.
func (r *Registry) sendTerminationsTo(machine *Machine, now event.Time, leadership Leadership, out *event.Effects) (more bool) {
	intervalOver := now-machine.lastTerminations >= terminationInterval
	ready := intervalOver && machine.lastHeartbeat != 0 && machine.addr != ""
	var commands []Command
	for assignment := range r.jobs.AssignmentsOn(machine.Index) {
		termination := terminationOf(assignment)
		more = more || termination.required
		if ready && termination.required && assignment.FullyPersisted() && notTerminating(assignment) {
			commands = append(commands, terminateCommand(taskName(assignment), assignment.Attempt, termination.gracePeriod))
		}
	}
	if len(commands) == 0 {
		return more
	}
	slices.SortFunc(commands, func(a, b Command) int { return cmp.Compare(a.Task, b.Task) })
	commands, _ = limitCommands(commands, maxCommandsBytes) // the others follow after terminationInterval
	machine.lastTerminations = now
	r.sendCommand(machine, directCommand{leadership.FencingToken(), machine.incarnation, commands}, directCall{}, out)
	return more
}

// notTerminating reports whether the worker has listed the task of an assignment and has
// not begun to terminate it.
func notTerminating(assignment *pipeline.Assignment) bool {
	return assignment.Phase() != pipeline.TaskUnseen && assignment.Phase() < pipeline.TaskCheckpointing
}

// recordTerminationIfExpired records the termination of all tasks on a machine if its lease
// has expired.
func (r *Registry) recordTerminationIfExpired(index pipeline.MachineIndex, now event.Time, leadership Leadership) {
	machine := r.MachineAt(index)
	if machine == nil {
		machine = r.Add(r.names.Machines.Name(index), now)
	}
	// A heartbeat that was handled and has no response yet counts, too, so that tasks
	// placed on the machine in the meantime are not lost with its old incarnation.
	lastContact := max(machine.lastResponse, machine.lastHeartbeat)
	if now >= leadership.TasksExpireAt(lastContact) {
		r.RecordTermination(machine)
	}
}

// RecordTermination records that all tasks on a machine have terminated. It must be called
// only if this is proven.
func (r *Registry) RecordTermination(machine *Machine) {
	if machine.lastHeartbeat != 0 {
		r.log.Info("recorded all tasks on machine as terminated", "machine", machine.Name, "tasks", r.jobs.AssignmentCount(machine.Index))
	}
	for _, assignment := range r.sortedAssignments(machine) {
		if assignment.Job.IsGang() {
			r.evictGang(assignment.Job)
		}
		r.jobs.RecordTermination(assignment)
	}
	machine.lastHeartbeat = 0
	r.jobs.RequestRound()
}
