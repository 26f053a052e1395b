package controller

import (
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/worker"
)

// redirectToRelayingPeer redirects a worker to another controller if the leader has no
// socket left for it. The other controller sees from the fencing token that the leader
// has served the worker, and relays its heartbeats. This uses the sockets of all
// controllers; otherwise the worker would have to open a new connection to the leader
// for each heartbeat. A worker that returns within redirectWindow is served by the
// leader, because the other controller cannot reach the leader or has terminated.
//
// It reports whether the worker was redirected. The heartbeat is then dropped, since the
// next one repeats its content.
func (c *Controller) redirectToRelayingPeer(now event.Time, request event.Request, heartbeat *worker.Heartbeat, out *event.Effects) bool {
	if !request.ConnectionLimitReached || heartbeat.FencingToken != c.election.FencingToken() {
		return false
	}
	machine := c.workers.Lookup(heartbeat.Machine)
	if machine == nil {
		return false
	}
	if machine.RedirectedAt() != 0 && now-machine.RedirectedAt() < redirectWindow {
		return false
	}
	label, ok := c.peers.relayingPeerFor(heartbeat.Machine)
	if !ok {
		return false
	}
	machine.RecordRedirect(now)
	c.redirectTo(label, request.Conn, out)
	return true
}

// redirectToLeader redirects a worker to the leader, or replies without naming a
// controller if no other controller is known to lead.
func (c *Controller) redirectToLeader(conn uint64, out *event.Effects) {
	leader := c.election.Leader()
	if leader == "" || leader == c.cfg.Label {
		out.Reply(conn, httpwire.StatusMisdirectedRequest, nil)
		return
	}
	c.redirectTo(leader, conn, out)
}

// redirectTo redirects a worker to the controller with the given label.
func (c *Controller) redirectTo(label string, conn uint64, out *event.Effects) {
	out.Reply(conn, httpwire.StatusMisdirectedRequest, c.encode(redirectResponse{Controller: label}))
}
