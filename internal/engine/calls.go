package engine

import (
	"container/list"
	"errors"
	"slices"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// maxResponseBytes bounds the body of a response. Those of the key-value store to a
// watch have no limit of their own; what is larger ends the call with
// event.ResponseTooLarge, and its caller reads the keys page by page.
const maxResponseBytes = 8 << 20

// outgoing are the calls that have not ended and the connections for calls.
type outgoing struct {
	calls map[uint64]*pendingCall // by call ID
	// Idle connections have no call and wait for the next one to their address.
	// They stand here by address, last used last, and in a list, least recently
	// used first.
	idleByAddr map[string][]*connection
	idle       list.List
}

// pendingCall is a call that has not ended.
type pendingCall struct {
	deadline   event.Time
	connection *connection // nil while it is dialled
}

// startCall sends a call on an idle connection, or dials one.
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
	e.leaveIdleList(c)
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
// for a call that has ended before, so each has exactly one outcome.
func (e *engine) finishCall(id uint64, status int, body []byte) {
	call := e.outgoing.calls[id]
	if call == nil {
		return
	}
	delete(e.outgoing.calls, id)
	if c := call.connection; c != nil {
		c.inUse = false
		if status == event.NoResponse || c.closeAfter {
			e.drop(c) // a late response must not be taken for that of the next call
		} else {
			c.lastActive = e.now()
			e.keepIdle(c)
		}
	}
	e.step(callResultInput{event.CallResult{ID: id, Status: status, Body: body}})
}

// abortCall ends a call whose connection has ended.
func (e *engine) abortCall(id uint64) {
	if call := e.outgoing.calls[id]; call != nil {
		call.connection = nil
	}
	e.finishCall(id, event.NoResponse, nil)
}

// expireCalls ends the calls that have got no response in time.
func (e *engine) expireCalls(now event.Time) {
	for id, call := range e.outgoing.calls {
		if now >= call.deadline {
			e.finishCall(id, event.NoResponse, nil)
		}
	}
}

// keepIdle keeps a connection for the next call to its address.
func (e *engine) keepIdle(c *connection) {
	e.outgoing.idleByAddr[c.addr] = append(e.outgoing.idleByAddr[c.addr], c)
	c.idleElement = e.outgoing.idle.PushBack(c)
}

// removeIdleOutgoing takes a connection that ends off those for the next calls.
func (e *engine) removeIdleOutgoing(c *connection) {
	left := slices.DeleteFunc(e.outgoing.idleByAddr[c.addr], func(other *connection) bool { return other == c })
	if len(left) == 0 {
		delete(e.outgoing.idleByAddr, c.addr)
		return
	}
	e.outgoing.idleByAddr[c.addr] = left
}

// readResponse takes the response to a call.
func (e *engine) readResponse(c *connection) gnet.Action {
	if !c.inUse {
		return gnet.Close // no call waits for it
	}
	message, size, err := httpwire.ParseResponse(c.received(), maxResponseBytes)
	switch {
	case err == nil:
	case errors.Is(err, httpwire.ErrIncomplete):
		return gnet.None
	case errors.Is(err, httpwire.ErrTooLarge):
		c.closeAfter = true // the rest of the response is still to come
		e.finishCall(c.call.ID, event.ResponseTooLarge, nil)
		return gnet.None
	default:
		return gnet.Close
	}
	// The buffer that the body is in is reused once the input is consumed.
	body := append([]byte(nil), message.Body...)
	c.consume(size)
	c.closeAfter = message.Close
	e.finishCall(c.call.ID, message.Status, body)
	return gnet.None
}
