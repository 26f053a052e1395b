package core

import (
	"time"

	"lugward/internal/event"
)

// Clock sets the time of day that belongs to a time of the steady clock.
// Stored times are times of day, since steady clocks of other processes have
// other starts.
func (n *Node) Clock(now event.Time, wall time.Time) { n.jobs.SetClock(now, wall) }

// Tick does what is due at the given time.
func (n *Node) Tick(now event.Time, out *event.Effects) {
	n.jobs.Now = int64(now)
	n.store.Tick(now, out)
	n.election.Tick(now, out)
	n.updateLeadership(now, out)
	n.sendHeartbeat(now, out)
	n.expireRelays(now, out)
	n.forgetGoneMachines(now)
	n.publishVersion(now)
	n.markJobs(now)
	n.api.Tick(now, out)
	if n.election.MayStart(now) {
		n.actAsLeader(now, out)
		n.store.Tick(now, out)
	} else if !n.leadership.active {
		n.autoscaler.Types(now, nil, out)
	}
	n.answerReports(now, out)
}

// CallDone takes the outcome of a call of ours.
func (n *Node) CallDone(now event.Time, done event.CallDone, out *event.Effects) {
	n.jobs.Now = int64(now)
	if n.store.CallDone(now, done, out) {
		n.onStoreAnswer(now, out)
		return
	}
	if n.autoscaler.CallDone(now, done, out) {
		return
	}
	n.workers.CallDone(done, n.election, out)
}

// onStoreAnswer acts on what an answer of the state service has changed: the
// term may have begun or ended, and writes that reports wait for may be stored.
func (n *Node) onStoreAnswer(now event.Time, out *event.Effects) {
	n.updateLeadership(now, out)
	if n.leadership.active && n.election.MayStart(now) {
		n.actAsLeader(now, out)
		n.store.Tick(now, out)
	}
	n.answerReports(now, out)
}
