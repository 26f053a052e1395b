package worker

import (
	"cmp"
	"slices"

	"lugward/internal/pipeline"
)

// sortedAssignments returns the assignments of a machine, ordered by the revision at
// which their jobs became ready and then by task number.
func (r *Registry) sortedAssignments(machine *Machine) []*pipeline.Assignment {
	return slices.SortedFunc(r.jobs.AssignmentsOn(machine.Index), func(a, b *pipeline.Assignment) int {
		return cmp.Or(cmp.Compare(a.Job.ReadyRevision, b.Job.ReadyRevision), cmp.Compare(a.Task, b.Task))
	})
}

// AllPersisted reports whether all assignments of the machine are persisted without a
// pending write. Otherwise a response sent now could not contain the commands that
// become possible shortly afterwards, once those writes are committed.
func (r *Registry) AllPersisted(machine pipeline.MachineIndex) bool {
	for assignment := range r.jobs.AssignmentsOn(machine) {
		if !assignment.FullyPersisted() {
			return false
		}
	}
	return true
}

// AwaitsStart reports whether a heartbeat does not list a task that its machine is to run, so that
// the response to it starts the task if tasks may be started now.
func (r *Registry) AwaitsStart(heartbeat *Heartbeat) bool {
	machine := r.Lookup(heartbeat.Machine)
	if machine == nil {
		return false
	}
	listed := map[*pipeline.Assignment]bool{}
	for i := range heartbeat.Tasks {
		listed[r.resolveTask(machine, &heartbeat.Tasks[i]).assignment] = true
	}
	for assignment := range r.jobs.AssignmentsOn(machine.Index) {
		if !listed[assignment] && assignment.FullyPersisted() && !terminationOf(assignment).required {
			return true
		}
	}
	return false
}

// Idle reports whether a heartbeat lists no tasks and its machine has no persisted
// assignment. Machines that are not reachable or are about to be released or reclaimed are
// not considered idle.
func (r *Registry) Idle(heartbeat *Heartbeat) bool {
	if len(heartbeat.Tasks) > 0 {
		return false
	}
	machine := r.Lookup(heartbeat.Machine)
	if machine == nil || !machine.reachable() || machine.leaving() {
		return false
	}
	for assignment := range r.jobs.AssignmentsOn(machine.Index) {
		if assignment.Persisted() {
			return false
		}
	}
	return true
}
