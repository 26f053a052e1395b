package controller

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
)

// relayTimeout is how long a controller waits for the leader's response to a relayed
// heartbeat.
const relayTimeout = 3 * time.Second

// pendingRelays holds the heartbeats of workers that this controller has relayed to the
// leader and that the leader has not answered yet.
type pendingRelays struct {
	byID map[uint64]pendingRelay
}

// pendingRelay is a relayed heartbeat that the leader has not answered yet.
type pendingRelay struct {
	machine   string     // machine of the worker
	conn      uint64     // ID of the worker's connection
	relayedAt event.Time // when the heartbeat was relayed
}

func newPendingRelays() pendingRelays {
	return pendingRelays{byID: map[uint64]pendingRelay{}}
}

// add records a relayed heartbeat under its ID, which relayIDs has assigned.
func (p *pendingRelays) add(id uint64, relay pendingRelay) { p.byID[id] = relay }

// remove removes an answered relay and returns it. ok is false if it has expired.
func (p *pendingRelays) remove(id uint64) (relay pendingRelay, ok bool) {
	relay, ok = p.byID[id]
	delete(p.byID, id)
	return relay, ok
}

// drainExpired removes the relays that were not answered within relayTimeout and returns
// them, oldest first.
func (p *pendingRelays) drainExpired(now event.Time) (expired []pendingRelay) {
	for _, id := range slices.Sorted(maps.Keys(p.byID)) {
		if relay := p.byID[id]; now-relay.relayedAt > relayTimeout {
			delete(p.byID, id)
			expired = append(expired, relay)
		}
	}
	return expired
}
