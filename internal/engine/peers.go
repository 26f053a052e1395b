package engine

import (
	"encoding/binary"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
)

const (
	// redialInterval is the time between two attempts to connect to a peer.
	redialInterval = time.Second
	// frameHeaderBytes is the size of the header of a frame: the frame's length as a
	// 32-bit big-endian integer.
	frameHeaderBytes = 4
	// maxFrameBytes is the maximum frame length. It is large enough for a relayed
	// heartbeat of httpwire.MaxBodyBytes bytes and the fields that package peer adds.
	maxFrameBytes = 128 << 10
)

// peerLink is the outgoing connection for frames to another controller. Frames from
// that controller arrive on a connection that it dials.
type peerLink struct {
	connection *connection // nil while not connected
	dialing    bool
	dialedAt   event.Time // start of the last attempt
}

// dialPeers dials the peers that are not connected, at most once per redialInterval
// each.
func (e *engine) dialPeers(now event.Time) {
	for i, link := range e.peers {
		if link.connection != nil || link.dialing || now-link.dialedAt < redialInterval {
			continue
		}
		link.dialing = true
		link.dialedAt = now
		e.dial(&connection{kind: outgoingPeer, addr: e.cfg.Peers[i], peer: i})
	}
}

// readFrames passes all complete frames in the input to the state machine.
func (e *engine) readFrames(c *connection) gnet.Action {
	for {
		in := c.received()
		c.partial = len(in) > 0
		if len(in) < frameHeaderBytes {
			return gnet.None
		}
		size := int(binary.BigEndian.Uint32(in))
		if size > maxFrameBytes {
			return gnet.Close
		}
		end := frameHeaderBytes + size
		if len(in) < end {
			return gnet.None
		}
		data := append([]byte(nil), in[frameHeaderBytes:end]...)
		c.consume(end)
		e.step(frameInput{event.PeerFrame{Peer: event.UnknownPeer, Data: data}})
	}
}

// sendFrame sends a frame, or drops it if the peer is not connected. No function
// relies on the delivery of a single frame, and the next one follows soon.
func (e *engine) sendFrame(frame event.PeerFrame) {
	c := e.peers[frame.Peer].connection
	if c == nil {
		return
	}
	out := make([]byte, 0, frameHeaderBytes+len(frame.Data))
	out = binary.BigEndian.AppendUint32(out, uint32(len(frame.Data)))
	out = append(out, frame.Data...)
	c.send(out)
}
