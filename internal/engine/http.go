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
	if !c.inUse {
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
	if e.sockets.connections[c.id] != c || c.inUse {
		return
	}
	in := c.received()
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
		e.refuseRequest(c, err)
		return
	}
	c.inUse = true
	c.closeAfter = message.Close
	e.setClient(c, clientOf(message.Target))
	// The buffer that the body is in is reused once the input is consumed.
	request := event.Request{
		Conn:   c.id,
		Method: message.Method,
		Path:   message.Target,
		Body:   append([]byte(nil), message.Body...),

		ConnectionLimitReached: e.beyondWorkerLimit(c),
	}
	c.consume(size)
	e.stateMachine.HandleRequest(e.now(), request, &e.steps.effects)
}

// refuseRequest answers input that is no request, and ends the connection: where the
// next request would begin is not known.
func (e *engine) refuseRequest(c *connection, err error) {
	status := httpwire.StatusBadRequest
	var parseError *httpwire.ParseError
	if errors.As(err, &parseError) {
		status = parseError.Status()
	}
	c.send(httpwire.AppendResponse(nil, httpwire.Response{Status: status, Close: true}))
	e.drop(c)
}

// reply answers a request and lets the next one on its connection be read.
func (e *engine) reply(r event.Reply) {
	c := e.sockets.connections[r.Conn]
	if c == nil {
		return
	}
	c.inUse = false
	c.lastActive = e.now()
	if e.beyondWorkerLimit(c) {
		c.closeAfter = true
	}
	response := httpwire.Response{Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter, Close: c.closeAfter}
	c.send(httpwire.AppendResponse(nil, response))
	if c.closeAfter {
		e.drop(c)
		return
	}
	c.idleElement = e.sockets.idle[c.client].PushBack(c)
	if c.socket.InboundBuffered() > 0 {
		e.step(requestInput{c})
	}
}
