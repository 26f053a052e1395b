package engine

import (
	"container/list"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// connectionKind is the direction and protocol of a connection.
type connectionKind uint8

const (
	incomingHTTP connectionKind = iota // requests of a user, worker or probe
	incomingPeer                       // frames from another controller
	outgoingCall                       // HTTP calls of this controller
	outgoingPeer                       // frames to another controller
)

// Limits of a single connection. sweep closes connections that exceed the timeouts or
// a limit on unsent bytes. The timeouts are estimates: long enough that a connection in
// regular use stays open, and short enough that a connection that its client has
// abandoned does not occupy a socket forever.
const (
	outgoingIdleTimeout = 20 * time.Second
	incomingIdleTimeout = 150 * time.Second
	// partialReadTimeout is the maximum time without new data while a request or frame
	// is incomplete.
	partialReadTimeout = 10 * time.Second
	// maxUnsentBytes is the limit on buffered output that the other side has not read.
	// It is larger than the largest body that a client may send (TestLimits).
	maxUnsentBytes = 512 << 10
	// maxUnsentPeerBytes is the same limit for a connection to a peer. The heartbeats of
	// thousands of workers may be relayed to a controller while it is briefly stalled.
	// Closing the connection would also lose the heartbeats between the controllers.
	maxUnsentPeerBytes = 8 << 20
	// maxPipelinedBytes is the number of bytes that a client may send while it waits
	// for a reply: one more complete request.
	maxPipelinedBytes = httpwire.MaxHeadBytes + httpwire.MaxBodyBytes
)

// connection is a socket with its state in the engine. From OnOpen on, only the event
// loop accesses it.
type connection struct {
	id         uint64
	kind       connectionKind
	socket     gnet.Conn  // nil until the connection is open
	lastActive event.Time // time of the last data received or message sent
	inUse      bool       // a request awaits its reply, or a call its response
	closeAfter bool       // close the connection after the current request or call
	closing    bool       // closeConnection has been called
	// idleElement is the connection's element in the idle list of its client class or
	// in the list of idle outgoing connections. It is nil while the connection is in
	// neither list.
	idleElement *list.Element

	// Fields of incoming connections.
	clientClass clientClass
	partial     bool // an incomplete request or frame is buffered
	unreadBytes int  // buffered input of a client

	// Fields of outgoing connections.
	addr string
	peer int        // peer index, for outgoingPeer
	call event.Call // the current or last call, for outgoingCall
}

// timedOut reports whether the connection has been idle or stalled for too long.
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
	return false // An outgoingPeer connection stays open and is redialled when it ends.
}

// exceedsUnsentLimit reports whether the buffered output that the other side has not
// read exceeds the limit.
func (c *connection) exceedsUnsentLimit() bool {
	limit := maxUnsentBytes
	if c.kind == outgoingPeer {
		limit = maxUnsentPeerBytes
	}
	return c.socket.OutboundBuffered() > limit
}

// received returns the buffered input that has not been consumed. The slice is valid
// until consume is called. The error is ignored: Peek fails only if more bytes are
// requested than are buffered, and -1 requests all of them.
func (c *connection) received() []byte {
	in, _ := c.socket.Peek(-1)
	return in
}

// consume discards the given number of bytes from the start of the buffered input.
// Discard never fails.
func (c *connection) consume(bytes int) { _, _ = c.socket.Discard(bytes) }

// send sends the data, or buffers it until the other side reads. The error is ignored:
// after a failed write gnet closes the connection and calls OnClose.
func (c *connection) send(data []byte) { _, _ = c.socket.Write(data) }

// OnOpen handles a connection that has been accepted or dialled.
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

// accept registers an incoming connection. It returns gnet.Close if no socket is
// available for an HTTP connection.
func (e *engine) accept(socket gnet.Conn) gnet.Action {
	c := &connection{kind: incomingHTTP, socket: socket}
	if socket.LocalAddr().String() == e.cfg.PeerBind {
		c.kind = incomingPeer
	} else if !e.ensureFreeSocket() {
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

// register assigns an ID to an open connection and adds it to the open connections.
func (e *engine) register(c *connection) {
	e.sockets.lastID++
	c.id = e.sockets.lastID
	c.lastActive = e.now()
	e.sockets.connections[c.id] = c
}

// closeConnection closes a connection. gnet then calls OnClose.
func (e *engine) closeConnection(c *connection) {
	c.closing = true
	e.removeFromIdleList(c)
	e.removeIdleOutgoing(c)
	if c.socket != nil {
		// Close is asynchronous. It fails only while the loop is shutting down.
		_ = c.socket.Close()
	}
}

// OnClose removes a connection that either side has closed from the engine's state.
func (e *engine) OnClose(socket gnet.Conn, _ error) gnet.Action {
	c, ok := socket.Context().(*connection)
	if !ok || e.sockets.connections[c.id] == nil {
		return gnet.None
	}
	delete(e.sockets.connections, c.id)
	e.removeFromIdleList(c)
	e.setClientClass(c, userClient)
	switch c.kind {
	case incomingHTTP, incomingPeer:
		e.sockets.incoming--
		e.setUnread(c, 0)
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

// OnTraffic handles data that has arrived on a connection.
func (e *engine) OnTraffic(socket gnet.Conn) gnet.Action {
	c, ok := socket.Context().(*connection)
	if !ok {
		return gnet.Close
	}
	e.tick(tickInterval)
	if c.closing {
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
		return gnet.Close // a peer sends no data on a connection that it accepted
	}
	return gnet.None
}
