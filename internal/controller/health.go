package controller

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// isolationTimeout is how long a controller must have reached neither the state service
// nor a peer before it considers itself isolated from the network.
const isolationTimeout = 5 * time.Second

// stateService is the state service's status that isHealthy needs.
type stateService interface {
	// Synced reports whether the watch cache is complete.
	Synced() bool
	// Unavailable reports whether the service was unavailable for the last request.
	Unavailable() bool
	// LastContact returns the time at which the last request that the service executed
	// was sent.
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

// isHealthy reports whether user requests should be routed to this controller. A
// controller is unhealthy if its requests to the state service fail while those of a
// peer succeed, or if it is isolated. Users stay connected to a controller as long as it
// is healthy, so if it stayed healthy in these cases, they would get no information about
// their jobs. In an outage that affects all controllers they stay healthy, so that
// service resumes immediately after it.
func isHealthy(now event.Time, state stateService, peers *peerTable) bool {
	if !state.Synced() {
		return false
	}
	sinceContact := now - state.LastContact()
	if !state.Unavailable() || sinceContact <= peerHeartbeatTimeout {
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
	isolated := len(peers.list) > 0 && !anyAlive && sinceContact > isolationTimeout
	return !isolated
}
