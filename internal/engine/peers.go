package engine

import (
	"encoding/binary"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
)

const (
	redialEvery = time.Second
	maxFrame    = 128 << 10
)

type peerLink struct {
	conn   *conn
	dialed event.Time
	busy   bool
}

func (e *engine) readFrames(c *conn) gnet.Action {
	for {
		in, _ := c.g.Peek(-1)
		c.half = len(in) > 0
		if len(in) < 4 {
			return gnet.None
		}
		size := int(binary.BigEndian.Uint32(in))
		if size > maxFrame {
			return gnet.Close
		}
		if len(in) < 4+size {
			return gnet.None
		}
		f := event.PeerFrame{Peer: -1, Data: append([]byte(nil), in[4:4+size]...)}
		_, _ = c.g.Discard(4 + size)
		e.step(func() { e.core.Frame(e.now(), f, &e.out) })
	}
}

func (e *engine) sendFrame(f event.PeerFrame) {
	c := e.peers[f.Peer].conn
	if c == nil {
		return // frames are hints; the next one follows soon
	}
	b := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(f.Data)), uint32(len(f.Data)))
	_, _ = c.g.Write(append(b, f.Data...))
}
