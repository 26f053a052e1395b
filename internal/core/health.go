package core

import (
	"time"

	"lugward/internal/event"
)

const (
	// A controller that has neither the state service nor a peer for this long
	// is the one that is cut off.
	isolatedAfter = 5 * time.Second
)

// handleHealth: a node that alone is refused by the state service, or that hears
// nobody any more, sends users to the others; in an outage that all share,
// staying healthy lets the service resume at once.
func (n *Node) handleHealth(now event.Time, r event.Request, out *event.Effects) {
	ok := n.store.Synced()
	if without := now - n.store.Contact(); ok && n.store.Outage() && without > heartbeatTimeout {
		// Users' connections stay where they are while the node is healthy: for
		// as long as it is cut off nobody would tell them about their jobs.
		isolated := len(n.peers) > 0 && without > isolatedAfter
		for _, p := range n.peers {
			if n.alive(p) {
				isolated = false
				ok = ok && !p.heartbeat.StateOK
			}
		}
		ok = ok && !isolated
	}
	if ok {
		out.Reply(r.Conn, 200, nil)
	} else {
		out.Busy(r.Conn, 1)
	}
}
