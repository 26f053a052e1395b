package engine

import "container/list"

// Config.MaxConnections bounds the open sockets. They are shared as follows:
//
//   - Connections to and from other controllers, and connections with an answer due,
//     are never closed to make room.
//   - Outgoing calls have a reserve: room for outgoingHeadroom more connections than
//     are in use, and one socket in outgoingFraction at least.
//   - One socket in userFraction is left to users and probes.
//   - Workers keep their connections within what is left (workerLimit). Beyond it a
//     worker's connection ends with its answer, and the worker dials again for its
//     next heartbeat.
//   - A new connection closes the least recently used one that is idle, of the first
//     class that has any: outgoing, users, probes, workers. With none it is refused.
//
// The fractions are estimates. The table of limits in docs/design.md says what happens
// where sockets are short, docs/limits.md what that was measured to cost.
const (
	outgoingHeadroom = 8
	outgoingFraction = 16
	userFraction     = 8
)

// clientClass is the kind of client at the other end of an incoming connection,
// judged by the path of its last request.
type clientClass uint8

const (
	userClient clientClass = iota // also those that have not sent a request yet
	workerClient
	probeClient
	clientClasses // their number
)

// The paths that tell workers and probes from users. Package controller serves them.
const (
	heartbeatPath = "/hello"
	healthPath    = "/healthz"
)

// clientOf returns who sends requests to a path.
func clientOf(path string) clientClass {
	switch path {
	case heartbeatPath:
		return workerClient
	case healthPath:
		return probeClient
	}
	return userClient
}

// sockets are all open connections. Config.MaxConnections bounds them, those to
// other controllers included.
type sockets struct {
	connections map[uint64]*connection // by ID
	lastID      uint64
	incoming    int
	workers     int // incoming ones of workers
	// idle holds the incoming HTTP connections between two requests, by class,
	// least recently used first.
	idle [clientClasses]list.List
}

// outgoingReserve is how many sockets are kept for outgoing connections. Idle
// ones do not count: they are closed before any other.
func (e *engine) outgoingReserve() int {
	inUse := len(e.sockets.connections) - e.sockets.incoming - e.outgoing.idle.Len()
	return max(inUse+outgoingHeadroom, e.cfg.MaxConnections/outgoingFraction)
}

// workerLimit is how many workers may stay connected between two heartbeats.
// Machines may outnumber the sockets: beyond the limit a worker's connection
// ends with its answer, and it dials again for its next heartbeat. Closed then, it
// never meets a heartbeat that is on its way. Closing the least recently used one
// instead would, with workers that send heartbeats in turn, end each connection just
// before it is needed.
func (e *engine) workerLimit() int {
	return e.cfg.MaxConnections - e.outgoingReserve() - e.cfg.MaxConnections/userFraction
}

// beyondWorkerLimit reports whether a connection is a worker's, and more of these are
// open than may stay.
func (e *engine) beyondWorkerLimit(c *connection) bool {
	return c.client == workerClient && e.sockets.workers > e.workerLimit()
}

// freeSocket makes a socket available for one more incoming connection and
// reports whether it could. With all sockets taken, the least recently used
// connection is closed among the idle outgoing ones (direct commands leave one
// for each machine) or else the idle ones of users, of probes, of workers. None
// with an answer due is closed.
func (e *engine) freeSocket() bool {
	if e.sockets.incoming+e.outgoingReserve()+e.outgoing.idle.Len() < e.cfg.MaxConnections {
		return true
	}
	closable := []*list.List{
		&e.outgoing.idle,
		&e.sockets.idle[userClient],
		&e.sockets.idle[probeClient],
		&e.sockets.idle[workerClient],
	}
	for _, connections := range closable {
		if first := connections.Front(); first != nil {
			e.drop(first.Value.(*connection))
			return true
		}
	}
	return false
}

// leaveIdleList takes a connection off the list of idle ones.
func (e *engine) leaveIdleList(c *connection) {
	if c.idleElement == nil {
		return
	}
	if c.kind == outgoingCall {
		e.outgoing.idle.Remove(c.idleElement)
	} else {
		e.sockets.idle[c.client].Remove(c.idleElement)
	}
	c.idleElement = nil
}

// setClient notes who uses a connection. The caller has taken the connection
// off its idle list, which depends on the class.
func (e *engine) setClient(c *connection, client clientClass) {
	if c.client == workerClient {
		e.sockets.workers--
	}
	c.client = client
	if client == workerClient {
		e.sockets.workers++
	}
}
