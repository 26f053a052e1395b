package controller

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/peer"
	"lugward/internal/worker"
)

// forwarding is the state that a follower keeps to redirect workers to the leader and to
// relay their heartbeats.
type forwarding struct {
	routes workerRoutes
	ids    relayIDs
	relays pendingRelays
}

// newForwarding returns the state of a process that has just started. clockSkew is the
// greatest difference between the time of day and true time.
func newForwarding(clockSkew time.Duration) forwarding {
	return forwarding{ids: newRelayIDs(clockSkew), relays: newPendingRelays()}
}

// forwardToLeader redirects a worker to the leader or relays its heartbeat to the
// leader. A worker that the leader has not served is redirected first. If it returns
// soon, it could not reach the leader, and its heartbeats are relayed over the peer
// link. Thus no worker loses its lease in a partition between two zones as long as one
// controller reaches both sides. The leader handles relayed heartbeats like direct ones.
// A relayed heartbeat that arrives late does no harm: it is handled like any outdated
// heartbeat. A process that has just started relays nothing, see relayIDs.
func (c *Controller) forwardToLeader(now event.Time, request event.Request, heartbeat *worker.Heartbeat, out *event.Effects) {
	leaderToken := c.election.LeaderFencingToken()
	leader, leaderAlive := c.peers.aliveByLabel(c.election.Leader())
	c.forwarding.routes.beginTerm(leaderToken)
	route := c.forwarding.routes.getOrCreate(heartbeat.Machine)
	wasRelaying := route.relaying()
	servedByLeader := heartbeat.FencingToken != 0 && heartbeat.FencingToken == leaderToken
	mayRelay := leaderAlive && c.forwarding.ids.available(now)
	switch route.nextAction(now, servedByLeader, mayRelay) {
	case redirectToLeader:
		c.redirectToLeader(request.Conn, out)
	case relayToLeader:
		if !wasRelaying {
			c.log.Info("relaying heartbeats of worker to leader", "machine", heartbeat.Machine, "leader", c.peers.list[leader].label)
		}
		c.relayHeartbeat(now, request, heartbeat.Machine, leader, out)
	case replyWithoutLeader:
		out.Reply(request.Conn, httpwire.StatusMisdirectedRequest, nil)
	}
}

// relayHeartbeat sends the heartbeat of a machine's worker to the leader over the peer link.
func (c *Controller) relayHeartbeat(now event.Time, request event.Request, machine string, leader int, out *event.Effects) {
	id := c.forwarding.ids.next(c.jobs.UnixNano(now))
	c.forwarding.relays.add(id, pendingRelay{machine: machine, conn: request.Conn, relayedAt: now})
	c.log.Debug("relayed heartbeat", "relay", id, "machine", machine, "leader", c.peers.list[leader].label)
	out.SendFrame(leader, peer.Append(nil, &peer.Frame{
		Kind:  peer.Relay,
		Label: c.cfg.Label,
		ID:    id,
		Body:  request.Body,
	}))
}

// handleRelayAck sends the leader's response to a relayed heartbeat to the worker. It
// ignores a response that arrives after the relay has expired, a repeated response, and a
// response to a relay of an earlier process of this controller.
func (c *Controller) handleRelayAck(frame *peer.Frame, out *event.Effects) {
	relay, ok := c.forwarding.relays.remove(frame.ID)
	if !ok {
		c.log.Debug("ignoring response to unknown relay", "relay", frame.ID, "leader", frame.Label, "status", frame.Status)
		return
	}
	c.log.Debug("forwarding response to relayed heartbeat",
		"relay", frame.ID, "machine", relay.machine, "leader", frame.Label, "status", frame.Status, "bytes", len(frame.Body))
	c.respond(replyTarget{conn: relay.conn}, int(frame.Status), frame.Body, out)
}

// expireRelays replies with 503 to the workers whose relayed heartbeats the leader has
// not answered within relayTimeout.
func (c *Controller) expireRelays(now event.Time, out *event.Effects) {
	for _, relay := range c.forwarding.relays.drainExpired(now) {
		out.ReplyUnavailable(relay.conn, retryAfterSeconds)
	}
}
