package controller

import (
	"time"

	"lugward/internal/event"
)

// isolatedAfter: a controller that has reached neither the state service nor a
// peer for this long takes itself to be cut off from the network.
const isolatedAfter = 5 * time.Second

// handleHealth answers a health probe.
func (n *Controller) handleHealth(now event.Time, r event.Request, out *event.Effects) {
	if n.healthy(now) {
		out.Reply(r.Conn, event.StatusOK, nil)
	} else {
		out.Unavailable(r.Conn, retryAfterSeconds)
	}
}

// healthy tells whether users should be sent to this controller. One that is
// refused by the state service while a peer is served is not healthy, nor is
// one that is cut off: users' connections stay where they are while a node is
// healthy, so they would learn nothing about their jobs. In an outage that all
// controllers share they stay healthy, and service resumes at once after it.
func (n *Controller) healthy(now event.Time) bool {
	if !n.store.Synced() {
		return false
	}
	withoutState := now - n.store.LastContact()
	if !n.store.Unavailable() || withoutState <= peerHeartbeatTimeout {
		return true
	}
	anyAlive := false
	for _, p := range n.peers {
		if !n.isAlive(p) {
			continue
		}
		anyAlive = true
		if p.heartbeat.StateOK {
			return false
		}
	}
	isolated := len(n.peers) > 0 && !anyAlive && withoutState > isolatedAfter
	return !isolated
}
