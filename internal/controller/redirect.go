package controller

import (
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/worker"
)

// redirectToRelayingPeer sends a worker that the leader has no socket for to another
// controller, which sees by the fencing token that the leader has served it and relays
// its heartbeats: so the sockets of all controllers carry workers, where else the
// worker would have to dial the leader anew for each heartbeat. One that is back soon
// is served here, as that controller does not reach us or has ended. It reports whether
// the worker was sent away; what its heartbeat says comes again with the next one.
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
	label, ok := c.peers.relayFor(heartbeat.Machine)
	if !ok {
		return false
	}
	machine.NoteRedirect(now)
	c.redirectTo(label, request.Conn, out)
	return true
}

// redirectToLeader tells a worker which controller leads, if that is known.
func (c *Controller) redirectToLeader(conn uint64, out *event.Effects) {
	leader := c.election.Leader()
	if leader == "" || leader == c.cfg.Label {
		out.Reply(conn, httpwire.StatusMisdirectedRequest, nil)
		return
	}
	c.redirectTo(leader, conn, out)
}

// redirectTo tells a worker which controller to send its heartbeats to.
func (c *Controller) redirectTo(label string, conn uint64, out *event.Effects) {
	out.Reply(conn, httpwire.StatusMisdirectedRequest, c.encode(redirectResponse{Controller: label}))
}
