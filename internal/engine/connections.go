package engine

import (
	"container/list"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

const (
	outgoingIdleTimeout = 20 * time.Second  // an unused outgoing connection is closed
	incomingIdleTimeout = 150 * time.Second // an unused incoming connection is closed
	partialReadTimeout  = 10 * time.Second  // a request or frame must arrive whole within this
	maxUnsentBytes      = 512 << 10         // a reader that is this far behind is dropped
	// A controller that stands still for a moment may be relayed the reports of
	// thousands of workers meanwhile. To drop the link would lose its heartbeats, too.
	maxUnsentPeerBytes = 8 << 20
	// maxPipelinedBytes is how much a client may send while it awaits a reply.
	maxPipelinedBytes = httpwire.MaxHead + httpwire.MaxBody
)

// connectionKind is what a connection is for.
type connectionKind uint8

const (
	incomingHTTP connectionKind = iota // of a user, worker or probe
	incomingPeer                       // another controller's frames
	outgoingCall                       // calls of ours over HTTP
	outgoingPeer                       // our frames to another controller
)

// connection is a socket with what the engine knows of it. It belongs to the
// event loop from OnOpen on.
type connection struct {
	id         uint64
	kind       connectionKind
	socket     gnet.Conn  // nil until the connection is open
	lastActive event.Time // when something was last received or sent
	busy       bool       // an incoming request awaits its reply, or a call its response
	closeAfter bool       // the connection ends with the present request
	dropped    bool       // it is being closed
	// idleEntry is its place in the list of idle connections of its party, or
	// of spare outgoing ones; nil while it is in neither.
	idleEntry *list.Element

	// Incoming connections.
	party   party
	partial bool // the beginning of a request or frame is buffered

	// Outgoing connections.
	addr string
	peer int        // of outgoingPeer: peer index
	call event.Call // of outgoingCall: the last one
}

// timedOut tells whether a connection has had nothing to do for too long.
func (c *connection) timedOut(now event.Time) bool {
	inactive := now - c.lastActive
	switch c.kind {
	case incomingHTTP, incomingPeer:
		stalled := c.partial && inactive > partialReadTimeout
		idle := !c.busy && inactive > incomingIdleTimeout
		return stalled || idle
	case outgoingCall:
		return !c.busy && inactive > outgoingIdleTimeout
	}
	return false
}

// readerIsBehind tells whether the other side has left too much unread.
func (c *connection) readerIsBehind() bool {
	limit := maxUnsentBytes
	if c.kind == outgoingPeer {
		limit = maxUnsentPeerBytes
	}
	return c.socket.OutboundBuffered() > limit
}

// OnOpen takes an accepted connection, or one of ours that has been dialled.
func (e *engine) OnOpen(socket gnet.Conn) ([]byte, gnet.Action) {
	if e.loop.Load() == nil {
		e.loop.Store(loopRef{socket.EventLoop()})
	}
	if c, ok := socket.Context().(*connection); ok {
		c.socket = socket
		e.opened(c)
		return nil, gnet.None
	}
	return nil, e.accept(socket)
}

// opened puts a connection that was dialled to its use.
func (e *engine) opened(c *connection) {
	e.register(c)
	if c.kind == outgoingPeer {
		link := e.peers[c.peer]
		link.dialing = false
		link.c = c
		return
	}
	if _, ok := e.outgoing.calls[c.call.ID]; ok {
		e.issue(c, c.call)
	} else {
		e.keepSpare(c) // the call has timed out meanwhile
	}
}

// accept takes an incoming connection, if there is a socket for it.
func (e *engine) accept(socket gnet.Conn) gnet.Action {
	c := &connection{kind: incomingHTTP, socket: socket}
	if socket.LocalAddr().String() == e.cfg.PeerBind {
		c.kind = incomingPeer
	} else if !e.freeSocket() {
		return gnet.Close
	}
	e.sockets.incoming++
	socket.SetContext(c)
	e.register(c)
	if c.kind == incomingHTTP {
		c.idleEntry = e.sockets.idle[userParty].PushBack(c)
	}
	return gnet.None
}

// register numbers an open connection and adds it to the open ones.
func (e *engine) register(c *connection) {
	e.sockets.lastID++
	c.id = e.sockets.lastID
	c.lastActive = e.now()
	e.sockets.connections[c.id] = c
}

// drop closes a connection. OnClose follows.
func (e *engine) drop(c *connection) {
	c.dropped = true
	e.leaveIdleList(c)
	e.removeSpare(c)
	if c.socket != nil {
		_ = c.socket.Close()
	}
}

// OnClose takes notice of a connection that has ended, from whichever side.
func (e *engine) OnClose(socket gnet.Conn, _ error) gnet.Action {
	c, ok := socket.Context().(*connection)
	if !ok || e.sockets.connections[c.id] == nil {
		return gnet.None
	}
	delete(e.sockets.connections, c.id)
	e.leaveIdleList(c)
	e.setParty(c, userParty)
	switch c.kind {
	case incomingHTTP, incomingPeer:
		e.sockets.incoming--
	case outgoingPeer:
		if link := e.peers[c.peer]; link.c == c {
			link.c = nil
		}
	case outgoingCall:
		e.removeSpare(c)
		if c.busy {
			e.abortCall(c.call.ID)
		}
	}
	return gnet.None
}

// OnTraffic reads what has arrived on a connection.
func (e *engine) OnTraffic(socket gnet.Conn) gnet.Action {
	c, ok := socket.Context().(*connection)
	if !ok {
		return gnet.Close
	}
	e.tick(tickInterval)
	if c.dropped {
		return gnet.None
	}
	c.lastActive = e.now()
	switch c.kind {
	case incomingHTTP:
		return e.readRequests(c)
	case incomingPeer:
		return e.readFrames(c)
	case outgoingCall:
		return e.readResponse(c)
	case outgoingPeer:
		return gnet.Close // the protocol has no answers on it
	}
	return gnet.None
}
