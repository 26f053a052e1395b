package controller

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/peer"
	"lugward/internal/worker"
)

// relayTimeout is how long the leader may take to answer a relayed heartbeat.
const relayTimeout = 3 * time.Second

// pendingRelays are the workers' heartbeats that we have relayed to the leader and
// that it has not answered yet.
type pendingRelays struct {
	byID   map[uint64]pendingRelay
	lastID uint64 // numbers start at 1
}

// pendingRelay is a relayed heartbeat that the leader has not answered yet.
type pendingRelay struct {
	conn  uint64 // of the worker
	since event.Time
}

func newPendingRelays() pendingRelays {
	return pendingRelays{byID: map[uint64]pendingRelay{}}
}

// add notes a heartbeat that is being relayed and returns its number.
func (p *pendingRelays) add(conn uint64, now event.Time) (id uint64) {
	p.lastID++
	p.byID[p.lastID] = pendingRelay{conn: conn, since: now}
	return p.lastID
}

// take removes a relay that was answered. ok is false if it has expired.
func (p *pendingRelays) take(id uint64) (relay pendingRelay, ok bool) {
	relay, ok = p.byID[id]
	delete(p.byID, id)
	return relay, ok
}

// takeExpired removes the relays that got no answer in time and returns them, oldest
// first.
func (p *pendingRelays) takeExpired(now event.Time) (expired []pendingRelay) {
	for _, id := range slices.Sorted(maps.Keys(p.byID)) {
		if relay := p.byID[id]; now-relay.since > relayTimeout {
			delete(p.byID, id)
			expired = append(expired, relay)
		}
	}
	return expired
}

// forwardToLeader brings a worker's heartbeat to the leader. A worker that the leader
// has not served is redirected first; if it comes back soon it could not reach the
// leader, and its heartbeats are relayed over the peer link. So a partition between
// two zones costs no worker its lease as long as one controller reaches both sides.
// The leader treats relayed heartbeats like any other; a late one is merely old.
func (c *Controller) forwardToLeader(now event.Time, request event.Request, heartbeat *worker.Heartbeat, out *event.Effects) {
	leaderToken := c.election.LeaderFencingToken()
	leader, leaderAlive := c.peers.aliveByLabel(c.election.Leader())
	c.routes.beginTerm(leaderToken)
	route := c.routes.of(heartbeat.Machine)
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
		ID:    c.relays.add(request.Conn, now),
		Body:  request.Body,
	}))
}

// handleRelayAck passes the leader's answer to a relayed heartbeat on to its worker.
// An answer that comes after the relay has expired is ignored.
func (c *Controller) handleRelayAck(frame *peer.Frame, out *event.Effects) {
	if relay, ok := c.relays.take(frame.ID); ok {
		c.respond(replyTarget{conn: relay.conn}, int(frame.Status), frame.Body, out)
	}
}

// expireRelays answers the workers whose relayed heartbeat got no answer in time.
func (c *Controller) expireRelays(now event.Time, out *event.Effects) {
	for _, relay := range c.relays.takeExpired(now) {
		out.ReplyUnavailable(relay.conn, retryAfterSeconds)
	}
}
