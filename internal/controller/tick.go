package controller

import (
	"time"

	"lugward/internal/event"
)

// SetWallClock sets the time of day that belongs to a time of the monotonic clock.
// Stored times are times of day, since monotonic clocks of other processes have
// other starts.
func (n *Controller) SetWallClock(now event.Time, wall time.Time) { n.jobs.SetClock(now, wall) }

// Tick does what is due at the given time.
func (n *Controller) Tick(now event.Time, out *event.Effects) {
	n.jobs.SetNow(now)
	n.store.Tick(now, out)
	n.election.Tick(now, out)
	n.updateLeadership(now, out)
	n.sendPeerHeartbeat(now, out)
	n.expireRelays(now, out)
	n.forgetGoneMachines(now)
	n.publishVersion(now)
	n.writeReadinessAndCancellations(now)
	n.api.Tick(now, out)
	if n.election.MayAct(now) {
		n.actAsLeader(now, out)
		n.store.Tick(now, out)
	} else if !n.leadership.active {
		n.autoscaler.RefreshMachineTypes(now, nil, out)
	}
	n.answerHeartbeats(now, out)
}

// HandleCallResult takes the outcome of a call of ours.
func (n *Controller) HandleCallResult(now event.Time, done event.CallResult, out *event.Effects) {
	n.jobs.SetNow(now)
	if n.store.HandleCallResult(now, done, out) {
		n.onStoreAnswer(now, out)
		return
	}
	if n.autoscaler.HandleCallResult(now, done, out) {
		return
	}
	n.workers.HandleCallResult(done, n.election, out)
}

// onStoreAnswer acts on what an answer of the state service has changed: the
// term may have begun or ended, and writes that reports wait for may be stored.
func (n *Controller) onStoreAnswer(now event.Time, out *event.Effects) {
	n.updateLeadership(now, out)
	if n.leadership.active && n.election.MayAct(now) {
		n.actAsLeader(now, out)
		n.store.Tick(now, out)
	}
	n.answerHeartbeats(now, out)
}
