package core

import (
	"math"
	"time"

	"lugward/internal/event"
	"lugward/internal/peer"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 2 * time.Second // a peer not heard for this long is taken to be away
)

type peerState struct {
	label     string
	lastHeard event.Time
	heartbeat peer.Frame
}

func (n *Node) alive(p *peerState) bool { return n.heartbeatAt-p.lastHeard < heartbeatTimeout }

func (n *Node) sendHeartbeat(now event.Time, out *event.Effects) {
	if now-n.heartbeatAt < heartbeatInterval {
		return
	}
	n.heartbeatAt = now
	f := peer.Frame{Kind: peer.Heartbeat, Label: n.cfg.Label, StateOK: n.store.Synced() && !n.store.Outage(), IsLeader: n.leading}
	if n.leading {
		f.FencingToken = n.election.FencingToken()
	}
	requests, writes := n.share(now)
	f.Requests, f.Writes = uint16(min(requests, math.MaxUint16)), uint16(min(writes, math.MaxUint16))
	data := peer.Append(nil, &f)
	for i := range n.peers {
		out.Send(i, data)
	}
}

// Frame takes a frame from another controller.
func (n *Node) Frame(now event.Time, f event.PeerFrame, out *event.Effects) {
	fr, err := peer.Decode(f.Data)
	if err != nil {
		n.log.Debug("bad frame", "err", err)
		return
	}
	for i, p := range n.peers {
		if p.label != fr.Label {
			continue
		}
		switch fr.Kind {
		case peer.Heartbeat:
			p.lastHeard, p.heartbeat = now, fr
			if fr.IsLeader {
				n.election.ObserveToken(fr.FencingToken)
			}
		case peer.Relay:
			rep, err := n.parser.Parse(fr.Body)
			if err == nil && n.leading && n.election.MayAnswer(now) {
				n.report(now, replyTo{peer: i, relay: fr.ID}, rep, out)
			} else {
				n.respond(replyTo{peer: i, relay: fr.ID}, 503, nil, out)
			}
		case peer.RelayAck:
			if w, ok := n.relayed[fr.ID]; ok {
				delete(n.relayed, fr.ID)
				n.respond(replyTo{conn: w.conn}, int(fr.Status), fr.Body, out)
			}
		}
	}
}
