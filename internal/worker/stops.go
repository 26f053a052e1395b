package worker

import (
	"cmp"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// checkpointMargin is added to the time that a checkpoint takes, in seconds,
	// where a task is stopped.
	checkpointMargin = 1
	// terminationInterval is the time between two direct commands with stops to a worker.
	terminationInterval = time.Second
)

// GracePeriod is the time that a task gets to save a checkpoint before it is
// stopped, in seconds.
func GracePeriod(job *pipeline.Job) float64 {
	return job.CheckpointDuration + checkpointMargin
}

// Evict asks for a task to be stopped so that it can run elsewhere. A gang stops as
// a whole.
func (r *Registry) Evict(entry *pipeline.Assignment, gracePeriod float64) {
	if entry.Evicting {
		return
	}
	r.jobs.RequestRound()
	if entry.Job.IsGang() {
		r.terminateGang(entry.Job)
		return
	}
	r.evictAssignment(entry, gracePeriod)
}

// terminateGang stops all tasks of a gang. It starts again when all have terminated.
func (r *Registry) terminateGang(job *pipeline.Job) {
	job.Terminating = true
	job.Assignments(func(entry *pipeline.Assignment) { r.evictAssignment(entry, GracePeriod(job)) })
}

// evictAssignment marks an entry to be stopped, and clears it at once where it is not
// stored yet: nothing was ordered then.
func (r *Registry) evictAssignment(entry *pipeline.Assignment, gracePeriod float64) {
	if !entry.Evicting {
		entry.Evicting = true
		entry.GracePeriod = gracePeriod
		r.jobs.NoteMachineChanged(entry.Machine)
	}
	r.terminateSoon(entry)
	if !entry.Durable {
		r.jobs.RecordTermination(entry)
	}
}

// terminateSoon notes that a task is to be stopped.
func (r *Registry) terminateSoon(entry *pipeline.Assignment) {
	r.terminating[entry.Machine] = true
}

// sendTerminations sends stops that cannot wait for the next report. Carried out late they
// do no harm: they name an attempt, and attempts are not reused. It tells whether a
// task on the machine is still to be stopped.
func (r *Registry) sendTerminations(machine *Machine, now event.Time, term Leadership, out *event.Effects) (more bool) {
	due := now-machine.lastTerminations >= terminationInterval
	ready := due && machine.lastHeartbeat != 0 && machine.addr != ""
	var orders []Command
	for _, entry := range r.jobs.OnMachine(machine.Index) {
		stop, gracePeriod := mustTerminate(entry)
		more = more || stop
		if ready && stop && entry.Stored() && notTerminating(entry) {
			orders = append(orders, terminateCommand(taskName(entry), entry.Attempt, gracePeriod))
		}
	}
	if len(orders) == 0 {
		return more
	}
	slices.SortFunc(orders, func(a, b Command) int { return cmp.Compare(a.Task, b.Task) })
	machine.lastTerminations = now
	r.sendCommand(machine, directCommand{term.FencingToken(), machine.incarnation, orders}, directCall{}, out)
	return more
}

// notTerminating tells whether a worker that has a task has not begun to stop it.
func notTerminating(entry *pipeline.Assignment) bool {
	return entry.Phase != pipeline.TaskUnseen && entry.Phase < pipeline.TaskCheckpointing
}
