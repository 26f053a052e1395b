package controller

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/peer"
)

// SetWallClock sets the wall-clock time that corresponds to a monotonic time. Persisted
// times are wall-clock times, because the monotonic clocks of different processes do
// not have the same origin.
func (c *Controller) SetWallClock(now event.Time, wall time.Time) { c.jobs.SetClock(now, wall) }

// Tick runs the work that is due at the given time.
func (c *Controller) Tick(now event.Time, out *event.Effects) {
	c.jobs.SetNow(now)
	c.store.Tick(now, out)
	c.election.Tick(now, out)
	c.updateLeadership(now, out)
	c.sendPeerHeartbeat(now, out)
	c.expireRelays(now, out)
	c.sweepMachines(now)
	c.version.tick(now, c.store, c.election.Leader() != "")
	c.writeReadinessAndCancellations(now)
	c.api.Tick(now, out)
	if !c.runLeaderWork(now, out) && !c.leadership.active {
		c.autoscaler.RefreshMachineTypesIfDue(now, out)
	}
	c.answerHeartbeats(now, out)
}

// HandleRequest handles an HTTP request. Each request gets exactly one reply, either
// immediately or in the effects of a later input.
func (c *Controller) HandleRequest(now event.Time, request event.Request, out *event.Effects) {
	switch {
	case request.Path == pathHealth:
		c.handleHealth(now, request, out)
	case request.Path == pathWorkerHeartbeat:
		c.handleWorkerHeartbeat(now, request, out)
	case c.api.Handle(now, request, out):
		c.store.Tick(now, out)
	default:
		out.Reply(request.Conn, httpwire.StatusNotFound, nil)
	}
}

// HandleCallResult handles the result of a call that this controller made.
func (c *Controller) HandleCallResult(now event.Time, result event.CallResult, out *event.Effects) {
	c.jobs.SetNow(now)
	switch {
	case c.store.HandleCallResult(now, result, out):
		c.handleStateResponse(now, out)
	case c.autoscaler.HandleCallResult(now, result):
	default:
		c.workers.HandleCallResult(result, c.election, out)
	}
}

// handleStateResponse runs the work that a response of the state service may have
// enabled: a term may have begun or ended, and writes that the responses to heartbeats
// wait for may have been committed.
func (c *Controller) handleStateResponse(now event.Time, out *event.Effects) {
	c.updateLeadership(now, out)
	c.runLeaderWork(now, out)
	c.announceViewIfNeeded(now, out)
	c.answerHeartbeats(now, out)
}

// HandleFrame handles a frame from another controller. It ignores malformed frames and
// frames from unknown controllers.
func (c *Controller) HandleFrame(now event.Time, in event.PeerFrame, out *event.Effects) {
	frame, err := peer.Decode(in.Data)
	if err != nil {
		c.log.Debug("ignoring malformed peer frame", "error", err)
		return
	}
	for i, p := range c.peers.list {
		if p.label == frame.Label {
			c.handleFrame(now, i, &frame, out)
		}
	}
}

// handleFrame routes a peer's frame by its kind. from is the index of the peer.
func (c *Controller) handleFrame(now event.Time, from int, frame *peer.Frame, out *event.Effects) {
	switch frame.Kind {
	case peer.Heartbeat:
		c.handlePeerHeartbeat(now, from, frame)
	case peer.Relay:
		c.handleRelayedHeartbeat(now, from, frame, out)
	case peer.RelayAck:
		c.handleRelayAck(frame, out)
	case peer.View:
		c.handleLeaderView(now, frame, out)
	}
}
