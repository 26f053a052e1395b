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
	// frameHeaderBytes: frames follow each other, each behind its length as a 32-bit
	// big-endian number.
	frameHeaderBytes = 4
	// maxFrameBytes holds a relayed heartbeat of httpwire.MaxBodyBytes bytes with what
	// package peer puts around it.
	maxFrameBytes = 128 << 10
)

// peerLink is our connection for frames to another controller. Frames of that
// controller come on a connection that it makes.
type peerLink struct {
	connection *connection // nil while there is none
	dialing    bool
	dialedAt   event.Time // when the last attempt began
}

// dialPeers connects to the peers that we have no connection to.
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

// readFrames takes the whole frames that have arrived.
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

// sendFrame sends a frame, or drops it while there is no connection: nothing depends
// on a frame, and the next one follows soon.
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
