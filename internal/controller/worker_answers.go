package controller

import (
	"lugward/internal/election"
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/worker"
)

// answerHeartbeats answers the pending heartbeats whose resulting changes have been
// persisted. A single response can then tell the worker to forget tasks that have exited
// and to start the tasks that replace them.
func (c *Controller) answerHeartbeats(now event.Time, out *event.Effects) {
	machines := c.heartbeats.pending.drainToCheck(c.jobs.DrainChangedMachines())
	if c.heartbeats.pending.empty() {
		return
	}
	if !c.mayActAsLeader(now) {
		// Without a term, or in its grace period, no changes can be persisted, so the
		// responses need not wait for any.
		c.answerAll(now, out)
		return
	}
	machines = c.heartbeats.pending.appendAfterRound(machines, c.jobs.RoundRequested())
	if c.election.MayStartTasks(now) {
		machines = append(machines, c.heartbeats.pending.drainAwaitingView()...)
	}
	for _, machine := range machines {
		if pending := c.heartbeats.pending.get(machine); pending != nil {
			c.answerIfReady(pending, now, out)
		}
	}
	c.answerOverdue(now, out)
	if len(c.heartbeats.pending.awaitingView) > 0 {
		c.store.Tick(now, out) // sends the refresh that these heartbeats wait for
	}
}

// answerAll answers all pending heartbeats.
func (c *Controller) answerAll(now event.Time, out *event.Effects) {
	for pending := range c.heartbeats.pending.all() {
		c.answerHeartbeat(pending, now, out)
	}
	c.heartbeats.pending.clearQueues()
}

// answerOverdue answers the heartbeats whose timeout has passed. A heartbeat whose response may
// soon start a task is not answered yet: its timeout becomes extendedResponseTimeout.
func (c *Controller) answerOverdue(now event.Time, out *event.Effects) {
	pending := &c.heartbeats.pending
	for overdue := pending.nextOverdue(now); overdue != nil; overdue = pending.nextOverdue(now) {
		c.answerIfReady(overdue, now, out)
	}
	for overdue := pending.nextOverdueExtended(now); overdue != nil; overdue = pending.nextOverdueExtended(now) {
		c.answerHeartbeat(overdue, now, out)
	}
}

// answerIfReady answers a heartbeat unless its response may soon contain more commands.
func (c *Controller) answerIfReady(pending *pendingHeartbeat, now event.Time, out *event.Effects) {
	waited := now - pending.receivedAt
	if !pending.extended && waited < heartbeatResponseTimeout && c.jobs.RoundRequested() {
		return // the next round may place tasks on the machine
	}
	if waited < extendedResponseTimeout && c.workers.Idle(pending.heartbeat) {
		c.heartbeats.pending.extend(pending)
		return
	}
	if waited < heartbeatResponseTimeout && !c.workers.AllPersisted(pending.machine) {
		return // changes to the machine's assignments are not persisted yet
	}
	if waited < extendedResponseTimeout && !c.election.MayStartTasks(now) && c.workers.AwaitsStart(pending.heartbeat) {
		c.heartbeats.pending.awaitView(pending)
		c.store.Refresh(election.MaxStartViewAge)
		return
	}
	c.answerHeartbeat(pending, now, out)
}

// answerHeartbeat answers a heartbeat with the commands for its machine. It replies with
// 503 if this controller may no longer answer as leader or the machine was released.
func (c *Controller) answerHeartbeat(pending *pendingHeartbeat, now event.Time, out *event.Effects) {
	c.heartbeats.pending.markAnswered(pending)
	if !c.mayAnswerWorkers(now) || c.autoscaler.Released(pending.heartbeat.Machine) {
		c.respond(pending.replyTo, httpwire.StatusServiceUnavailable, nil, out)
		return
	}
	commands := c.workers.Commands(pending.heartbeat, now, c.election)
	if commands == nil {
		commands = []worker.Command{} // the protocol requires a list, not null
	}
	c.logStarts(pending, commands, now)
	body := c.encode(heartbeatResponse{FencingToken: c.election.FencingToken(), Commands: commands})
	c.respond(pending.replyTo, httpwire.StatusOK, body, out)
}

// logStarts logs the start commands of a response with the age of the data on which they were
// decided, and the time for which the leader's lease is still guaranteed to be valid.
func (c *Controller) logStarts(pending *pendingHeartbeat, commands []worker.Command, now event.Time) {
	starts := 0
	for i := range commands {
		if commands[i].IsStart() {
			starts++
		}
	}
	if starts > 0 {
		c.log.Debug("starting tasks", "machine", pending.heartbeat.Machine, "tasks", starts, "relayed", pending.replyTo.relayed(),
			"waited", now-pending.receivedAt, "view_age", now-c.store.FreshUntil(), "lease_left", c.election.LeaseLeft(now))
	}
}
