package controller

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// isolatedAfter: a controller that has reached neither the state service nor a
// peer for this long takes itself to be cut off from the network.
const isolatedAfter = 5 * time.Second

// handleHealth answers a health probe.
func (c *Controller) handleHealth(now event.Time, r event.Request, out *event.Effects) {
	if c.healthy(now) {
		out.Reply(r.Conn, httpwire.StatusOK, nil)
	} else {
		out.ReplyUnavailable(r.Conn, retryAfterSeconds)
	}
}

// healthy tells whether users should be sent to this controller. One that is
// refused by the state service while a peer is served is not healthy, nor is
// one that is cut off: users' connections stay where they are while a node is
// healthy, so they would learn nothing about their jobs. In an outage that all
// controllers share they stay healthy, and service resumes at once after it.
func (c *Controller) healthy(now event.Time) bool {
	if !c.store.Synced() {
		return false
	}
	withoutState := now - c.store.LastContact()
	if !c.store.Unavailable() || withoutState <= peerHeartbeatTimeout {
		return true
	}
	anyAlive := false
	for _, p := range c.peers {
		if !c.isAlive(p) {
			continue
		}
		anyAlive = true
		if p.heartbeat.StateOK {
			return false
		}
	}
	isolated := len(c.peers) > 0 && !anyAlive && withoutState > isolatedAfter
	return !isolated
}
