package engine

import (
	"errors"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// readRequests handles input from a client. A request that arrives before the reply
// to the previous one stays buffered until that reply is sent.
func (e *engine) readRequests(c *connection) gnet.Action {
	if !c.inUse {
		e.step(requestInput{c})
		return gnet.None
	}
	if c.socket.InboundBuffered() > maxPipelinedBytes || !e.fitsUnread(c) {
		return gnet.Close
	}
	return gnet.None
}

// readRequest passes one request to the state machine if a complete one is buffered.
// It runs within a step.
func (e *engine) readRequest(c *connection) {
	if e.sockets.connections[c.id] != c || c.inUse {
		return
	}
	in := c.received()
	if len(in) == 0 {
		return
	}
	e.removeFromIdleList(c)
	message, size, err := httpwire.ParseRequest(in)
	c.partial = errors.Is(err, httpwire.ErrIncomplete)
	if c.partial {
		if !e.fitsUnread(c) {
			e.rejectUnread(c)
		}
		return
	}
	e.setUnread(c, 0)
	if err != nil {
		e.rejectRequest(c, err)
		return
	}
	c.inUse = true
	c.closeAfter = message.Close
	e.setClientClass(c, clientClassOf(message.Target))
	// The body is copied because gnet reuses its buffer once the input is consumed.
	request := event.Request{
		Conn:   c.id,
		Method: message.Method,
		Path:   message.Target,
		Body:   append([]byte(nil), message.Body...),

		ConnectionLimitReached: e.exceedsWorkerLimit(c),
	}
	c.consume(size)
	e.stateMachine.HandleRequest(e.now(), request, &e.steps.effects)
}

// rejectRequest replies to input that is not a valid request and closes the
// connection, since the start of the next request is unknown.
func (e *engine) rejectRequest(c *connection, err error) {
	status := httpwire.StatusBadRequest
	var parseError *httpwire.ParseError
	if errors.As(err, &parseError) {
		status = parseError.Status()
	}
	c.send(httpwire.AppendResponse(nil, httpwire.Response{Status: status, Close: true}))
	e.closeConnection(c)
}

// reply sends the reply to a request and then reads the next request on the connection.
func (e *engine) reply(r event.Reply) {
	c := e.sockets.connections[r.Conn]
	if c == nil {
		return
	}
	c.inUse = false
	c.lastActive = e.now()
	if e.exceedsWorkerLimit(c) {
		c.closeAfter = true
	}
	response := httpwire.Response{Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter, Close: c.closeAfter}
	c.send(httpwire.AppendResponse(nil, response))
	if c.closeAfter {
		e.closeConnection(c)
		return
	}
	c.idleElement = e.sockets.idle[c.clientClass].PushBack(c)
	if c.socket.InboundBuffered() > 0 {
		e.step(requestInput{c})
	}
}
