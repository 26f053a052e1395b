package worker

import "lugward/internal/event"

// quarantineMachines takes the machines out of use that are found to be at fault.
func (r *Registry) quarantineMachines(now event.Time) {
	for machine := range r.failures.machinesAtFault(now) {
		r.quarantine(machine)
	}
}

// quarantine takes a machine out of use: what runs there is evicted, and the machine is
// released when it is empty.
func (r *Registry) quarantine(machine *Machine) {
	r.log.Info("machine quarantined", "machine", machine.Name, "failed_jobs", len(machine.failedJobs))
	machine.quarantined = true
	machine.draining = true
	r.failures.clearFailures(machine)
	for _, assignment := range r.sortedAssignments(machine) {
		r.Evict(assignment, GracePeriod(assignment.Job))
	}
}
