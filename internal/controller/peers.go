package controller

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/peer"
)

const (
	peerHeartbeatInterval = 500 * time.Millisecond
	// peerHeartbeatTimeout is the time without a heartbeat after which a peer is no
	// longer considered alive.
	peerHeartbeatTimeout = 2 * time.Second
	// neverReceived is the initial receivedAt of a peer that has not sent a heartbeat.
	neverReceived = -time.Hour
)

// peerTable holds the state of the other controllers, as seen by this controller.
type peerTable struct {
	list            []*peerState // in the order of the engine's list of peers
	heartbeatSentAt event.Time   // when this controller last sent a heartbeat to all peers
}

// peerState is the state of another controller, as seen by this controller.
type peerState struct {
	label      string
	receivedAt event.Time // arrival of its last heartbeat
	heartbeat  peer.Frame // its last heartbeat; valid only while the peer is alive
}

func newPeerTable(seeds []config.Seed) peerTable {
	var table peerTable
	for _, seed := range seeds {
		table.list = append(table.list, &peerState{label: seed.Label, receivedAt: neverReceived})
	}
	return table
}

// sortedLabels returns the sorted labels of all controllers, including this one.
func sortedLabels(cfg *config.Platform) []string {
	labels := make([]string, 0, len(cfg.Seeds)+1)
	labels = append(labels, cfg.Label)
	for _, seed := range cfg.Seeds {
		labels = append(labels, seed.Label)
	}
	slices.Sort(labels)
	return labels
}

// isAlive reports whether a peer's heartbeats arrive. Their age is measured at the time
// at which this controller last sent a heartbeat, not now: if this controller was
// suspended, peers do not appear dead because of it.
func (t *peerTable) isAlive(p *peerState) bool {
	return t.heartbeatSentAt-p.receivedAt < peerHeartbeatTimeout
}

// aliveByLabel returns the index of the peer with the given label. ok is false if there
// is no such peer or it is not alive.
func (t *peerTable) aliveByLabel(label string) (index int, ok bool) {
	for i, p := range t.list {
		if p.label == label && t.isAlive(p) {
			index, ok = i, true
		}
	}
	return index, ok
}

// reachesState reports whether the peer with the given label is alive and reports that
// it reaches the state service.
func (t *peerTable) reachesState(label string) bool {
	for _, p := range t.list {
		if p.label == label {
			return t.isAlive(p) && p.heartbeat.StateOK
		}
	}
	return false
}

// relayingPeerFor selects the peer that relays the heartbeats of a machine. It chooses
// among the peers that are alive by a hash of the machine's name, which spreads the
// machines evenly. ok is false if no peer is alive.
func (t *peerTable) relayingPeerFor(machine string) (label string, ok bool) {
	var labels []string
	for _, p := range t.list {
		if t.isAlive(p) {
			labels = append(labels, p.label)
		}
	}
	if len(labels) == 0 {
		return "", false
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(machine))
	return labels[int(hash.Sum32())%len(labels)], true
}

// startHeartbeatIfDue reports whether this controller's next heartbeat to the peers is
// due. If so, it records now as the time at which it was sent.
func (t *peerTable) startHeartbeatIfDue(now event.Time) bool {
	if now-t.heartbeatSentAt < peerHeartbeatInterval {
		return false
	}
	t.heartbeatSentAt = now
	return true
}

// sendPeerHeartbeat sends this controller's status to all peers if a heartbeat is due.
func (c *Controller) sendPeerHeartbeat(now event.Time, out *event.Effects) {
	if !c.peers.startHeartbeatIfDue(now) {
		return
	}
	demand := c.updateRateShare(now)
	heartbeat := peer.Frame{
		Kind:     peer.Heartbeat,
		Label:    c.cfg.Label,
		StateOK:  c.store.Synced() && !c.store.Unavailable(),
		IsLeader: c.leadership.active,
		Requests: saturate(demand.Requests),
		Writes:   saturate(demand.Writes),
	}
	if c.leadership.active {
		heartbeat.FencingToken = c.election.FencingToken()
	}
	data := peer.Append(nil, &heartbeat)
	for i := range c.peers.list {
		out.SendFrame(i, data)
	}
	c.announceView(now, out) // repeats it, as a frame may be lost
}

// saturate converts a rate to the 16-bit field of a frame. Larger rates become the
// maximum value.
func saturate(rate float64) uint16 { return uint16(min(rate, math.MaxUint16)) }

// handlePeerHeartbeat records the status in a peer's heartbeat. from is the index of the
// peer.
func (c *Controller) handlePeerHeartbeat(now event.Time, from int, frame *peer.Frame) {
	p := c.peers.list[from]
	p.receivedAt = now
	p.heartbeat = *frame
	if frame.IsLeader {
		c.election.RecordFencingToken(frame.FencingToken)
	}
}
