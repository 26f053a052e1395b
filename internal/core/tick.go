package core

import (
	"time"

	"lugward/internal/event"
)

// Clock tells the time of day at a steady time: other processes count what is
// stored from another start.
func (n *Node) Clock(now event.Time, wall time.Time) { n.jobs.SetClock(now, wall) }

// Tick advances time.
func (n *Node) Tick(now event.Time, out *event.Effects) {
	n.jobs.Now = int64(now)
	n.store.Tick(now, out)
	n.election.Tick(now, out)
	n.updateLeadership(now, out)
	n.sendHeartbeat(now, out)
	n.expireRelays(now, out)
	n.publishVersion(now)
	n.markJobs(now)
	n.api.Tick(now, out)
	if !n.election.MayStart(now) {
		if !n.leading {
			n.autoscaler.Types(now, nil, out)
		}
		n.answer(now, out)
		return
	}
	n.actAsLeader(now, out)
	n.store.Tick(now, out)
	n.answer(now, out)
}

// CallDone takes the outcome of a call of ours.
func (n *Node) CallDone(now event.Time, d event.CallDone, out *event.Effects) {
	n.jobs.Now = int64(now)
	if n.store.CallDone(now, d, out) {
		n.updateLeadership(now, out)
		if n.leading && n.election.MayStart(now) {
			n.actAsLeader(now, out)
			n.store.Tick(now, out)
		}
		n.answer(now, out)
		return
	}
	if n.autoscaler.CallDone(now, d, out) || n.workers.CallDone(d, n.election, out) {
		return
	}
}
