package engine

import (
	"container/list"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

const (
	idleOut     = 20 * time.Second  // an unused outgoing connection is closed
	idleIn      = 150 * time.Second // an unused incoming connection is closed
	halfRequest = 10 * time.Second  // a request must arrive whole within this
	maxUnsent   = 512 << 10         // a reader this far behind is dropped
)

type connKind uint8

const (
	kindHTTP connKind = iota // incoming user, worker or probe
	kindPeerIn
	kindCall    // outgoing HTTP
	kindPeerOut // outgoing frames
)

type conn struct {
	id    uint64
	kind  connKind
	g     gnet.Conn
	addr  string
	peer  int
	busy  bool // an incoming request awaits its reply, or an outgoing call its response
	close bool
	call  event.Call
	since event.Time // of the last activity
	half  bool       // part of a request is buffered
	from  party
	gone  bool          // being closed
	rest  *list.Element // in the list of its party's idle connections, or of spare ones
}

func (e *engine) OnOpen(g gnet.Conn) ([]byte, gnet.Action) {
	if e.loop.Load() == nil {
		e.loop.Store(loopBox{g.EventLoop()})
	}
	if out, ok := g.Context().(*conn); ok {
		out.g = g
		e.add(out)
		if out.kind == kindPeerOut {
			p := e.peers[out.peer]
			p.busy, p.conn = false, out
		} else if _, ok := e.expiry[out.call.ID]; ok {
			e.issue(out, out.call)
		} else {
			e.keep(out) // the call gave up meanwhile
		}
		return nil, gnet.None
	}
	c := &conn{kind: kindHTTP, g: g}
	if g.LocalAddr().String() == e.cfg.PeerBind {
		c.kind = kindPeerIn
	} else if !e.makeRoom() {
		return nil, gnet.Close
	}
	e.incoming++
	g.SetContext(c)
	e.add(c)
	if c.kind == kindHTTP {
		c.rest = e.resting[user].PushBack(c)
	}
	return nil, gnet.None
}

func (e *engine) OnClose(g gnet.Conn, _ error) gnet.Action {
	c, ok := g.Context().(*conn)
	if !ok || e.conns[c.id] == nil {
		return gnet.None
	}
	delete(e.conns, c.id)
	e.unrest(c)
	e.setParty(c, user)
	switch c.kind {
	case kindHTTP, kindPeerIn:
		e.incoming--
	case kindPeerOut:
		if e.peers[c.peer].conn == c {
			e.peers[c.peer].conn = nil
		}
	case kindCall:
		e.unkeep(c)
		if c.busy {
			e.calls[c.call.ID] = nil
			e.finishCall(c.call.ID, 0, nil)
		}
	}
	return gnet.None
}

func (e *engine) OnTraffic(g gnet.Conn) gnet.Action {
	c, ok := g.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	e.tick(tickEvery)
	if c.gone {
		return gnet.None
	}
	c.since = e.now()
	switch c.kind {
	case kindHTTP:
		if c.busy {
			if g.InboundBuffered() > httpwire.MaxHead+httpwire.MaxBody {
				return gnet.Close
			}
			return gnet.None
		}
		e.step(func() { e.readHTTP(c) })
	case kindPeerIn:
		return e.readFrames(c)
	case kindCall:
		return e.readResponse(c)
	case kindPeerOut:
		return gnet.Close // nothing is ever answered on it
	}
	return gnet.None
}

func (e *engine) add(c *conn) {
	e.lastConn++
	c.id, c.since = e.lastConn, e.now()
	e.conns[c.id] = c
}

func (e *engine) drop(c *conn) {
	c.gone = true
	e.unrest(c)
	e.unkeep(c)
	if c.g != nil {
		_ = c.g.Close()
	}
}
