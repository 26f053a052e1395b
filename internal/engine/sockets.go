package engine

import (
	"container/list"
)

const (
	// For outgoing connections there is always capacity for some more than are in
	// use, and for 1/outgoingRoom of all sockets at least.
	outgoingMore = 8
	outgoingRoom = 16
	// Workers keep their connections while these leave 1/userRoom of all
	// sockets, beyond the outgoing ones' capacity, to users and probes.
	userRoom = 8
)

// party is who is at the other end of an incoming connection, by what it asked
// last.
type party uint8

const (
	user party = iota
	worker
	probe
	parties
)

func partyOf(path string) party {
	switch path {
	case "/hello":
		return worker
	case "/healthz":
		return probe
	}
	return user
}

// outgoingKept is how many sockets are kept for outgoing connections. Those
// without a call give way before any other.
func (e *engine) outgoingKept() int {
	return max(len(e.conns)-e.incoming-e.spare.Len()+outgoingMore, e.cfg.MaxConnections/outgoingRoom)
}

// workerRoom is how many workers may stay connected between two reports.
// Machines may be more than sockets: beyond that a worker is told with its
// answer that the connection ends, and dials again for its next report. Closed
// with the answer, it never meets a report that is on its way; and of workers
// that report in turn, closing the one that was answered longest ago would end
// each connection just before it is needed.
func (e *engine) workerRoom() int {
	return e.cfg.MaxConnections - e.outgoingKept() - e.cfg.MaxConnections/userRoom
}

// makeRoom tells whether one more incoming connection may stay. A spare
// outgoing one gives way (direct commands leave one for each machine), then the
// user connection that has been idle for longest, with none left a probe's, then
// a worker's; none with an answer due.
func (e *engine) makeRoom() bool {
	if e.incoming+e.outgoingKept()+e.spare.Len() < e.cfg.MaxConnections {
		return true
	}
	for _, idle := range []*list.List{&e.spare, &e.resting[user], &e.resting[probe], &e.resting[worker]} {
		if first := idle.Front(); first != nil {
			e.drop(first.Value.(*conn))
			return true
		}
	}
	return false
}

// unrest takes a connection off the list of those between two requests.
func (e *engine) unrest(c *conn) {
	if c.rest == nil {
		return
	}
	idle := &e.resting[c.from]
	if c.kind == kindCall {
		idle = &e.spare
	}
	idle.Remove(c.rest)
	c.rest = nil
}

func (e *engine) setParty(c *conn, p party) {
	if c.from == worker {
		e.workers--
	}
	if c.from = p; p == worker {
		e.workers++
	}
}
