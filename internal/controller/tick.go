package controller

import (
	"time"

	"lugward/internal/event"
)

// SetWallClock sets the time of day that belongs to a time of the monotonic clock.
// Stored times are times of day, since monotonic clocks of other processes have
// other starts.
func (c *Controller) SetWallClock(now event.Time, wall time.Time) { c.jobs.SetClock(now, wall) }

// Tick does what is due at the given time.
func (c *Controller) Tick(now event.Time, out *event.Effects) {
	c.jobs.SetNow(now)
	c.store.Tick(now, out)
	c.election.Tick(now, out)
	c.updateLeadership(now, out)
	c.sendPeerHeartbeat(now, out)
	c.expireRelays(now, out)
	c.forgetGoneMachines(now)
	c.publishVersion(now)
	c.writeReadinessAndCancellations(now)
	c.api.Tick(now, out)
	if c.election.IsLeader(now) {
		c.actAsLeader(now, out)
		c.store.Tick(now, out)
	} else if !c.leadership.active {
		c.autoscaler.RefreshMachineTypes(now, out)
	}
	c.answerHeartbeats(now, out)
}

// HandleCallResult takes the outcome of a call of ours.
func (c *Controller) HandleCallResult(now event.Time, done event.CallResult, out *event.Effects) {
	c.jobs.SetNow(now)
	if c.store.HandleCallResult(now, done, out) {
		c.onStoreAnswer(now, out)
		return
	}
	if c.autoscaler.HandleCallResult(now, done, out) {
		return
	}
	c.workers.HandleCallResult(done, c.election, out)
}

// onStoreAnswer acts on what an answer of the state service has changed: the
// term may have begun or ended, and writes that reports wait for may be stored.
func (c *Controller) onStoreAnswer(now event.Time, out *event.Effects) {
	c.updateLeadership(now, out)
	if c.leadership.active && c.election.IsLeader(now) {
		c.actAsLeader(now, out)
		c.store.Tick(now, out)
	}
	c.answerHeartbeats(now, out)
}
