package simtest

import "lugward/internal/peer"

// relayKey identifies a relayed heartbeat as the leader's response names it.
type relayKey struct {
	controller string
	id         uint64
}

// relayIDs holds the IDs under which controllers have relayed heartbeats.
type relayIDs struct {
	used   map[relayKey]bool
	reused map[string]bool // controllers of which a reused ID was reported
}

func newRelayIDs() relayIDs {
	return relayIDs{used: map[relayKey]bool{}, reused: map[string]bool{}}
}

// checkRelayID checks that a controller relays no two heartbeats under the same ID, not even
// before and after a restart: the leader's response to one would be taken for the response to
// the other. It reports one ID of each controller.
func (checker *Checker) checkRelayID(sender string, data []byte) {
	frame, err := peer.Decode(data)
	if err != nil || frame.Kind != peer.Relay {
		return
	}
	key := relayKey{sender, frame.ID}
	if checker.relayIDs.used[key] && !checker.relayIDs.reused[sender] {
		checker.relayIDs.reused[sender] = true
		checker.reportViolation("ID of relayed heartbeat used twice: controller %s relays a heartbeat under ID %d, which it has used before", sender, frame.ID)
	}
	checker.relayIDs.used[key] = true
}
