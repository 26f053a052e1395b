package controller

import (
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/peer"
	"lugward/internal/worker"
)

// forwarding is what a follower keeps to bring workers, or their heartbeats, to the
// leader.
type forwarding struct {
	routes workerRoutes
	relays pendingRelays
}

func newForwarding() forwarding {
	return forwarding{relays: newPendingRelays()}
}

// forwardToLeader brings a worker's heartbeat to the leader. A worker that the leader
// has not served is redirected first; if it comes back soon it could not reach the
// leader, and its heartbeats are relayed over the peer link. So a partition between
// two zones costs no worker its lease as long as one controller reaches both sides.
// The leader treats relayed heartbeats like any other; a late one is merely old.
func (c *Controller) forwardToLeader(now event.Time, request event.Request, heartbeat *worker.Heartbeat, out *event.Effects) {
	leaderToken := c.election.LeaderFencingToken()
	leader, leaderAlive := c.peers.aliveByLabel(c.election.Leader())
	c.forwarding.routes.beginTerm(leaderToken)
	route := c.forwarding.routes.of(heartbeat.Machine)
	wasRelaying := route.relaying()
	leftLeader := heartbeat.FencingToken != 0 && heartbeat.FencingToken == leaderToken
	switch route.next(now, leftLeader, leaderAlive) {
	case redirectToLeader:
		c.redirectToLeader(request.Conn, out)
	case relayToLeader:
		if !wasRelaying {
			c.log.Info("relaying worker heartbeats", "machine", heartbeat.Machine, "leader", c.peers.list[leader].label)
		}
		c.relay(now, request, leader, out)
	case nameNoLeader:
		out.Reply(request.Conn, httpwire.StatusMisdirectedRequest, nil)
	}
}

// relay sends a worker's heartbeat to the leader over the peer link.
func (c *Controller) relay(now event.Time, request event.Request, leader int, out *event.Effects) {
	out.SendFrame(leader, peer.Append(nil, &peer.Frame{
		Kind:  peer.Relay,
		Label: c.cfg.Label,
		ID:    c.forwarding.relays.add(request.Conn, now),
		Body:  request.Body,
	}))
}

// handleRelayAck passes the leader's answer to a relayed heartbeat on to its worker.
// An answer that comes after the relay has expired is ignored.
func (c *Controller) handleRelayAck(frame *peer.Frame, out *event.Effects) {
	if relay, ok := c.forwarding.relays.take(frame.ID); ok {
		c.respond(replyTarget{conn: relay.conn}, int(frame.Status), frame.Body, out)
	}
}

// expireRelays answers the workers whose relayed heartbeat got no answer in time.
func (c *Controller) expireRelays(now event.Time, out *event.Effects) {
	for _, relay := range c.forwarding.relays.takeExpired(now) {
		out.ReplyUnavailable(relay.conn, retryAfterSeconds)
	}
}
