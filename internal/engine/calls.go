package engine

import (
	"container/list"
	"errors"
	"slices"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// maxResponseBytes is the maximum size of a response body. The state service does
// not limit its responses to a watch. A larger response ends the call with
// event.ResponseTooLarge, and the caller then reads the keys page by page.
const maxResponseBytes = 8 << 20

// outgoing holds the pending calls and the idle connections for further calls.
type outgoing struct {
	calls map[uint64]*pendingCall // by call ID
	// Idle connections have no call and are reused for the next call to their address.
	// idleByAddr holds them by address, most recently used last. idle lists them all,
	// least recently used first.
	idleByAddr map[string][]*connection
	idle       list.List
}

// pendingCall is a call that has not ended.
type pendingCall struct {
	deadline   event.Time
	connection *connection // nil while the connection is being dialled
}

// startCall sends a call on an idle connection, or dials a new connection for it.
func (e *engine) startCall(call event.Call) {
	e.outgoing.calls[call.ID] = &pendingCall{deadline: e.now() + call.Timeout}
	idle := e.outgoing.idleByAddr[call.Addr]
	if len(idle) == 0 {
		e.dial(&connection{kind: outgoingCall, addr: call.Addr, call: call})
		return
	}
	last := len(idle) - 1
	c := idle[last]
	e.outgoing.idleByAddr[call.Addr] = idle[:last]
	e.removeFromIdleList(c)
	e.sendCall(c, call)
}

// sendCall sends a pending call on an open connection.
func (e *engine) sendCall(c *connection, call event.Call) {
	c.call = call
	c.inUse = true
	c.lastActive = e.now()
	e.outgoing.calls[call.ID].connection = c
	c.send(httpwire.AppendRequest(nil, call.Method, call.Path, call.Addr, call.Body))
}

// finishCall ends a call and passes its outcome to the state machine. It does nothing
// if the call has already ended, so each call has exactly one outcome.
func (e *engine) finishCall(id uint64, status int, body []byte) {
	call := e.outgoing.calls[id]
	if call == nil {
		return
	}
	delete(e.outgoing.calls, id)
	if c := call.connection; c != nil {
		c.inUse = false
		if status == event.NoResponse || c.closeAfter {
			e.closeConnection(c) // a late response must not be attributed to the next call
		} else {
			c.lastActive = e.now()
			e.addIdleOutgoing(c)
		}
	}
	e.step(callResultInput{event.CallResult{ID: id, Status: status, Body: body}})
}

// abortCall ends a call without a response after its connection was closed.
func (e *engine) abortCall(id uint64) {
	if call := e.outgoing.calls[id]; call != nil {
		call.connection = nil
	}
	e.finishCall(id, event.NoResponse, nil)
}

// expireCalls ends the calls whose deadline has passed.
func (e *engine) expireCalls(now event.Time) {
	for id, call := range e.outgoing.calls {
		if now >= call.deadline {
			e.finishCall(id, event.NoResponse, nil)
		}
	}
}

// addIdleOutgoing adds a connection to the idle ones, for the next call to its address.
func (e *engine) addIdleOutgoing(c *connection) {
	e.outgoing.idleByAddr[c.addr] = append(e.outgoing.idleByAddr[c.addr], c)
	c.idleElement = e.outgoing.idle.PushBack(c)
}

// removeIdleOutgoing removes a connection from the idle connections of its address.
func (e *engine) removeIdleOutgoing(c *connection) {
	left := slices.DeleteFunc(e.outgoing.idleByAddr[c.addr], func(other *connection) bool { return other == c })
	if len(left) == 0 {
		delete(e.outgoing.idleByAddr, c.addr)
		return
	}
	e.outgoing.idleByAddr[c.addr] = left
}

// readResponse parses the response to a call and finishes the call.
func (e *engine) readResponse(c *connection) gnet.Action {
	if !c.inUse {
		return gnet.Close // no call awaits a response
	}
	message, size, err := httpwire.ParseResponse(c.received(), maxResponseBytes)
	switch {
	case err == nil:
	case errors.Is(err, httpwire.ErrIncomplete):
		return gnet.None
	case errors.Is(err, httpwire.ErrTooLarge):
		c.closeAfter = true // the rest of the response is still arriving
		e.finishCall(c.call.ID, event.ResponseTooLarge, nil)
		return gnet.None
	default:
		return gnet.Close
	}
	// The body is copied because gnet reuses its buffer once the input is consumed.
	body := append([]byte(nil), message.Body...)
	c.consume(size)
	c.closeAfter = message.Close
	e.finishCall(c.call.ID, message.Status, body)
	return gnet.None
}
