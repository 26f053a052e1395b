package engine

import (
	"container/list"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// connectionKind is what a connection is for.
type connectionKind uint8

const (
	incomingHTTP connectionKind = iota // of a user, worker or probe
	incomingPeer                       // another controller's frames
	outgoingCall                       // calls of ours over HTTP
	outgoingPeer                       // our frames to another controller
)

// Limits on one connection. sweep closes connections that are beyond them. The times
// are estimates, no measurement stands behind them: long enough that a connection in
// regular use stays open, short enough that one that its client has forgotten does
// not hold a socket for good.
const (
	outgoingIdleTimeout = 20 * time.Second
	incomingIdleTimeout = 150 * time.Second
	// partialReadTimeout is how long a request or frame that has begun may stand
	// still.
	partialReadTimeout = 10 * time.Second
	// maxUnsentBytes is how far a reader may be behind: more than the largest
	// body that it may send itself (TestLimits).
	maxUnsentBytes = 512 << 10
	// maxUnsentPeerBytes is the same of a peer. A controller that stands still for a
	// moment may be relayed the heartbeats of thousands of workers meanwhile. To drop
	// the connection would lose the controllers' own heartbeats, too.
	maxUnsentPeerBytes = 8 << 20
	// maxPipelinedBytes is how much a client may send while it waits for a reply:
	// one whole request more.
	maxPipelinedBytes = httpwire.MaxHeadBytes + httpwire.MaxBodyBytes
)

// connection is a socket with what the engine knows of it. It belongs to the
// event loop from OnOpen on.
type connection struct {
	id         uint64
	kind       connectionKind
	socket     gnet.Conn  // nil until the connection is open
	lastActive event.Time // when something was last received or sent
	inUse      bool       // an incoming request waits for its reply, or a call for its response
	closeAfter bool       // the connection ends with the present request
	dropped    bool       // it is being closed
	// idleElement is its place in the list of idle connections of its client class,
	// or of idle outgoing ones; nil while it is in neither.
	idleElement *list.Element

	// Incoming connections.
	client  clientClass
	partial bool // the beginning of a request or frame is buffered

	// Outgoing connections.
	addr string
	peer int        // of outgoingPeer: peer index
	call event.Call // of outgoingCall: the last one
}

// timedOut reports whether a connection has had nothing to do for too long.
func (c *connection) timedOut(now event.Time) bool {
	inactive := now - c.lastActive
	switch c.kind {
	case incomingHTTP, incomingPeer:
		stalled := c.partial && inactive > partialReadTimeout
		idle := !c.inUse && inactive > incomingIdleTimeout
		return stalled || idle
	case outgoingCall:
		return !c.inUse && inactive > outgoingIdleTimeout
	}
	return false // outgoingPeer: kept, and dialled again when it ends
}

// readerIsBehind reports whether the other side has left too much unread.
func (c *connection) readerIsBehind() bool {
	limit := maxUnsentBytes
	if c.kind == outgoingPeer {
		limit = maxUnsentPeerBytes
	}
	return c.socket.OutboundBuffered() > limit
}

// received returns what has arrived and has not been consumed. It is valid until
// consume. Peek fails only for more bytes than there are, and -1 asks for all.
func (c *connection) received() []byte {
	in, _ := c.socket.Peek(-1)
	return in
}

// consume drops the first bytes of what has arrived. Discard never fails.
func (c *connection) consume(bytes int) { _, _ = c.socket.Discard(bytes) }

// send sends bytes, or buffers them until the other side reads. After an error gnet
// closes the connection by itself, and OnClose does the rest.
func (c *connection) send(data []byte) { _, _ = c.socket.Write(data) }

// OnOpen takes an accepted connection, or one of ours that has been dialled.
func (e *engine) OnOpen(socket gnet.Conn) ([]byte, gnet.Action) {
	if e.loop.Load() == nil {
		e.loop.Store(loopRef{socket.EventLoop()})
	}
	if c, ok := socket.Context().(*connection); ok {
		c.socket = socket
		e.handleDialed(c)
		return nil, gnet.None
	}
	return nil, e.accept(socket)
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
		c.idleElement = e.sockets.idle[userClient].PushBack(c)
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
	e.removeIdleOutgoing(c)
	if c.socket != nil {
		// Closing is asynchronous; it fails only when the loop is ending.
		_ = c.socket.Close()
	}
}

// OnClose forgets a connection that has ended, from whichever side.
func (e *engine) OnClose(socket gnet.Conn, _ error) gnet.Action {
	c, ok := socket.Context().(*connection)
	if !ok || e.sockets.connections[c.id] == nil {
		return gnet.None
	}
	delete(e.sockets.connections, c.id)
	e.leaveIdleList(c)
	e.setClient(c, userClient)
	switch c.kind {
	case incomingHTTP, incomingPeer:
		e.sockets.incoming--
	case outgoingPeer:
		if link := e.peers[c.peer]; link.connection == c {
			link.connection = nil
		}
	case outgoingCall:
		e.removeIdleOutgoing(c)
		if c.inUse {
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
