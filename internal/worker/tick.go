package worker

import (
	"time"

	"lugward/internal/event"
)

// scanInterval is the minimum time between two scans of the machines in use.
const scanInterval = 250 * time.Millisecond

// Tick sends direct commands with terminations to workers. Once per scanInterval, it also
// quarantines machines at fault, records the termination of tasks on machines whose lease
// has expired, and lets gangs whose previous attempt has terminated start again. Machines
// without assignments are not scanned.
func (r *Registry) Tick(now event.Time, leadership Leadership, out *event.Effects) {
	r.sendTerminations(now, leadership, out)
	if now-r.scannedAt < scanInterval {
		return
	}
	r.scannedAt = now
	r.quarantineMachines(now)
	for index := range r.jobs.MachinesInUse() {
		r.recordTerminationIfExpired(index, now, leadership)
	}
	for job := range r.jobs.AllJobs() {
		r.failures.clearRecoveredDaemon(job, now)
		r.jobs.FinishTermination(job)
	}
}
