package controller

import (
	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// writeReadinessAndCancellations marks held jobs as ready and jobs downstream of a
// cancelled job as cancelled in the state service. Each write is conditional on the
// record being unchanged, so two controllers may safely write the same record.
func (c *Controller) writeReadinessAndCancellations(now event.Time) {
	if !c.store.Synced() {
		return
	}
	responsible := c.isResponsibleFor
	c.jobs.WriteReadiness(now, c.store, responsible)
	c.jobs.WriteCancellations(now, c.store, responsible)
}

// isResponsibleFor reports whether this controller writes the records of a job. It does
// if it owns the job. As leader it also does if the owner's heartbeats do not arrive or
// report that the owner cannot reach the state service.
func (c *Controller) isResponsibleFor(job *pipeline.Job) bool {
	if job.Owner == c.cfg.Label {
		return true
	}
	return c.leadership.active && !c.peers.reachesState(job.Owner)
}
