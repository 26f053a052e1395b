package controller

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// isolatedAfter: a controller that has reached neither the state service nor a
// peer for this long takes itself to be cut off from the network.
const isolatedAfter = 5 * time.Second

// stateService is what the verdict on our health needs to know of the state service.
type stateService interface {
	// Synced reports whether the watch cache is complete.
	Synced() bool
	// Unavailable reports whether the last request found the service unavailable.
	Unavailable() bool
	// LastContact is when the last request that the service executed was sent.
	LastContact() event.Time
}

// handleHealth answers a health probe.
func (c *Controller) handleHealth(now event.Time, request event.Request, out *event.Effects) {
	if isHealthy(now, c.store, &c.peers) {
		out.Reply(request.Conn, httpwire.StatusOK, nil)
	} else {
		out.ReplyUnavailable(request.Conn, retryAfterSeconds)
	}
}

// isHealthy reports whether users should be sent to this controller. One that is
// refused by the state service while a peer is served is not healthy, nor is one that
// is cut off: users' connections stay where they are while a controller is healthy, so
// they would learn nothing about their jobs. In an outage that all controllers share
// they stay healthy, and service resumes at once after it.
func isHealthy(now event.Time, state stateService, peers *peerTable) bool {
	if !state.Synced() {
		return false
	}
	withoutState := now - state.LastContact()
	if !state.Unavailable() || withoutState <= peerHeartbeatTimeout {
		return true
	}
	anyAlive := false
	for _, p := range peers.list {
		if !peers.isAlive(p) {
			continue
		}
		anyAlive = true
		if p.heartbeat.StateOK {
			return false
		}
	}
	isolated := len(peers.list) > 0 && !anyAlive && withoutState > isolatedAfter
	return !isolated
}
