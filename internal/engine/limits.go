package engine

import "container/list"

// Config.MaxConnections limits the number of open sockets. They are allocated as
// follows:
//
//   - Connections to and from other controllers, and connections with a pending reply
//     or response, are never closed to free a socket.
//   - Sockets are reserved for outgoing calls: outgoingHeadroom more than are in use,
//     but at least MaxConnections/outgoingReserveDivisor.
//   - MaxConnections/userReserveDivisor sockets are reserved for users and probes.
//   - Workers may keep the remaining sockets open (workerLimit). Above that limit, a
//     worker's connection is closed with the reply, and the worker dials again for its
//     next heartbeat.
//   - If no socket is free, a new connection replaces the least recently used idle
//     connection of the first class that has one, in this order: outgoing, users,
//     probes, workers. If there is no idle connection, the new one is refused.
//
// The divisors are estimates. The table of limits in docs/design.md describes what
// happens when sockets run out, and docs/limits.md the measured cost.
const (
	outgoingHeadroom       = 8
	outgoingReserveDivisor = 16
	userReserveDivisor     = 8
)

// clientClass is the kind of client of an incoming connection, derived from the path
// of its last request.
type clientClass uint8

const (
	userClient clientClass = iota // also clients that have not sent a request yet
	workerClient
	probeClient
	numClientClasses
)

// Request paths that identify workers and probes. Package controller serves them.
const (
	heartbeatPath = "/hello"
	healthPath    = "/healthz"
)

// clientClassOf returns the class of the clients that send requests to a path.
func clientClassOf(path string) clientClass {
	switch path {
	case heartbeatPath:
		return workerClient
	case healthPath:
		return probeClient
	}
	return userClient
}

// sockets holds all open connections. Config.MaxConnections limits their number,
// including connections to other controllers.
type sockets struct {
	connections map[uint64]*connection // by ID
	lastID      uint64
	incoming    int
	workers     int // number of incoming connections of workers
	unreadBytes int // buffered input of all clients
	// idle lists the incoming HTTP connections without a pending request, by client
	// class, least recently used first.
	idle [numClientClasses]list.List
}

// outgoingReserve returns the number of sockets reserved for outgoing connections.
// Idle outgoing connections do not count as in use, since they are closed first.
func (e *engine) outgoingReserve() int {
	inUse := len(e.sockets.connections) - e.sockets.incoming - e.outgoing.idle.Len()
	return max(inUse+outgoingHeadroom, e.cfg.MaxConnections/outgoingReserveDivisor)
}

// workerLimit returns the number of workers that may stay connected between two
// heartbeats. There may be more machines than sockets: above the limit, a worker's
// connection is closed with the reply, and the worker dials again for its next
// heartbeat. Closing it at that moment cannot interrupt a heartbeat in transit. Closing
// the least recently used connection instead would, with workers that send heartbeats
// in turn, always close the connection that is needed next.
func (e *engine) workerLimit() int {
	return e.cfg.MaxConnections - e.outgoingReserve() - e.cfg.MaxConnections/userReserveDivisor
}

// exceedsWorkerLimit reports whether the connection belongs to a worker and more
// workers are connected than workerLimit allows.
func (e *engine) exceedsWorkerLimit(c *connection) bool {
	return c.clientClass == workerClient && e.sockets.workers > e.workerLimit()
}

// ensureFreeSocket frees a socket for one more incoming connection if none is
// available, and reports whether one is. It closes the least recently used idle
// outgoing connection (direct commands leave one per machine). If there is none, it
// closes the least recently used idle connection of users, then of probes, then of
// workers. It never closes a connection with a pending reply or response.
func (e *engine) ensureFreeSocket() bool {
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
			e.closeConnection(first.Value.(*connection))
			return true
		}
	}
	return false
}

// removeFromIdleList removes a connection from the idle list that it is in, if any.
func (e *engine) removeFromIdleList(c *connection) {
	if c.idleElement == nil {
		return
	}
	if c.kind == outgoingCall {
		e.outgoing.idle.Remove(c.idleElement)
	} else {
		e.sockets.idle[c.clientClass].Remove(c.idleElement)
	}
	c.idleElement = nil
}

// setClientClass records the client class of a connection. The caller must have
// removed the connection from its idle list, which depends on the class.
func (e *engine) setClientClass(c *connection, client clientClass) {
	if c.clientClass == workerClient {
		e.sockets.workers--
	}
	c.clientClass = client
	if client == workerClient {
		e.sockets.workers++
	}
}
