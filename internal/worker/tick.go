package worker

import (
	"time"

	"lugward/internal/event"
)

// scanInterval is the time between two scans of all machines in use.
const scanInterval = 250 * time.Millisecond

// Tick sends terminations straight to workers, finds machines whose tasks have surely
// terminated and lets gangs start again whose old attempt has ended. Machines on
// which nothing is to be terminated cost nothing.
func (r *Registry) Tick(now event.Time, leadership Leadership, out *event.Effects) {
	r.sendTerminations(now, leadership, out)
	if now-r.scannedAt < scanInterval {
		return
	}
	r.scannedAt = now
	r.quarantineMachines(now)
	for index := range r.jobs.MachinesInUse() {
		r.checkExpired(index, now, leadership)
	}
	for job := range r.jobs.AllJobs() {
		r.failures.checkService(job, now)
		r.jobs.FinishTermination(job)
	}
}
