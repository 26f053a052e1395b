package worker

import (
	"cmp"
	"slices"

	"lugward/internal/pipeline"
)

// sortedAssignments lists the assignments of a machine by job, in the order of
// readiness, and task.
func (r *Registry) sortedAssignments(machine *Machine) []*pipeline.Assignment {
	assignments := r.jobs.OnMachine(machine.Index)
	if len(assignments) == 0 {
		return nil
	}
	sorted := slices.Clone(assignments)
	slices.SortFunc(sorted, func(a, b *pipeline.Assignment) int {
		return cmp.Or(cmp.Compare(a.Job.ReadyRevision, b.Job.ReadyRevision), cmp.Compare(a.Task, b.Task))
	})
	return sorted
}

// AllStored reports whether nothing that concerns the machine is being stored: a
// response given now would not be followed by another in a moment.
func (r *Registry) AllStored(machine pipeline.MachineIndex) bool {
	for _, assignment := range r.jobs.OnMachine(machine) {
		if !assignment.Stored() {
			return false
		}
	}
	return true
}

// Idle reports whether a usable machine reports no task and has none to start yet.
func (r *Registry) Idle(heartbeat *Heartbeat) bool {
	if len(heartbeat.Tasks) > 0 {
		return false
	}
	machine := r.Lookup(heartbeat.Machine)
	if machine == nil || !machine.reachable() || machine.leaving() {
		return false
	}
	for _, assignment := range r.jobs.OnMachine(machine.Index) {
		if assignment.Durable() {
			return false
		}
	}
	return true
}
