package controller

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/worker"
)

const (
	// heartbeatAnswerTimeout: a worker's heartbeat is answered when its consequences
	// are stored, or after this. A write takes milliseconds; a slow one is not
	// waited for.
	heartbeatAnswerTimeout = 400 * time.Millisecond
	// idleHeartbeatAnswerTimeout is how long the heartbeat of a machine without tasks
	// waits: nothing can change there, and a start that is decided meanwhile need
	// not wait for the next heartbeat. The worker waits for 4 s.
	idleHeartbeatAnswerTimeout = 2500 * time.Millisecond
	// idleSocketDivisor: waiting heartbeats of idle machines take 1/4 of all sockets
	// at most, as other machines may need the rest.
	idleSocketDivisor = 4
)

// answerHeartbeats answers the heartbeats of workers whose consequences are stored:
// the worker can then drop what completed and start what takes its place, both with
// the same answer.
func (c *Controller) answerHeartbeats(now event.Time, out *event.Effects) {
	machines := c.heartbeats.takeToReview(c.jobs.TakeChangedMachines())
	if c.heartbeats.empty() {
		return
	}
	if !c.mayAct(now) {
		// No term, or only its grace: nothing can be stored, so nothing is waited for.
		c.answerAll(now, out)
		return
	}
	machines = c.heartbeats.appendAfterRound(machines, c.jobs.RoundRequested())
	for _, machine := range machines {
		if pending := c.heartbeats.get(machine); pending != nil {
			c.reviewHeartbeat(pending, now, out)
		}
	}
	c.answerOverdue(now, out)
	c.answerOverdueIdle(now, out)
}

// answerAll answers every heartbeat that waits.
func (c *Controller) answerAll(now event.Time, out *event.Effects) {
	for pending := range c.heartbeats.all() {
		c.answerHeartbeat(pending, now, out)
	}
	c.heartbeats.dropQueues()
}

// answerOverdue answers the heartbeats that have waited for heartbeatAnswerTimeout,
// and lets those of idle machines wait on.
func (c *Controller) answerOverdue(now event.Time, out *event.Effects) {
	for {
		pending := c.heartbeats.oldest()
		if pending == nil || now-pending.receivedAt < heartbeatAnswerTimeout {
			return
		}
		c.reviewHeartbeat(pending, now, out)
	}
}

// answerOverdueIdle answers the heartbeats of idle machines that have waited for
// idleHeartbeatAnswerTimeout, and the oldest beyond the sockets that they may take.
func (c *Controller) answerOverdueIdle(now event.Time, out *event.Effects) {
	limit := c.cfg.Settings.Resources.MaxConnections / idleSocketDivisor
	for {
		pending := c.heartbeats.oldestIdle()
		if pending == nil {
			return
		}
		inTime := now-pending.receivedAt < idleHeartbeatAnswerTimeout
		if inTime && c.heartbeats.idleCount <= limit {
			return
		}
		c.answerHeartbeat(pending, now, out)
	}
}

// reviewHeartbeat answers a heartbeat unless its answer may soon say more.
func (c *Controller) reviewHeartbeat(pending *pendingHeartbeat, now event.Time, out *event.Effects) {
	waited := now - pending.receivedAt
	if !pending.idle && waited < heartbeatAnswerTimeout && c.jobs.RoundRequested() {
		return // the next round may place something on the machine
	}
	if waited < idleHeartbeatAnswerTimeout && c.workers.Idle(pending.heartbeat) {
		c.heartbeats.markIdle(pending)
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
	c.heartbeats.markAnswered(pending)
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
