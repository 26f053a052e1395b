package engine

import (
	"errors"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// readRequests reads from a client. A request that arrives before the last one
// is answered stays buffered until then.
func (e *engine) readRequests(c *connection) gnet.Action {
	if !c.busy {
		e.step(requestInput{c})
		return gnet.None
	}
	if c.socket.InboundBuffered() > maxPipelinedBytes {
		return gnet.Close
	}
	return gnet.None
}

// readRequest takes one request, if a whole one has arrived. It runs within a
// step.
func (e *engine) readRequest(c *connection) {
	if e.sockets.connections[c.id] != c || c.busy {
		return
	}
	in, _ := c.socket.Peek(-1)
	if len(in) == 0 {
		return
	}
	e.leaveIdleList(c)
	message, size, err := httpwire.ParseRequest(in)
	c.partial = errors.Is(err, httpwire.ErrIncomplete)
	if c.partial {
		return
	}
	if err != nil {
		// To a user, a body over the limit is a malformed submission as well.
		_, _ = c.socket.Write(httpwire.AppendResponse(nil, httpwire.Response{Status: httpwire.StatusBadRequest, Close: true}))
		e.drop(c)
		return
	}
	c.busy = true
	c.closeAfter = message.Close
	e.setParty(c, partyOf(message.Target))
	// The buffers of the parser are reused once the input is discarded.
	request := event.Request{
		Conn:   c.id,
		Method: message.Method,
		Path:   message.Target,
		Body:   append([]byte(nil), message.Body...),

		ConnectionLimitReached: e.isCrowded(c),
	}
	_, _ = c.socket.Discard(size)
	e.core.HandleRequest(e.now(), request, &e.steps.effects)
}

// reply answers a request and lets the next one on its connection be read.
func (e *engine) reply(r event.Reply) {
	c := e.sockets.connections[r.Conn]
	if c == nil {
		return
	}
	c.busy = false
	c.lastActive = e.now()
	if e.isCrowded(c) {
		c.closeAfter = true
	}
	response := httpwire.Response{Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter, Close: c.closeAfter}
	_, _ = c.socket.Write(httpwire.AppendResponse(nil, response))
	if c.closeAfter {
		e.drop(c)
		return
	}
	c.idleEntry = e.sockets.idle[c.party].PushBack(c)
	if c.socket.InboundBuffered() > 0 {
		e.step(requestInput{c})
	}
}
