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
	// stopsInterval is the time between two direct commands with stops to a worker.
	stopsInterval = time.Second
)

// GracePeriod is the time that a task gets to save a checkpoint before it is
// stopped, in seconds.
func GracePeriod(job *pipeline.Job) float64 {
	return job.CheckpointDuration + checkpointMargin
}

// Evict asks for a task to be stopped so that it can run elsewhere. A gang stops as
// a whole.
func (r *Registry) Evict(entry *pipeline.Entry, gracePeriod float64) {
	if entry.Evict {
		return
	}
	r.Jobs.Changed = true
	if entry.Job.IsGang() {
		r.stopGang(entry.Job)
		return
	}
	r.evictEntry(entry, gracePeriod)
}

// stopGang stops all tasks of a gang. It starts again when all have terminated.
func (r *Registry) stopGang(job *pipeline.Job) {
	job.Stopping = true
	job.Entries(func(entry *pipeline.Entry) { r.evictEntry(entry, GracePeriod(job)) })
}

// evictEntry marks an entry to be stopped, and clears it at once where it is not
// stored yet: nothing was ordered then.
func (r *Registry) evictEntry(entry *pipeline.Entry, gracePeriod float64) {
	if !entry.Evict {
		entry.Evict = true
		entry.GracePeriod = gracePeriod
		r.Jobs.MarkMachineChanged(entry.Machine)
	}
	r.stopSoon(entry)
	if !entry.Durable {
		r.Jobs.Clear(entry)
	}
}

// stopSoon notes that a task is to be stopped.
func (r *Registry) stopSoon(entry *pipeline.Entry) {
	r.toStop[entry.Machine] = true
}

// sendStops sends stops that cannot wait for the next report. Carried out late they
// do no harm: they name an attempt, and attempts are not reused. It tells whether a
// task on the machine is still to be stopped.
func (r *Registry) sendStops(machine *Machine, now event.Time, term Term, out *event.Effects) (more bool) {
	due := now-machine.lastStops >= stopsInterval
	ready := due && machine.LastReport != 0 && machine.Addr != ""
	var orders []Order
	for _, entry := range r.Jobs.OnMachine(machine.Index) {
		stop, gracePeriod := mustStop(entry)
		more = more || stop
		if ready && stop && entry.Stored() && hasNoStop(entry) {
			orders = append(orders, stopOrder(taskName(entry), entry.Attempt, gracePeriod))
		}
	}
	if len(orders) == 0 {
		return more
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Task, b.Task) })
	machine.lastStops = now
	r.sendCommand(machine, directCommand{term.FencingToken(), machine.Session, orders}, directCall{}, out)
	return more
}

// hasNoStop tells whether a worker that has a task has not begun to stop it.
func hasNoStop(entry *pipeline.Entry) bool {
	return entry.Phase != pipeline.Unseen && entry.Phase < pipeline.Saving
}
