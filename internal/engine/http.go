package engine

import (
	"errors"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

func (e *engine) reply(r event.Reply) {
	c := e.conns[r.Conn]
	if c == nil {
		return
	}
	c.busy = false
	c.since = e.now()
	c.close = c.close || (c.from == worker && e.workers > e.workerRoom())
	_, _ = c.g.Write(httpwire.AppendResponse(nil, r.Status, r.Body, r.RetryAfter, c.close))
	if c.close {
		e.drop(c)
		return
	}
	c.rest = e.resting[c.from].PushBack(c)
	if c.g.InboundBuffered() > 0 {
		e.pending = append(e.pending, func() { e.readHTTP(c) })
	}
}

// readHTTP takes one request; it runs inside a step.
func (e *engine) readHTTP(c *conn) {
	if e.conns[c.id] != c || c.busy {
		return
	}
	in, _ := c.g.Peek(-1)
	if len(in) == 0 {
		return
	}
	e.unrest(c)
	m, n, err := httpwire.ParseRequest(in)
	if errors.Is(err, httpwire.ErrIncomplete) {
		c.half = true
		return
	}
	c.half = false
	if err != nil {
		// A body over the limit is a malformed submission to its user, too.
		_, _ = c.g.Write(httpwire.AppendResponse(nil, 400, nil, 0, true))
		e.drop(c)
		return
	}
	c.busy, c.close = true, m.Close
	e.setParty(c, partyOf(m.Target))
	r := event.Request{Conn: c.id, Method: m.Method, Path: m.Target, Body: append([]byte(nil), m.Body...)}
	_, _ = c.g.Discard(n)
	e.core.Request(e.now(), r, &e.out)
}
