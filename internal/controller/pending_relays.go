package controller

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
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
