package controller

import (
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
	// neverHeard is the time of the last heartbeat of a peer that has sent none.
	neverHeard = -time.Hour
)

// peerState is what we know of another controller. Its place in Node.peers is
// its index in the engine's list of peers.
type peerState struct {
	label       string
	heartbeatAt event.Time // when its last heartbeat came
	heartbeat   peer.Frame // the last one; meaningful while the peer is alive
}

func newPeers(cfg *config.Platform) []*peerState {
	var peers []*peerState
	for _, seed := range cfg.Seeds {
		peers = append(peers, &peerState{label: seed.Label, heartbeatAt: neverHeard})
	}
	return peers
}

// sortedLabels returns the labels of all controllers, ours included.
func sortedLabels(cfg *config.Platform) []string {
	labels := []string{cfg.Label}
	for _, seed := range cfg.Seeds {
		labels = append(labels, seed.Label)
	}
	slices.Sort(labels)
	return labels
}

// isAlive tells whether a peer's heartbeats arrive. Judged as of our last own
// heartbeat, it does not change because we stood still.
func (c *Controller) isAlive(p *peerState) bool {
	return c.peerHeartbeatAt-p.heartbeatAt < peerHeartbeatTimeout
}

// sendPeerHeartbeat sends, when it is due, our view of the cluster to all peers.
func (c *Controller) sendPeerHeartbeat(now event.Time, out *event.Effects) {
	if now-c.peerHeartbeatAt < peerHeartbeatInterval {
		return
	}
	c.peerHeartbeatAt = now
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
	for i := range c.peers {
		out.SendFrame(i, data)
	}
}

// saturate converts a rate for the frame, which has 16 bits for it.
func saturate(rate float64) uint16 { return uint16(min(rate, math.MaxUint16)) }

// HandleFrame takes a frame from another controller. Frames of unknown controllers
// are ignored.
func (c *Controller) HandleFrame(now event.Time, in event.PeerFrame, out *event.Effects) {
	frame, err := peer.Decode(in.Data)
	if err != nil {
		c.log.Debug("bad frame", "err", err)
		return
	}
	for i, p := range c.peers {
		if p.label == frame.Label {
			c.handleFrame(now, i, &frame, out)
		}
	}
}

func (c *Controller) handleFrame(now event.Time, from int, frame *peer.Frame, out *event.Effects) {
	switch frame.Kind {
	case peer.Heartbeat:
		p := c.peers[from]
		p.heartbeatAt = now
		p.heartbeat = *frame
		if frame.IsLeader {
			c.election.ObserveFencingToken(frame.FencingToken)
		}
	case peer.Relay:
		c.handleRelayedHeartbeat(now, from, frame, out)
	case peer.RelayAck:
		c.handleRelayAck(frame, out)
	}
}
