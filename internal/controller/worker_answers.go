package controller

import (
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/worker"
)

// answerHeartbeats answers the heartbeats of workers whose consequences are stored:
// the worker can then drop what completed and start what takes its place, both with
// the same answer.
func (c *Controller) answerHeartbeats(now event.Time, out *event.Effects) {
	machines := c.heartbeats.pending.takeToReview(c.jobs.TakeChangedMachines())
	if c.heartbeats.pending.empty() {
		return
	}
	if !c.mayAct(now) {
		// No term, or only its grace: nothing can be stored, so nothing is waited for.
		c.answerAll(now, out)
		return
	}
	machines = c.heartbeats.pending.appendAfterRound(machines, c.jobs.RoundRequested())
	for _, machine := range machines {
		if pending := c.heartbeats.pending.get(machine); pending != nil {
			c.reviewHeartbeat(pending, now, out)
		}
	}
	c.answerOverdue(now, out)
}

// answerAll answers every heartbeat that waits.
func (c *Controller) answerAll(now event.Time, out *event.Effects) {
	for pending := range c.heartbeats.pending.all() {
		c.answerHeartbeat(pending, now, out)
	}
	c.heartbeats.pending.dropQueues()
}

// answerOverdue answers the heartbeats that have waited for long enough; those of
// machines that turn out to be idle wait on.
func (c *Controller) answerOverdue(now event.Time, out *event.Effects) {
	waiting := &c.heartbeats.pending
	for overdue := waiting.nextOverdue(now); overdue != nil; overdue = waiting.nextOverdue(now) {
		c.reviewHeartbeat(overdue, now, out)
	}
	for overdue := waiting.nextOverdueIdle(now); overdue != nil; overdue = waiting.nextOverdueIdle(now) {
		c.answerHeartbeat(overdue, now, out)
	}
}

// reviewHeartbeat answers a heartbeat unless its answer may soon say more.
func (c *Controller) reviewHeartbeat(pending *pendingHeartbeat, now event.Time, out *event.Effects) {
	waited := now - pending.receivedAt
	if !pending.idle && waited < heartbeatAnswerTimeout && c.jobs.RoundRequested() {
		return // the next round may place something on the machine
	}
	if waited < idleHeartbeatAnswerTimeout && c.workers.Idle(pending.heartbeat) {
		c.heartbeats.pending.markIdle(pending)
		return
	}
	if waited < heartbeatAnswerTimeout && !c.workers.AllStored(pending.machine) {
		return // changes of the machine's assignments are not stored yet
	}
	c.answerHeartbeat(pending, now, out)
}

// answerHeartbeat answers a heartbeat with the commands for its machine, or refuses
// it if we may not answer as leader any more.
func (c *Controller) answerHeartbeat(pending *pendingHeartbeat, now event.Time, out *event.Effects) {
	c.heartbeats.pending.markAnswered(pending)
	if !c.mayAnswerWorkers(now) || c.autoscaler.Released(pending.heartbeat.Machine) {
		c.respond(pending.replyTo, httpwire.StatusServiceUnavailable, nil, out)
		return
	}
	commands := c.workers.Commands(pending.heartbeat, now, c.election)
	if commands == nil {
		commands = []worker.Command{} // the protocol has a list, never null
	}
	body := c.encode(heartbeatResponse{FencingToken: c.election.FencingToken(), Commands: commands})
	c.respond(pending.replyTo, httpwire.StatusOK, body, out)
}
