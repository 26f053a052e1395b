package worker

import "lugward/internal/event"

// quarantineMachines quarantines the machines that are at fault.
func (r *Registry) quarantineMachines(now event.Time) {
	for machine := range r.failures.machinesAtFault(now) {
		r.quarantine(machine)
	}
}

// quarantine quarantines a machine: its tasks are evicted, and it is released once it is
// empty.
func (r *Registry) quarantine(machine *Machine) {
	r.log.Info("machine quarantined: too many jobs failed on it", "machine", machine.Name, "failed_jobs", len(machine.failedJobs))
	machine.quarantined = true
	machine.draining = true
	r.failures.clearFailures(machine)
	for _, assignment := range r.sortedAssignments(machine) {
		r.Evict(assignment, GracePeriod(assignment.Job))
	}
}
