package controller

import (
	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// writeReadinessAndCancellations writes that held jobs are ready and that jobs below a
// cancelled one are cancelled. Each write requires the record as it was, so two
// controllers that write the same one do no harm.
func (c *Controller) writeReadinessAndCancellations(now event.Time) {
	if !c.store.Synced() {
		return
	}
	responsible := c.isResponsibleFor
	c.jobs.WriteReadiness(now, c.store, responsible)
	c.jobs.WriteCancellations(now, c.store, responsible)
}

// isResponsibleFor reports whether we write the records of a job: we own it or, as
// leader, its owner cannot, as its heartbeats do not arrive or say that it does not
// reach the state service.
func (c *Controller) isResponsibleFor(job *pipeline.Job) bool {
	if job.Owner == c.cfg.Label {
		return true
	}
	return c.leadership.active && !c.peers.reachesState(job.Owner)
}
