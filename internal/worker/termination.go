package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// terminationInterval is the time between two direct commands with terminations to a
// worker.
const terminationInterval = time.Second

// termination is whether a task is to be terminated, and how.
type termination struct {
	required    bool
	gracePeriod float64 // seconds that the task gets to save a checkpoint
}

// terminationOf returns whether a task is to be terminated: at once where its job has
// ended, with a grace period where it is evicted.
func terminationOf(assignment *pipeline.Assignment) termination {
	if assignment.Job.TerminalPhase != pipeline.Queued {
		return termination{required: true}
	}
	return termination{required: assignment.Evicting(), gracePeriod: assignment.GracePeriod()}
}

// terminateSoon notes that a task is to be terminated.
func (r *Registry) terminateSoon(assignment *pipeline.Assignment) {
	r.terminating[assignment.Machine] = true
}

// sendTerminations sends all workers the terminations that cannot wait for their next
// heartbeats.
func (r *Registry) sendTerminations(now event.Time, leadership Leadership, out *event.Effects) {
	for _, job := range r.jobs.TakeEndedJobs() {
		for assignment := range job.Assignments() {
			r.terminateSoon(assignment)
		}
	}
	for _, index := range slices.Sorted(maps.Keys(r.terminating)) {
		machine := r.MachineAt(index)
		if machine == nil || !r.sendTerminationsTo(machine, now, leadership, out) {
			delete(r.terminating, index)
		}
	}
}

// sendTerminationsTo sends a worker the terminations that cannot wait for its next
// heartbeat. Carried out late they do no harm: they name an attempt, and attempts are
// not reused. It reports whether a task on the machine is still to be terminated.
func (r *Registry) sendTerminationsTo(machine *Machine, now event.Time, leadership Leadership, out *event.Effects) (more bool) {
	intervalOver := now-machine.lastTerminations >= terminationInterval
	ready := intervalOver && machine.lastHeartbeat != 0 && machine.addr != ""
	var commands []Command
	for _, assignment := range r.jobs.OnMachine(machine.Index) {
		termination := terminationOf(assignment)
		more = more || termination.required
		if ready && termination.required && assignment.Stored() && notTerminating(assignment) {
			commands = append(commands, terminateCommand(taskName(assignment), assignment.Attempt, termination.gracePeriod))
		}
	}
	if len(commands) == 0 {
		return more
	}
	slices.SortFunc(commands, func(a, b Command) int { return cmp.Compare(a.Task, b.Task) })
	machine.lastTerminations = now
	r.sendCommand(machine, directCommand{leadership.FencingToken(), machine.incarnation, commands}, directCall{}, out)
	return more
}

// notTerminating reports whether a worker that has a task has not begun to terminate it.
func notTerminating(assignment *pipeline.Assignment) bool {
	return assignment.Phase() != pipeline.TaskUnseen && assignment.Phase() < pipeline.TaskCheckpointing
}

// checkExpired clears a machine whose tasks have terminated because its lease has
// expired.
func (r *Registry) checkExpired(index pipeline.MachineIndex, now event.Time, leadership Leadership) {
	machine := r.MachineAt(index)
	if machine == nil {
		machine = r.Add(r.names.Machines.Name(index), now)
	}
	// A heartbeat that is taken and has no response yet counts, too: what is placed on
	// the machine meanwhile is not lost with its old incarnation.
	lastContact := max(machine.lastResponse, machine.lastHeartbeat)
	if now >= leadership.TasksExpireAt(lastContact) {
		r.RecordTermination(machine)
	}
}

// RecordTermination clears everything on a machine that is proven to run nothing.
func (r *Registry) RecordTermination(machine *Machine) {
	if machine.lastHeartbeat != 0 {
		r.log.Info("all tasks on machine terminated", "machine", machine.Name, "tasks", len(r.jobs.OnMachine(machine.Index)))
	}
	for _, assignment := range r.sortedAssignments(machine) {
		if assignment.Job.IsGang() {
			r.terminateGang(assignment.Job)
		}
		r.jobs.RecordTermination(assignment)
	}
	machine.lastHeartbeat = 0
	r.jobs.RequestRound()
}
