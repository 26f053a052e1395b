package engine

import "container/list"

const (
	// Sockets are kept for spareOutgoing more outgoing connections than are in
	// use, and for one in outgoingDivisor of all sockets at least.
	spareOutgoing   = 8
	outgoingDivisor = 16
	// userDivisor: workers keep their connections while these leave one in
	// userDivisor of all sockets to users and probes.
	userDivisor = 8
)

// party is who is at the other end of an incoming connection, judged by the
// last request.
type party uint8

const (
	userParty party = iota // also those that have not sent a request yet
	workerParty
	probeParty
	partyCount
)

// partyOf tells who sends requests to a path.
func partyOf(path string) party {
	switch path {
	case "/hello":
		return workerParty
	case "/healthz":
		return probeParty
	}
	return userParty
}

// sockets are all open connections. Config.MaxConnections bounds them, frames
// to other controllers included.
type sockets struct {
	connections map[uint64]*connection
	lastID      uint64
	incoming    int
	workers     int // incoming ones of workers
	// idle holds the incoming HTTP connections between two requests, by party,
	// least recently used first.
	idle [partyCount]list.List
}

// outgoingReserve is how many sockets are kept for outgoing connections. Spare
// ones do not count: they are closed before any other.
func (e *engine) outgoingReserve() int {
	inUse := len(e.sockets.connections) - e.sockets.incoming - e.outgoing.spare.Len()
	return max(inUse+spareOutgoing, e.cfg.MaxConnections/outgoingDivisor)
}

// workerLimit is how many workers may stay connected between two reports.
// Machines may outnumber the sockets: beyond the limit a worker's connection
// ends with its answer, and it dials again for its next report. Closed then, it
// never meets a report that is on its way. Closing the least recently used one
// instead would, with workers that report in turn, end each connection just
// before it is needed.
func (e *engine) workerLimit() int {
	return e.cfg.MaxConnections - e.outgoingReserve() - e.cfg.MaxConnections/userDivisor
}

// isCrowded tells whether a connection is a worker's, and more of these are open than
// may stay.
func (e *engine) isCrowded(c *connection) bool {
	return c.party == workerParty && e.sockets.workers > e.workerLimit()
}

// freeSocket makes a socket available for one more incoming connection and
// tells whether it could. With all sockets taken, the least recently used
// connection is closed among the spare outgoing ones (direct commands leave one
// for each machine) or else the idle ones of users, of probes, of workers. None
// with an answer due is closed.
func (e *engine) freeSocket() bool {
	if e.sockets.incoming+e.outgoingReserve()+e.outgoing.spare.Len() < e.cfg.MaxConnections {
		return true
	}
	closable := []*list.List{
		&e.outgoing.spare,
		&e.sockets.idle[userParty],
		&e.sockets.idle[probeParty],
		&e.sockets.idle[workerParty],
	}
	for _, connections := range closable {
		if first := connections.Front(); first != nil {
			e.drop(first.Value.(*connection))
			return true
		}
	}
	return false
}

// leaveIdleList takes a connection off the list of idle or spare ones.
func (e *engine) leaveIdleList(c *connection) {
	if c.idleEntry == nil {
		return
	}
	if c.kind == outgoingCall {
		e.outgoing.spare.Remove(c.idleEntry)
	} else {
		e.sockets.idle[c.party].Remove(c.idleEntry)
	}
	c.idleEntry = nil
}

// setParty notes who uses a connection. The caller has taken the connection
// off its idle list, which depends on the party.
func (e *engine) setParty(c *connection, p party) {
	if c.party == workerParty {
		e.sockets.workers--
	}
	c.party = p
	if p == workerParty {
		e.sockets.workers++
	}
}
