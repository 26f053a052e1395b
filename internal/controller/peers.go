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
	// peerHeartbeatTimeout: a peer without a heartbeat for this long is not alive.
	peerHeartbeatTimeout = 2 * time.Second
	// neverReceived is the time of the last heartbeat of a peer that has sent none.
	neverReceived = -time.Hour
)

// peerTable is what we know of the other controllers.
type peerTable struct {
	list            []*peerState // in the order of the engine's list of peers
	heartbeatSentAt event.Time   // when we last sent ours to all of them
}

// peerState is what we know of another controller.
type peerState struct {
	label      string
	receivedAt event.Time // when its last heartbeat came
	heartbeat  peer.Frame // the last one; meaningful while the peer is alive
}

func newPeerTable(seeds []config.Seed) peerTable {
	var table peerTable
	for _, seed := range seeds {
		table.list = append(table.list, &peerState{label: seed.Label, receivedAt: neverReceived})
	}
	return table
}

// sortedLabels returns the labels of all controllers, ours included.
func sortedLabels(cfg *config.Platform) []string {
	labels := make([]string, 0, len(cfg.Seeds)+1)
	labels = append(labels, cfg.Label)
	for _, seed := range cfg.Seeds {
		labels = append(labels, seed.Label)
	}
	slices.Sort(labels)
	return labels
}

// isAlive reports whether a peer's heartbeats arrive. Judged as of our last own
// heartbeat, it does not change because we stood still.
func (t *peerTable) isAlive(p *peerState) bool {
	return t.heartbeatSentAt-p.receivedAt < peerHeartbeatTimeout
}

// aliveByLabel returns the index of the peer with a label. ok is false if there is
// none or it is not alive.
func (t *peerTable) aliveByLabel(label string) (index int, ok bool) {
	for i, p := range t.list {
		if p.label == label && t.isAlive(p) {
			index, ok = i, true
		}
	}
	return index, ok
}

// reachesState reports whether the peer with a label is alive and says that it reaches
// the state service.
func (t *peerTable) reachesState(label string) bool {
	for _, p := range t.list {
		if p.label == label {
			return t.isAlive(p) && p.heartbeat.StateOK
		}
	}
	return false
}

// relayFor picks, among the peers that are alive, the one that relays for a machine,
// so that machines are spread evenly. ok is false if none is alive.
func (t *peerTable) relayFor(machine string) (label string, ok bool) {
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

// takeHeartbeatDue reports whether our next heartbeat to the peers is due, and notes it
// as sent if so.
func (t *peerTable) takeHeartbeatDue(now event.Time) bool {
	if now-t.heartbeatSentAt < peerHeartbeatInterval {
		return false
	}
	t.heartbeatSentAt = now
	return true
}

// sendPeerHeartbeat sends, when it is due, our view of the cluster to all peers.
func (c *Controller) sendPeerHeartbeat(now event.Time, out *event.Effects) {
	if !c.peers.takeHeartbeatDue(now) {
		return
	}
	own := c.shareRates(now)
	heartbeat := peer.Frame{
		Kind:     peer.Heartbeat,
		Label:    c.cfg.Label,
		StateOK:  c.store.Synced() && !c.store.Unavailable(),
		IsLeader: c.leadership.active,
		Requests: saturate(own.Requests),
		Writes:   saturate(own.Writes),
	}
	if c.leadership.active {
		heartbeat.FencingToken = c.election.FencingToken()
	}
	data := peer.Append(nil, &heartbeat)
	for i := range c.peers.list {
		out.SendFrame(i, data)
	}
}

// saturate converts a rate for the frame, which has 16 bits for it.
func saturate(rate float64) uint16 { return uint16(min(rate, math.MaxUint16)) }

// handlePeerHeartbeat takes in a peer's view of the cluster.
func (c *Controller) handlePeerHeartbeat(now event.Time, from int, frame *peer.Frame) {
	p := c.peers.list[from]
	p.receivedAt = now
	p.heartbeat = *frame
	if frame.IsLeader {
		c.election.ObserveFencingToken(frame.FencingToken)
	}
}
