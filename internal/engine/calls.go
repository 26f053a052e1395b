package engine

import (
	"container/list"
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

const (
	// dialTimeout: an address beyond a partition answers nothing, and the dial
	// should end before its call does.
	dialTimeout = 1500 * time.Millisecond
	// maxResponseBytes bounds the body of a response. Those of the state
	// service to a watch have no limit of their own; what is larger ends the call
	// with event.ResponseTooLarge, and its caller reads the keys page by page.
	maxResponseBytes = 8 << 20
)

// outgoing are the calls that have not ended and the connections for calls.
type outgoing struct {
	calls map[uint64]*pendingCall // by call ID
	// Spare connections have no call. They stand here by address, last used
	// last, and in a list, least recently used first.
	spareByAddr map[string][]*connection
	spare       list.List
}

// pendingCall is a call that has not ended.
type pendingCall struct {
	deadline event.Time
	c        *connection // nil while it is dialled
}

// startCall sends a call on a spare connection, or dials one.
func (e *engine) startCall(call event.Call) {
	e.outgoing.calls[call.ID] = &pendingCall{deadline: e.now() + call.Timeout}
	spare := e.outgoing.spareByAddr[call.Addr]
	if len(spare) == 0 {
		e.dial(&connection{kind: outgoingCall, addr: call.Addr, call: call})
		return
	}
	last := len(spare) - 1
	c := spare[last]
	e.outgoing.spareByAddr[call.Addr] = spare[:last]
	e.leaveIdleList(c)
	e.issue(c, call)
}

// issue sends a pending call on an open connection.
func (e *engine) issue(c *connection, call event.Call) {
	c.call = call
	c.busy = true
	c.lastActive = e.now()
	e.outgoing.calls[call.ID].c = c
	_, _ = c.socket.Write(httpwire.AppendRequest(nil, call.Method, call.Path, call.Addr, call.Body))
}

// finishCall ends a call and passes its outcome to the core. It does nothing for
// a call that has ended before, so each has exactly one outcome.
func (e *engine) finishCall(id uint64, status int, body []byte) {
	call := e.outgoing.calls[id]
	if call == nil {
		return
	}
	delete(e.outgoing.calls, id)
	if c := call.c; c != nil {
		c.busy = false
		if status == event.NoResponse || c.closeAfter {
			e.drop(c) // a late response must not be taken for that of the next call
		} else {
			c.lastActive = e.now()
			e.keepSpare(c)
		}
	}
	e.step(callDoneInput{event.CallResult{ID: id, Status: status, Body: body}})
}

// abortCall ends a call whose connection has ended.
func (e *engine) abortCall(id uint64) {
	if call := e.outgoing.calls[id]; call != nil {
		call.c = nil
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

// dial connects outside the loop and hands the connection to it, by OnOpen or
// dialFailed.
func (e *engine) dial(c *connection) {
	go func() {
		if err := e.dialAndEnroll(c); err != nil {
			e.onLoop(func() { e.dialFailed(c) })
		}
	}()
}

// dialAndEnroll runs outside the loop. It returns once gnet has taken the
// connection.
func (e *engine) dialAndEnroll(c *connection) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.Dial("tcp", c.addr)
	if err != nil {
		return err
	}
	registered, err := e.eventLoop().Enroll(gnet.NewContext(context.Background(), c), socket)
	if err != nil {
		return err
	}
	return (<-registered).Err
}

// dialFailed takes notice of a connection that could not be made.
func (e *engine) dialFailed(c *connection) {
	if c.kind == outgoingPeer {
		e.peers[c.peer].dialing = false
		return
	}
	e.finishCall(c.call.ID, event.NoResponse, nil)
}

// keepSpare keeps a connection for the next call to its address.
func (e *engine) keepSpare(c *connection) {
	e.outgoing.spareByAddr[c.addr] = append(e.outgoing.spareByAddr[c.addr], c)
	c.idleEntry = e.outgoing.spare.PushBack(c)
}

// removeSpare takes a connection that ends off those for the next calls.
func (e *engine) removeSpare(c *connection) {
	left := slices.DeleteFunc(e.outgoing.spareByAddr[c.addr], func(other *connection) bool { return other == c })
	if len(left) == 0 {
		delete(e.outgoing.spareByAddr, c.addr)
		return
	}
	e.outgoing.spareByAddr[c.addr] = left
}

// readResponse takes the response to a call.
func (e *engine) readResponse(c *connection) gnet.Action {
	if !c.busy {
		return gnet.Close // no call awaits it
	}
	in, _ := c.socket.Peek(-1)
	message, size, err := httpwire.ParseResponse(in, maxResponseBytes)
	if errors.Is(err, httpwire.ErrIncomplete) {
		return gnet.None
	}
	if errors.Is(err, httpwire.ErrTooLarge) {
		c.closeAfter = true // the rest of the response is still to come
		e.finishCall(c.call.ID, event.ResponseTooLarge, nil)
		return gnet.None
	}
	if err != nil {
		return gnet.Close
	}
	body := append([]byte(nil), message.Body...)
	_, _ = c.socket.Discard(size)
	c.closeAfter = message.Close
	e.finishCall(c.call.ID, message.Status, body)
	return gnet.None
}
