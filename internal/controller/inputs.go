package controller

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/peer"
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
	c.version.tick(now, c.store, c.election.Leader() != "")
	c.writeReadinessAndCancellations(now)
	c.api.Tick(now, out)
	if !c.actAsLeader(now, out) && !c.leadership.active {
		c.autoscaler.RefreshMachineTypes(now, out)
	}
	c.answerHeartbeats(now, out)
}

// HandleRequest takes an HTTP request. It is answered once, at once or later.
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

// HandleCallResult takes the outcome of a call of ours.
func (c *Controller) HandleCallResult(now event.Time, result event.CallResult, out *event.Effects) {
	c.jobs.SetNow(now)
	switch {
	case c.store.HandleCallResult(now, result, out):
		c.handleStateChange(now, out)
	case c.autoscaler.HandleCallResult(now, result):
	default:
		c.workers.HandleCallResult(result, c.election, out)
	}
}

// handleStateChange acts on what an answer of the state service has changed: the term
// may have begun or ended, and writes that heartbeats wait for may be stored.
func (c *Controller) handleStateChange(now event.Time, out *event.Effects) {
	c.updateLeadership(now, out)
	c.actAsLeader(now, out)
	c.answerHeartbeats(now, out)
}

// HandleFrame takes a frame from another controller. Frames of unknown controllers
// are ignored.
func (c *Controller) HandleFrame(now event.Time, in event.PeerFrame, out *event.Effects) {
	frame, err := peer.Decode(in.Data)
	if err != nil {
		c.log.Debug("peer frame ignored", "error", err)
		return
	}
	for i, p := range c.peers.list {
		if p.label == frame.Label {
			c.handleFrame(now, i, &frame, out)
		}
	}
}

// handleFrame routes the frame of a peer by its kind.
func (c *Controller) handleFrame(now event.Time, from int, frame *peer.Frame, out *event.Effects) {
	switch frame.Kind {
	case peer.Heartbeat:
		c.handlePeerHeartbeat(now, from, frame)
	case peer.Relay:
		c.handleRelayedHeartbeat(now, from, frame, out)
	case peer.RelayAck:
		c.handleRelayAck(frame, out)
	}
}
